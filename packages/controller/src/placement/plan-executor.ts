/**
 * Carries out the plans of the scheduling passes.
 *
 * @module
 */
import type { Job, Machine, PlacementTerm } from '@spurbridge/model';
import { TaskNotPlaceableError } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { SchedulingPlan, TaskPreemption, TaskStart } from '@spurbridge/planner';
import type { AgentEpoch, Attempt, JobId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { PlacementCheck } from './placement-check.js';
import type { PlanningBackoff } from './planning-backoff.js';

/** Added to the time that a preempted task takes to save a checkpoint, in seconds. */
const CHECKPOINT_GRACE_MARGIN_S = 1;

/** A planned start whose job and machine are known. */
interface KnownStart {
  readonly job: Job;
  readonly task: number;
  readonly machine: Machine;
  readonly agentEpoch: AgentEpoch;
}

/** The starts of one job that its terms forbid. */
interface Refusal {
  readonly first: KnownStart;
  readonly term: PlacementTerm;
  count: number;
}

/** Places and preempts tasks according to plans. It is the only component that places tasks. */
export class PlanExecutor {
  /** Jobs of which this leader has placed a task. */
  private readonly begunJobs = new WeakSet<Job>();

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly planningBackoff: PlanningBackoff,
  ) {}

  /** Carries out a plan that was computed from the present state of the cluster. */
  execute(plan: SchedulingPlan, now: MonotonicMs): void {
    const gangAttempts = new Map<JobId, Attempt>();
    for (const start of this.admittedStarts([...plan.starts, ...plan.queuedStarts], now))
      this.tryPlace(start, gangAttempts);
    for (const preemption of plan.preemptions) this.preempt(preemption, now);
  }

  /** The starts that the jobs' own terms allow. The others are logged, and their jobs are planned again later. */
  private admittedStarts(starts: readonly TaskStart[], now: MonotonicMs): readonly KnownStart[] {
    const check = new PlacementCheck(this.cluster, now);
    const refusals = new Map<Job, Refusal>();
    const admitted: KnownStart[] = [];
    for (const planned of starts) {
      const start = this.findStart(planned);
      if (start === null) continue;
      const term = check.admit(start.job, start.machine);
      if (term === null) admitted.push(start);
      else addRefusal(refusals, start, term);
    }
    for (const refusal of refusals.values()) this.refuse(refusal);
    // A gang starts as a whole.
    return admitted.filter(({ job }) => job.gang === null || !refusals.has(job));
  }

  private findStart({ job: id, task, machine: machineId }: TaskStart): KnownStart | null {
    const job = this.cluster.jobs.get(id);
    const machine = this.cluster.machines.get(machineId);
    if (job === undefined || machine === undefined || machine.agentEpoch === null) return null;
    return { job, task, machine, agentEpoch: machine.agentEpoch };
  }

  private refuse({ first, term, count }: Refusal): void {
    const { job, task, machine } = first;
    this.term.metrics.refusedPlacements += count;
    this.term.context.log.error(
      { ...this.describe(job, task, machine), violated: term, count },
      'planned placement refused',
    );
    this.planningBackoff.recordFailure(job.spec.id, `a plan violated the job's terms: ${term}`);
  }

  private tryPlace(start: KnownStart, gangAttempts: Map<JobId, Attempt>): void {
    try {
      this.place(start, gangAttempts);
    } catch (error) {
      if (!(error instanceof TaskNotPlaceableError)) throw error;
      this.planningBackoff.recordFailure(start.job.spec.id, error.message);
    }
  }

  /** Places one task; all tasks that a plan places for a gang share one attempt, kept in `gangAttempts`. */
  private place({ job, task, machine, agentEpoch }: KnownStart, gangAttempts: Map<JobId, Attempt>): void {
    const { id } = job.spec;
    let sharedAttempt: Attempt | null = null;
    if (job.gang !== null) {
      sharedAttempt = gangAttempts.get(id) ?? job.gangAttempt();
      gangAttempts.set(id, sharedAttempt);
    }
    const { attempt } = this.cluster.placeTask(job, task, machine.id, agentEpoch, sharedAttempt);
    this.term.metrics.placedTasks += 1;
    this.logPlacement(job, task, machine, attempt);
  }

  private logPlacement(job: Job, task: number, machine: Machine, attempt: Attempt): void {
    const { log } = this.term.context;
    const { id: machineId, type, zone, spot } = machine;
    const name = formatTaskName(job.spec.id, task);
    log.debug({ task: name, try: attempt, machine: machineId, type, zone, spot }, 'task placed');
    if (this.begunJobs.has(job)) return;
    this.begunJobs.add(job);
    log.info({ ...this.describe(job, task, machine), try: attempt }, 'first task of a job placed');
  }

  /** Why a placement is allowed or not: the job's terms and the machine's attributes as this leader knows them. */
  private describe({ spec, machineExclusions }: Job, task: number, machine: Machine): object {
    const { types, zone, spot, oneZone, spread, cpus, gpus, memoryGb, estimateS, imageGb } = spec;
    return {
      task: formatTaskName(spec.id, task),
      machine: machine.id,
      machineAttributes: { type: machine.type, zone: machine.zone, spot: machine.spot },
      terms: { types, zone, spot, oneZone, spread, cpus, gpus, memoryGb },
      failedMachines: machineExclusions.failedMachines.size,
      estimateS,
      imageGb,
      token: this.term.context.leadership.fencingToken,
    };
  }

  private preempt({ job: id, task, preemptor }: TaskPreemption, now: MonotonicMs): void {
    const job = this.cluster.jobs.get(id);
    const placement = job?.placements.get(task);
    if (job === undefined || placement === undefined || placement.stopRequest !== null) return;
    const graceS = job.spec.checkpointS > 0 ? job.spec.saveS + CHECKPOINT_GRACE_MARGIN_S : 0;
    job.requestStop(task, graceS, 'preempted', now);
    const { machine } = placement;
    const name = formatTaskName(id, task);
    this.term.context.log.info({ task: name, machine, inFavourOf: preemptor }, 'task preempted');
    this.cluster.emit('commandsDue', machine);
  }
}

function addRefusal(refusals: Map<Job, Refusal>, start: KnownStart, term: PlacementTerm): void {
  const refusal = refusals.get(start.job);
  if (refusal === undefined) refusals.set(start.job, { first: start, term, count: 1 });
  else refusal.count += 1;
}
