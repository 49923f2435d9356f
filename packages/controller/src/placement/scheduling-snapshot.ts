/**
 * The snapshot of the cluster that a scheduling pass plans with.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { ClusterSnapshot, JobView, MachineView, Occupant } from '@spurbridge/planner';
import { JobPlanningError } from '@spurbridge/planner';
import type { JobSpec, MachineType } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { Settings } from '../settings.js';
import { maxHeartbeatIntervalMs } from '../settings.js';
import { completionMilestonesS, startMilestonesS, toleratedWaitS } from './job-objectives.js';
import type { RuntimeEstimator } from './runtime-estimator.js';

/** Total waiting time of a job's tasks after which the job takes precedence, in seconds. */
const STARVATION_THRESHOLD_S = 30;
/**
 * Resources that are expected to become free within this time, in seconds, are assigned to a task now: its placement is
 * durable by then, and the task starts with the heartbeat that shows the free resources. Over longer times, estimates
 * are too inaccurate to bind a task to one machine.
 */
const PLACE_AHEAD_S = 0.5;
/** Maximum number of tasks of one job that a pass considers. */
const MAX_TASKS_PER_JOB = 200;
/** No tasks are placed on a machine whose heartbeat is late by more than this. */
const HEARTBEAT_MARGIN_MS = 1500;

/** Minimum expected remaining run time of a task, also used for tasks that are being stopped, in seconds. */
const MIN_REMAINING_S = 0.5;
/** A task that exceeds its estimate is expected to run on for this share of its run time so far. */
const OVERRUN_SHARE = 0.25;
/** A task with checkpoints loses at most this much when it is stopped, in seconds. */
const MAX_LOSS_WITH_CHECKPOINTS_S = 1;

/**
 * Builds the snapshot: everything that may run on a machine, including silent ones, and the active jobs that may be
 * scheduled.
 *
 * @throws {JobPlanningError} when a job cannot be described.
 */
export function buildSchedulingSnapshot(
  cluster: ClusterState,
  estimator: RuntimeEstimator,
  settings: Settings,
  now: MonotonicMs,
  isSchedulable: (job: Job) => boolean,
): ClusterSnapshot {
  return new SnapshotBuilder(cluster, estimator, settings, now).build(isSchedulable);
}

class SnapshotBuilder {
  /** Cached estimates, so that they are computed once per job and pass instead of once per task. */
  private readonly runtimes = new Map<Job, number>();

  constructor(
    private readonly cluster: ClusterState,
    private readonly estimator: RuntimeEstimator,
    private readonly settings: Settings,
    private readonly now: MonotonicMs,
  ) {}

  build(isSchedulable: (job: Job) => boolean): ClusterSnapshot {
    return {
      machines: this.machineViews(),
      jobs: this.jobViews(isSchedulable),
      teams: this.settings.teams,
      starvationThresholdS: STARVATION_THRESHOLD_S,
      placeAheadS: PLACE_AHEAD_S,
      isCostAware: this.cluster.minimizesCost,
      typicalTask: this.estimator.typicalTask(),
    };
  }

  // --- machines ----------------------------------------------------------------------------------

  private machineViews(): MachineView[] {
    const views: MachineView[] = [];
    for (const machine of this.cluster.machines.values())
      if (machine.state !== 'gone') views.push(this.machineView(machine));
    return views;
  }

  private machineView(machine: Machine): MachineView {
    const { id, type, zone, spot, images, slowness } = machine;
    return {
      id,
      type: this.cluster.machineType(type) ?? unknownMachineType(type),
      zone,
      spot,
      isSchedulable: this.canTakeTasks(machine),
      images,
      slowness,
      occupants: this.occupantsOf(machine),
    };
  }

  private canTakeTasks({ isSchedulable, backoffUntil, lastHeartbeatAt }: Machine): boolean {
    const maxSilenceMs = maxHeartbeatIntervalMs(this.settings) + HEARTBEAT_MARGIN_MS;
    return (
      isSchedulable &&
      this.now >= backoffUntil &&
      lastHeartbeatAt !== null &&
      this.now - lastHeartbeatAt < maxSilenceMs
    );
  }

  private occupantsOf({ id, slowness }: Machine): Occupant[] {
    const occupants: Occupant[] = [];
    for (const { job, task } of this.cluster.tasksOn(id)) {
      const placement = job.placements.get(task);
      if (placement !== undefined)
        occupants.push(this.occupant(job.spec, placement, this.expectedRuntimeS(job) * slowness));
    }
    return occupants;
  }

  private occupant(spec: JobSpec, placement: Placement, expectedRuntimeS: number): Occupant {
    const { runningSince, stopRequest, task } = placement;
    const { id, cpus, gpus, memoryGb, priority, team } = spec;
    const ranS = runningSince === null ? 0 : (this.now - runningSince) / 1000;
    const isStopping = stopRequest !== null;
    return {
      job: id,
      task,
      cpus,
      gpus,
      memoryGb,
      remainingS: remainingRuntimeS(spec, isStopping, ranS, expectedRuntimeS),
      lostWorkS: this.lostWorkS(spec, placement, ranS),
      priority,
      team,
      isStopping,
      isPreemptible: spec.kind !== 'gang',
    };
  }

  private lostWorkS({ checkpointS }: JobSpec, { state, placedAt }: Placement, ranS: number): number {
    if (state === 'intended' || state === 'queued') return 0;
    return checkpointS > 0 ? Math.min(ranS, MAX_LOSS_WITH_CHECKPOINTS_S) : (this.now - placedAt) / 1000;
  }

  private expectedRuntimeS(job: Job): number {
    let runtimeS = this.runtimes.get(job);
    if (runtimeS === undefined) {
      runtimeS = this.estimator.expectedRuntimeS(job.spec);
      this.runtimes.set(job, runtimeS);
    }
    return runtimeS;
  }

  // --- jobs --------------------------------------------------------------------------------------

  private jobViews(isSchedulable: (job: Job) => boolean): JobView[] {
    return [...this.cluster.jobs.values()]
      .filter((job) => job.state === 'active' && isSchedulable(job))
      .sort((left, right) => left.submittedAt - right.submittedAt)
      .map((job, index) => this.tryJobView(job, index));
  }

  private tryJobView(job: Job, submissionOrder: number): JobView {
    try {
      return this.jobView(job, submissionOrder);
    } catch (error) {
      throw new JobPlanningError(job.spec.id, error);
    }
  }

  private jobView(job: Job, submissionOrder: number): JobView {
    const { spec, pendingCount } = job;
    const { objectives } = this.settings;
    const ageS = (this.now - job.submittedAt) / 1000;
    const waitS = Math.max(0, this.now - Math.max(job.submittedAt, job.waitingSince)) / 1000;
    const placedZones = pendingCount > 0 ? this.zonesOf(job) : [];
    // After a failover a machine may be known by its id alone. A job that is bound to zones cannot be placed before the
    // zones of all its tasks are known.
    const hasUnknownZone = (spec.spread || spec.oneZone) && placedZones.includes('');
    return {
      spec,
      pendingTasks: placeableTasks(job),
      pendingCount,
      unfinishedCount: spec.tasks - job.doneCount,
      placedZones,
      totalWaitS: waitS * pendingCount,
      ageS,
      estimateS: this.estimator.expectedRuntimeS(spec),
      completionMilestonesS: completionMilestonesS(objectives, job),
      startMilestonesS: startMilestonesS(objectives, job),
      toleratedWaitS: toleratedWaitS(objectives, job, ageS),
      excludedMachines: job.machineExclusions.excludedAt(this.now),
      submissionOrder,
      isStartable: this.now >= job.backoffUntil && !hasUnknownZone,
    };
  }

  private zonesOf(job: Job): string[] {
    return [...job.placements.values()].map(({ machine }) => this.cluster.machines.get(machine)?.zone ?? '');
  }
}

/** A substitute for a type that is missing in the cloud's list; nothing can be placed on it. */
function unknownMachineType(name: string): MachineType {
  return {
    name,
    cpus: 0,
    gpus: 0,
    memoryGb: 0,
    cacheGb: 0,
    fetchGbPerS: 1,
    price: 0,
    spotPrice: 0,
    bootS: 0,
    zones: [],
  };
}

function remainingRuntimeS(
  { kind }: JobSpec,
  isStopping: boolean,
  ranS: number,
  expectedRuntimeS: number,
): number {
  if (isStopping) return MIN_REMAINING_S;
  if (kind === 'service') return Infinity;
  const remainingS = expectedRuntimeS - ranS;
  return remainingS > MIN_REMAINING_S ? remainingS : Math.max(MIN_REMAINING_S, ranS * OVERRUN_SHARE);
}

/**
 * The tasks that may be placed now. A gang starts as a whole: while any task of the old attempt may be on a machine, no
 * task can be placed, except to complete an attempt that has not started.
 */
function placeableTasks(job: Job): number[] {
  if (job.spec.kind !== 'gang') return job.pendingTasks(MAX_TASKS_PER_JOB);
  const isBlocked = job.placements.size > 0 && !job.awaitsReplacementTask;
  return isBlocked ? [] : job.pendingTasks(job.spec.tasks);
}
