import type { JobId, MachineId } from '@spurbridge/wire';
import type { JobView, MachineView } from '../cluster-snapshot.js';
import type { MachineQueue } from './machine-queue.js';
import type { EarliestStartIndex } from './earliest-start-index.js';

export interface TaskStart {
  readonly job: JobId;
  readonly task: number;
  readonly machine: MachineId;
}

export interface TaskPreemption {
  readonly job: JobId;
  readonly task: number;
  /** The job that room is made for. */
  readonly preemptor: JobId;
}

/** Work that no machine can take at once: the fleet is sized by it. */
export interface UnplacedDemand {
  readonly job: JobView;
  readonly taskCount: number;
  /** Seconds until the last of these tasks would start on the machines there are. */
  readonly startsInS: number;
  /** Whether the team's limit lets it start at all now. */
  readonly isWithinLimit: boolean;
  readonly isGuaranteed: boolean;
  /** Where the rest of a job bound to one zone has its places, or null. */
  readonly zone: string | null;
}

export interface SchedulingPlan {
  readonly starts: readonly TaskStart[];
  /** Tasks for the heads of machines' queues: they start once what runs there has ended, within `headS` by the estimates. */
  readonly queuedStarts: readonly TaskStart[];
  readonly preemptions: readonly TaskPreemption[];
  readonly unplacedDemand: readonly UnplacedDemand[];
  /** How many times a queue was looked at. */
  readonly queueVisits: number;
}

export interface PlanOptions {
  /**
   * Recompute every job's completion after every placement, as the paper does, instead of only those
   * that can have changed. The result is the same; tests compare the two.
   */
  readonly exhaustive?: boolean;
}

export interface TaskAssignment {
  readonly task: number;
  /** Index of the machine's queue. */
  readonly queueIndex: number;
  readonly startS: number;
  readonly endS: number;
}

export interface JobEvaluation {
  readonly job: JobView;
  readonly completionS: number;
  readonly assignments: readonly TaskAssignment[];
  /** The queues as they would become, by index, and what they were made from. */
  readonly changedQueues: ReadonlyMap<
    number,
    { readonly before: MachineQueue; readonly after: MachineQueue }
  >;
  readonly unplacedCount: number;
  /** How many placements the plan had made. */
  readonly passRevision: number;
}

/** Waiting jobs that are alike in what decides whether any of their tasks could start now. */
export interface JobShape {
  readonly exampleJob: JobView;
  /** Jobs of the kind that are still to be settled. */
  waitingCount: number;
  /** Queues in the order of when the smallest task of its class could start. */
  readonly startIndex: EarliestStartIndex;
  /** Every queue before this place is known not to take such a task now. */
  startIndexCursor: number;
  readonly canPreempt: boolean;
}

export function imageFetchS(job: JobView, machine: MachineView): number {
  return machine.images.has(job.spec.image) ? 0 : job.spec.imageGb / machine.type.fetchGbPerS;
}

export function isMachineAllowed(job: JobView, m: MachineView): boolean {
  const s = job.spec;
  return (
    (s.types === null || s.types.includes(m.type.name)) &&
    (s.zone === null || s.zone === m.zone) &&
    (!m.spot || s.spot)
  );
}
