/**
 * The decisions of a scheduling pass, and the types that its steps exchange.
 *
 * @module
 */

import { plannedDurationS, violatedFixedTermOn } from '@spurbridge/model';
import type { JobId, MachineId } from '@spurbridge/wire';
import type { JobView, MachineView } from '../cluster-snapshot.js';
import type { EarliestStartIndex } from './earliest-start-index.js';
import type { MachineQueue } from './machine-queue.js';

/** A task to be placed on a machine. */
export interface TaskStart {
  readonly job: JobId;
  readonly task: number;
  readonly machine: MachineId;
}

/** A task to be preempted. */
export interface TaskPreemption {
  readonly job: JobId;
  readonly task: number;
  /** The job for which it is preempted. */
  readonly preemptor: JobId;
}

/** Tasks of a job that no machine can start now; input of fleet planning. */
export interface UnplacedDemand {
  readonly job: JobView;
  readonly taskCount: number;
  /** Seconds until the last of these tasks would start on the existing machines; Infinity for never. */
  readonly startsInS: number;
  /** Whether the team's limit allows the tasks to start now. */
  readonly isWithinLimit: boolean;
  readonly isGuaranteed: boolean;
  /** The zone in which the other tasks of a zone-bound job are placed; null if there is none. */
  readonly zone: string | null;
}

/** The decisions of one scheduling pass. */
export interface SchedulingPlan {
  /** Tasks that start immediately. */
  readonly starts: readonly TaskStart[];
  /**
   * Tasks placed at the head of machines' queues: they start when the running tasks there end, within
   * `placeAheadS` by estimate.
   */
  readonly queuedStarts: readonly TaskStart[];
  readonly preemptions: readonly TaskPreemption[];
  readonly unplacedDemand: readonly UnplacedDemand[];
  /** The number of queue visits, a measure of the planning cost that does not depend on the hardware. */
  readonly queueVisits: number;
}

/** Options for computing a plan. */
export interface PlanOptions {
  /**
   * Evaluates every job again after every placement, as the paper does, instead of only those whose evaluation
   * may have changed. The plan is the same; tests compare the two.
   */
  readonly exhaustive?: boolean;
}

/** The queue to which one task is assigned. */
export interface TaskAssignment {
  readonly task: number;
  readonly queueIndex: number;
  /** Estimated seconds until its start and its end. */
  readonly startS: number;
  readonly endS: number;
}

/** A queue that an evaluation would change. */
export interface QueueChange {
  readonly before: MachineQueue;
  readonly after: MachineQueue;
}

/** The assignments of one job's tasks, and the job's estimated completion. */
export interface JobEvaluation {
  readonly job: JobView;
  /** Estimated seconds until the job completes; Infinity if some task has no machine. */
  readonly completionS: number;
  readonly assignments: readonly TaskAssignment[];
  /** The queues that would change, by index. */
  readonly changedQueues: ReadonlyMap<number, QueueChange>;
  /** Pending tasks without an assignment. */
  readonly unplacedCount: number;
  /** The revision of the pass that the evaluation is based on. */
  readonly passRevision: number;
}

/** Waiting jobs that are equal in everything that determines whether any of their tasks can start now. */
export interface JobShape {
  /** A representative of these jobs. */
  readonly exampleJob: JobView;
  /** The number of them that are still to be assigned. */
  waitingCount: number;
  /** The queues by the earliest start of the smallest task of the size class. */
  readonly startIndex: EarliestStartIndex;
  /** No queue before this position can start such a task now. */
  startIndexCursor: number;
  readonly canPreempt: boolean;
}

/** Seconds that the machine needs to fetch the job's image. */
export function imageFetchS({ spec }: JobView, machine: MachineView): number {
  return machine.images.has(spec.image) ? 0 : plannedDurationS(spec.imageGb / machine.type.fetchGbPerS);
}

/**
 * Whether the job's tasks are allowed on the machine by its type, its zone and its purchase option (spot or
 * on-demand).
 */
export function isMachineAllowed({ spec }: JobView, { type, zone, spot }: MachineView): boolean {
  return violatedFixedTermOn(spec, type.name, zone, spot) === null;
}
