/**
 * What a scheduling pass decides, and what its steps hand to one another.
 *
 * @module
 */

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
  /** The job that it is preempted for. */
  readonly preemptor: JobId;
}

/** Work that no machine can take at once; the fleet is sized by it. */
export interface UnplacedDemand {
  readonly job: JobView;
  readonly taskCount: number;
  /** Seconds until the last of these tasks would start on the machines that there are; Infinity for never. */
  readonly startsInS: number;
  /** Whether the team's limit lets the tasks start now. */
  readonly isWithinLimit: boolean;
  readonly isGuaranteed: boolean;
  /** The zone that the rest of a job bound to one zone is assigned to, or null. */
  readonly zone: string | null;
}

/** The decisions of one scheduling pass. */
export interface SchedulingPlan {
  /** Tasks that start at once. */
  readonly starts: readonly TaskStart[];
  /** Tasks for the heads of machines' queues: they start when what runs there ends, within `placeAheadS` by the estimates. */
  readonly queuedStarts: readonly TaskStart[];
  readonly preemptions: readonly TaskPreemption[];
  readonly unplacedDemand: readonly UnplacedDemand[];
  /** How many times a queue was looked at: the cost of the plan, independent of the computer. */
  readonly queueVisits: number;
}

/** How a plan is computed. */
export interface PlanOptions {
  /**
   * Evaluates every job anew after every placement, as the paper does, instead of only those that can have changed. The plan is the
   * same; tests compare the two.
   */
  readonly exhaustive?: boolean;
}

/** Where one task would go. */
export interface TaskAssignment {
  readonly task: number;
  readonly queueIndex: number;
  /** Estimated seconds until it starts and ends. */
  readonly startS: number;
  readonly endS: number;
}

/** A queue that an evaluation would change. */
export interface QueueChange {
  readonly before: MachineQueue;
  readonly after: MachineQueue;
}

/** Where the tasks of one job would go, and when the job would complete. */
export interface JobEvaluation {
  readonly job: JobView;
  /** Estimated seconds until the job completes; Infinity where some task has no machine. */
  readonly completionS: number;
  readonly assignments: readonly TaskAssignment[];
  /** The queues that would change, by index. */
  readonly changedQueues: ReadonlyMap<number, QueueChange>;
  /** Pending tasks without an assignment. */
  readonly unplacedCount: number;
  /** The revision of the pass that it was evaluated at. */
  readonly passRevision: number;
}

/** Waiting jobs that are alike in everything that decides whether any of their tasks could start now. */
export interface JobShape {
  /** Any of these jobs. */
  readonly exampleJob: JobView;
  /** How many of them are still to be assigned. */
  waitingCount: number;
  /** The queues by when they could start the smallest task of the size class. */
  readonly startIndex: EarliestStartIndex;
  /** No queue before this position can start such a task now. */
  startIndexCursor: number;
  readonly canPreempt: boolean;
}

/** Seconds that the machine needs to fetch the job's image. */
export function imageFetchS({ spec }: JobView, machine: MachineView): number {
  return machine.images.has(spec.image) ? 0 : spec.imageGb / machine.type.fetchGbPerS;
}

/** Whether the job's tasks may be on the machine, by its type, its zone and whether it is a spot machine. */
export function isMachineAllowed({ spec }: JobView, machine: MachineView): boolean {
  return (
    (spec.types === null || spec.types.includes(machine.type.name)) &&
    (spec.zone === null || spec.zone === machine.zone) &&
    (!machine.spot || spec.spot)
  );
}
