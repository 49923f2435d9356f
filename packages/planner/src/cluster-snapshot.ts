/**
 * The snapshot of the cluster that a scheduling pass plans from.
 *
 * @module
 */

import type { Team } from '@spurbridge/model';
import type { JobId, JobPriority, JobSpec, MachineId, MachineType } from '@spurbridge/wire';

/** A task that is placed on a machine and may be running there. */
export interface Occupant {
  readonly job: JobId;
  readonly task: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Estimated seconds until it ends; Infinity for a replica of a service. */
  readonly remainingS: number;
  /** Seconds of work that preempting it would lose. */
  readonly lostWorkS: number;
  readonly priority: JobPriority;
  readonly team: string;
  readonly isStopping: boolean;
  /** Whether it may be preempted individually; a task of a gang may not. */
  readonly isPreemptible: boolean;
}

/** A machine. */
export interface MachineView {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly isSchedulable: boolean;
  /** The images in its cache with their sizes in GB. */
  readonly images: ReadonlyMap<string, number>;
  /** Observed run time over expected run time, at least 1. */
  readonly slowness: number;
  /** The tasks placed on it. */
  readonly occupants: readonly Occupant[];
}

/** A job with pending or placed tasks. */
export interface JobView {
  readonly spec: JobSpec;
  /** The pending tasks that this plan may place, up to the limit per plan. */
  readonly pendingTasks: readonly number[];
  /** The number of all pending tasks, including those beyond the limit per plan. */
  readonly pendingCount: number;
  /**
   * Whether this is the split-off first task of a job with an overdue start; it is planned as a starved job.
   */
  readonly isOverdueFirstTask?: boolean;
  /** The number of tasks that are not done. */
  readonly unfinishedCount: number;
  /** The zone of each placed task. */
  readonly placedZones: readonly string[];
  /** The waits of the pending tasks in seconds, added up. */
  readonly totalWaitS: number;
  /** Seconds since the job was submitted. */
  readonly ageS: number;
  /**
   * The estimated run time of a task in seconds, corrected by the observed run times of the job's class; at most
   * `MAX_PLANNED_S`.
   */
  readonly estimateS: number;
  /** Job ages in seconds, ascending, by which the objectives of the job's class require completion. */
  readonly completionMilestonesS: readonly number[];
  /**
   * Job ages in seconds, ascending, by which the objectives of the job's class require all tasks to have
   * started.
   */
  readonly startMilestonesS: readonly number[];
  /** Seconds that the job can still wait without missing an objective. */
  readonly toleratedWaitS: number;
  /** Machines excluded for this job for now, because its tasks failed there. */
  readonly excludedMachines: ReadonlySet<MachineId>;
  /** The position in the order of submission. */
  readonly submissionOrder: number;
  /** Whether its tasks may be placed now; false while the job backs off after failures. */
  readonly isStartable: boolean;
}

/** The state that a scheduling pass plans from. */
export interface ClusterSnapshot {
  readonly jobs: readonly JobView[];
  readonly machines: readonly MachineView[];
  readonly teams: readonly Team[];
  /** A job is starved when the mean wait of its tasks exceeds this, in seconds. */
  readonly starvationThresholdS: number;
  /**
   * Replicas are placed ahead on machines whose resources are expected to become free within this many
   * seconds; 0 disables placing ahead.
   */
  readonly placeAheadS: number;
  /** Whether cost is weighed against completion times. */
  readonly isCostAware: boolean;
  /** The largest task size for which machines should keep capacity free; null while unknown. */
  readonly typicalTask: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number } | null;
}

/** The rank of each priority; the highest priority has the lowest rank. */
export const PRIORITY_RANK: Record<JobPriority, number> = { production: 0, high: 1, normal: 2, low: 3 };
