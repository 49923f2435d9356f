import type { Team } from '@spurbridge/model';
import type { JobId, JobSpec, MachineId, MachineType, JobPriority } from '@spurbridge/wire';

/** Something that may be on a machine. */
export interface Occupant {
  readonly job: JobId;
  readonly task: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  /** Estimated seconds until it ends; Infinity for a service. */
  readonly remainingS: number;
  /** Seconds of work that a stop would throw away. */
  readonly lostWorkS: number;
  readonly priority: JobPriority;
  readonly team: string;
  readonly isStopping: boolean;
  /** Whether a single task may be stopped alone (not so in a gang). */
  readonly isPreemptible: boolean;
}

export interface MachineView {
  readonly id: MachineId;
  readonly type: MachineType;
  readonly zone: string;
  readonly spot: boolean;
  readonly isSchedulable: boolean;
  readonly images: ReadonlyMap<string, number>;
  readonly slowness: number;
  readonly occupants: readonly Occupant[];
}

export interface JobView {
  readonly spec: JobSpec;
  /** Tasks that may be placed now, at most a plan's worth. */
  readonly pendingTasks: readonly number[];
  readonly pendingCount: number;
  /** Whether this is the first task of a job that has to begin: planned by itself, as one that is starved. */
  readonly isOverdueFirstTask?: boolean;
  readonly unfinishedCount: number;
  /** Zone of every task that may be on a machine. */
  readonly placedZones: readonly string[];
  /** Summed waiting time of its waiting tasks. */
  readonly totalWaitS: number;
  readonly ageS: number;
  /** The owner's estimate, corrected by what its class was seen to take. */
  readonly estimateS: number;
  /** Ages, in order, by which its class's aims want it complete. */
  readonly completionMilestonesS: readonly number[];
  /** Ages, in order, by which its class's aims want all of it started. */
  readonly startMilestonesS: readonly number[];
  /** Seconds that it can still wait without anybody minding. */
  readonly toleratedWaitS: number;
  readonly excludedMachines: ReadonlySet<MachineId>;
  /** Order of submission. */
  readonly submissionOrder: number;
  /** Whether its tasks may be placed at this moment (not while it backs off after failures). */
  readonly isStartable: boolean;
}

export interface ClusterSnapshot {
  readonly jobs: readonly JobView[];
  readonly machines: readonly MachineView[];
  readonly teams: readonly Team[];
  readonly starvationThresholdS: number;
  /** Tasks are placed ahead on machines whose room is expected to come free within this; 0: none are. */
  readonly placeAheadS: number;
  /** Whether money is weighed against speed. */
  readonly isCostAware: boolean;
  /** The size of task that machines should keep room for, or null while none is known. */
  readonly typicalTask: { readonly cpus: number; readonly gpus: number; readonly memoryGb: number } | null;
}

export const PRIORITY_RANK: Record<JobPriority, number> = { production: 0, high: 1, normal: 2, low: 3 };
