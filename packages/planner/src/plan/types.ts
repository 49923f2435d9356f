import type { JobId, MachineId } from '@spurbridge/wire';
import type { JobView, MachineView } from '../snapshot.js';
import type { Queue } from './queue.js';
import type { Sized } from './sized.js';

export interface Start {
  readonly job: JobId;
  readonly task: number;
  readonly machine: MachineId;
}

export interface Stop {
  readonly job: JobId;
  readonly task: number;
  /** The job that room is made for. */
  readonly inFavourOf: JobId;
}

/** Work that no machine can take at once: the fleet is sized by it. */
export interface Unmet {
  readonly job: JobView;
  readonly tasks: number;
  /** Seconds until the last of these tasks would start on the machines there are. */
  readonly startsInS: number;
  /** Whether the team's limit lets it start at all now. */
  readonly withinLimit: boolean;
  readonly guaranteed: boolean;
  /** Where the rest of a job bound to one zone has its places, or null. */
  readonly zone: string | null;
}

export interface Plan {
  readonly starts: readonly Start[];
  /** Tasks for the heads of machines' queues: they start once what runs there has ended, within `headS` by the estimates. */
  readonly heads: readonly Start[];
  readonly stops: readonly Stop[];
  readonly unmet: readonly Unmet[];
  /** How many times a queue was looked at. */
  readonly steps: number;
}

export interface PlanOptions {
  /**
   * Recompute every job's completion after every placement, as the paper does, instead of only those
   * that can have changed. The result is the same; tests compare the two.
   */
  readonly exhaustive?: boolean;
}

export interface Choice {
  readonly task: number;
  /** Index of the machine's queue. */
  readonly at: number;
  readonly startS: number;
  readonly endS: number;
}

export interface Evaluation {
  readonly job: JobView;
  readonly completionS: number;
  readonly choices: readonly Choice[];
  /** The queues as they would become, by index, and what they were made from. */
  readonly changed: ReadonlyMap<number, { readonly before: Queue; readonly after: Queue }>;
  readonly unplaced: number;
  /** How many placements the plan had made. */
  readonly epoch: number;
}

/** Waiting jobs that are alike in what decides whether any of their tasks could start now. */
export interface Kind {
  readonly sample: JobView;
  /** Jobs of the kind that are still to be settled. */
  left: number;
  /** Queues in the order of when the smallest task of its class could start. */
  readonly order: Sized;
  /** Every queue before this place is known not to take such a task now. */
  cursor: number;
  readonly mayPreempt: boolean;
}

export function fetchSeconds(job: JobView, machine: MachineView): number {
  return machine.images.has(job.spec.image) ? 0 : job.spec.imageGb / machine.type.fetchGbPerS;
}

export function allows(job: JobView, m: MachineView): boolean {
  const s = job.spec;
  return (
    (s.types === null || s.types.includes(m.type.name)) &&
    (s.zone === null || s.zone === m.zone) &&
    (!m.spot || s.spot)
  );
}
