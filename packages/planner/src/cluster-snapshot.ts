/**
 * The snapshot of the cluster that a scheduling pass plans from.
 *
 * @module
 */

import type { Team } from '@spurbridge/model';
import type { JobId, JobPriority, JobSpec, MachineId, MachineType } from '@spurbridge/wire';

/** A task that may be on a machine. */
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
  /** Whether it may be preempted by itself; a task of a gang may not. */
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
  /** Everything that may be on it. */
  readonly occupants: readonly Occupant[];
}

/** A job with pending tasks or tasks on machines. */
export interface JobView {
  readonly spec: JobSpec;
  /** The tasks that may be placed now, as many as one plan looks at. */
  readonly pendingTasks: readonly number[];
  /** The number of all pending tasks. */
  readonly pendingCount: number;
  /** Whether this is the first task of a job with an overdue start; it is planned by itself, as a starved one. */
  readonly isOverdueFirstTask?: boolean;
  /** The number of tasks that are not done. */
  readonly unfinishedCount: number;
  /** The zone of each task that may be on a machine. */
  readonly placedZones: readonly string[];
  /** The waits of the pending tasks in seconds, added up. */
  readonly totalWaitS: number;
  /** Seconds since the submission. */
  readonly ageS: number;
  /** The estimate of a task's run time in seconds, corrected by what tasks of the job's class have taken. */
  readonly estimateS: number;
  /** Ages in seconds, rising, by which the objectives of its class want the job to be complete. */
  readonly completionMilestonesS: readonly number[];
  /** Ages in seconds, rising, by which the objectives of its class want all tasks to have started. */
  readonly startMilestonesS: readonly number[];
  /** Seconds that the job can still wait without missing an objective. */
  readonly toleratedWaitS: number;
  /** Machines on which the job is not placed, after failures. */
  readonly excludedMachines: ReadonlySet<MachineId>;
  /** The position in the order of submission. */
  readonly submissionOrder: number;
  /** Whether its tasks may be placed now; not so while it backs off after failures. */
  readonly isStartable: boolean;
}

/** The state that a scheduling pass plans from. */
export interface ClusterSnapshot {
  readonly jobs: readonly JobView[];
  readonly machines: readonly MachineView[];
  readonly teams: readonly Team[];
  /** A job is starved when its tasks have waited for longer than this on average, in seconds. */
  readonly starvationThresholdS: number;
  /** Replicas are placed ahead on machines where room is expected to come free within so many seconds; 0: none are. */
  readonly placeAheadS: number;
  /** Whether cost is weighed against speed. */
  readonly isCostAware: boolean;
  /** The size of task that machines should keep room for; null while none is known. */
  readonly typicalTask: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number } | null;
}

/** The rank of each priority; the highest priority has the lowest rank. */
export const PRIORITY_RANK: Record<JobPriority, number> = { production: 0, high: 1, normal: 2, low: 3 };
