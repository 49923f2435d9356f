/**
 * Processes the task statuses in a heartbeat.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { ExitCause, Heartbeat, TaskStatus } from '@spurbridge/wire';
import { formatAttemptName, formatTaskName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { RuntimeEstimator } from '../placement/runtime-estimator.js';
import { ReportedAttempts } from './reported-attempts.js';

/** A job whose tasks failed on this many machines in a row is considered faulty. */
const FAULTY_JOB_MACHINES = 3;
/** A machine on which tasks of this many different jobs failed is considered faulty. */
const FAULTY_MACHINE_JOBS = 2;
/** A machine whose tasks take this many times as long as expected is drained. */
const SLOW_MACHINE_FACTOR = 1.7;
/** The ratio of a task's run time to the expected one is clamped to these limits. */
const MIN_RUN_TIME_RATIO = 0.2;
const MAX_RUN_TIME_RATIO = 5;

const REJECTED_BACKOFF_MS = 2000;
const FAILED_MACHINE_BACKOFF_MS = 3000;
const MAX_JOB_BACKOFF_S = 60;
const MAX_JOB_BACKOFF_EXPONENT = 6;

/** Updates placements, jobs and machines with the statuses of tasks. */
export class TaskStatusHandler {
  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly estimator: RuntimeEstimator,
  ) {}

  /**
   * Processes the statuses of all tasks in a heartbeat. `isComplete` means that a task whose start is not confirmed,
   * and which the heartbeat does not list, was never started.
   */
  receive(machine: Machine, heartbeat: Heartbeat, isComplete: boolean, now: MonotonicMs): void {
    const reported = new ReportedAttempts(heartbeat.tasks);
    const gangsWithNewlyWaiting = new Set<Job>();
    for (const { job, task } of [...this.cluster.tasksOn(machine.id)]) {
      const placement = job.placements.get(task);
      if (placement === undefined || placement.machine !== machine.id) continue;
      if (placement.agentEpoch !== heartbeat.agentEpoch) continue;
      const status = reported.find(job.spec.id, task, placement.attempt);
      const isNewlyWaiting = status?.phase === 'waiting' && placement.state !== 'waiting';
      if (status !== undefined) this.applyStatus(machine, job, placement, status, now);
      else if (isComplete) this.onUnreported(machine, job, placement);
      if (isNewlyWaiting) gangsWithNewlyWaiting.add(job);
    }
    for (const job of gangsWithNewlyWaiting) this.dispatchDelayedStarts(job);
  }

  /**
   * Processes the absence of a task in a regular heartbeat with a token of this term. The machine has rejected the
   * starts of earlier leaders since it first received such a token, and would report a task that had started before.
   */
  private onUnreported(machine: Machine, job: Job, placement: Placement): void {
    if (wasNeverStarted(machine, job, placement)) {
      this.cluster.removePlacement(job, placement, false, 'never started');
      return;
    }
    if (placement.state !== 'queued' || !placement.mayHaveEarlierStart) return;
    job.ruleOutEarlierStart(placement.task);
    const task = formatTaskName(job.spec.id, placement.task);
    const { attempt } = placement;
    this.term.context.log.debug(
      { task, attempt, machine: machine.id },
      'start by an earlier leader ruled out',
    );
  }

  private applyStatus(
    machine: Machine,
    job: Job,
    placement: Placement,
    status: TaskStatus,
    now: MonotonicMs,
  ): void {
    if (status.phase === 'exited') {
      this.onExit(machine, job, placement, status.cause ?? 'error', now);
      return;
    }
    const { state } = placement;
    if (state === 'starting' || state === 'queued' || state === 'intended')
      this.cluster.emit('jobChanged', job);
    if (status.phase === 'running' && state !== 'running') this.onRunning(machine, job, placement);
    job.applyReportedPhase(placement.task, status.phase, now);
  }

  private onRunning(machine: Machine, job: Job, placement: Placement): void {
    const { id, image, imageGb } = job.spec;
    machine.cacheImage(image, imageGb, this.cluster.machineType(machine.type)?.cacheGb ?? 0);
    const task = formatTaskName(id, placement.task);
    this.term.context.log.debug({ task, machine: machine.id, image }, 'task running');
  }

  /** Tasks of the gang whose start was delayed until the slower ones had fetched their image may start now. */
  private dispatchDelayedStarts({ gang }: Job): void {
    for (const [machine, { starting }] of gang?.machines ?? [])
      if (starting > 0) this.cluster.emit('commandsDue', machine);
  }

  private onExit(machine: Machine, job: Job, placement: Placement, cause: ExitCause, now: MonotonicMs): void {
    if (cause === 'done') this.onSuccess(machine, job, placement, now);
    else if (cause === 'error') this.onFailure(machine, job, placement.task, now);
    else if (cause === 'no_room') machine.backoffUntil = addMs(now, REJECTED_BACKOFF_MS);
    else if (cause === 'unknown' || cause === 'busy') job.backoffUntil = addMs(now, REJECTED_BACKOFF_MS);
    this.cluster.removePlacement(job, placement, cause === 'done', cause);
  }

  private onSuccess(machine: Machine, job: Job, placement: Placement, now: MonotonicMs): void {
    const { spec } = job;
    machine.failedJobs.clear();
    job.machineExclusions.clear();
    job.consecutiveFailures = 0;
    if (placement.runningSince === null || spec.estimateS <= 0 || spec.kind !== 'array') return;
    const runTimeS = (now - placement.runningSince) / 1000;
    const expectedS = this.estimator.expectedRuntimeS(spec);
    this.estimator.observeRuntime(spec, runTimeS / machine.slowness);
    const ratio = Math.min(MAX_RUN_TIME_RATIO, Math.max(MIN_RUN_TIME_RATIO, runTimeS / expectedS));
    machine.recordRunTime(spec.id, ratio);
    if (machine.isSlow(SLOW_MACHINE_FACTOR)) this.cluster.drainMachine(machine, 'slow');
  }

  /** Failures of different jobs make the machine count as faulty; a job that fails everywhere is delayed instead. */
  private onFailure(machine: Machine, job: Job, task: number, now: MonotonicMs): void {
    const { id } = job.spec;
    job.consecutiveFailures += 1;
    job.machineExclusions.recordFailure(machine.id, now);
    machine.backoffUntil = addMs(now, FAILED_MACHINE_BACKOFF_MS);
    this.term.context.log.info(
      { task: formatTaskName(id, task), machine: machine.id, errors: job.consecutiveFailures },
      'task failed',
    );
    if (job.machineExclusions.failedMachines.size >= FAULTY_JOB_MACHINES) {
      this.backOff(job, now);
      return;
    }
    machine.failedJobs.add(id);
    if (machine.failedJobs.size >= FAULTY_MACHINE_JOBS) this.cluster.drainMachine(machine, 'faulty');
  }

  /** Delays the job with exponential backoff, and no longer counts its failures against their machines. */
  private backOff(job: Job, now: MonotonicMs): void {
    const exponent = Math.min(MAX_JOB_BACKOFF_EXPONENT, job.consecutiveFailures - 2);
    job.backoffUntil = addMs(now, Math.min(MAX_JOB_BACKOFF_S, 2 ** exponent) * 1000);
    for (const machine of job.machineExclusions.failedMachines)
      this.cluster.machines.get(machine)?.failedJobs.delete(job.spec.id);
    job.machineExclusions.clear();
  }
}

/**
 * Whether a stopped task that its machine does not report was never started, which also requires that no direct start
 * of it is unanswered. An answered one was executed before a newer heartbeat, which would report the task.
 */
function wasNeverStarted(
  machine: Machine,
  job: Job,
  { stopRequest, state, task, attempt }: Placement,
): boolean {
  if (stopRequest === null || (state !== 'starting' && state !== 'queued')) return false;
  return !machine.directStarts.isUnanswered(formatAttemptName(job.spec.id, task, attempt));
}
