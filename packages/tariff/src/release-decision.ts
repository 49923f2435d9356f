/**
 * What the release decision is given, and what it decides.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { JobId } from '@spurbridge/wire';

/** A job that may wait. All durations are in seconds. */
export interface DeferrableJob {
  readonly id: JobId;
  /** Whether it was deferred before: then it goes in its turn, and not as soon as waiting saves little. */
  readonly deferred: boolean;
  /** Index of its team. */
  readonly team: number;
  /** Index into the prices: the zone that the job is bound to, or the mean of all. */
  readonly priceIndex: number;
  /** CPUs that its unfinished tasks take while all of them run. */
  readonly cpus: number;
  /** CPU seconds of all its unfinished tasks. */
  readonly workCpuS: number;
  /** A task's run time that is hardly ever exceeded. */
  readonly taskRunTimeS: number;
  /** From its release until its first task runs: boot, image fetch. */
  readonly leadTimeS: number;
  /** Kept between the expected end and the finish time: lost machines, a failover, clocks. */
  readonly marginS: number;
  readonly finishBy: WallClockMs;
  /** Latest start of its first task, or null. */
  readonly startBy: WallClockMs | null;
}

/** Capacity that deferred work can count on, and what was released to it before. */
export interface Capacity {
  readonly cpus: number;
  /** CPU seconds of released work that are still to be done. */
  readonly backlogCpuS: number;
  /** CPUs that released work would take if all of its tasks ran now. */
  readonly demandCpus: number;
}

/** The whole input of the release decision. */
export interface ReleaseInput {
  readonly now: WallClockMs;
  readonly jobs: readonly DeferrableJob[];
  /** By index of the team. */
  readonly teams: readonly Capacity[];
  /** All teams together. */
  readonly pool: Capacity;
  /** Starts of the pieces of time that prices are stated for, from `now` on. */
  readonly starts: readonly WallClockMs[];
  /** End of the last piece. */
  readonly until: WallClockMs;
  /** Cost of a CPU second in each piece; NaN where nothing is known. */
  readonly prices: readonly Float64Array[];
  /** A wait that saves less than this share of its cost is not worth it. */
  readonly minSaving: number;
}

/**
 * Why a job is released or waits.
 *
 * - `cheaper`: a cheaper moment is safe.
 * - `turn`: its time has come, but released work takes all the capacity, and a moment later is safe, too.
 * - `blind`: no price is known; it waits for news as long as that is safe.
 * - `cheapest`: the cheapest safe moment is now.
 * - `no-saving`: waiting saves too little.
 * - `latest`: there is a cheaper moment, but not safely before the finish time.
 * - `no-room`: no moment is safe any more, and neither is now.
 */
export type ReleaseReason = (typeof RELEASE_REASONS)[number];

/** All reasons, as they are stored. */
export const RELEASE_REASONS = [
  'cheaper',
  'turn',
  'blind',
  'cheapest',
  'no-saving',
  'latest',
  'no-room',
] as const;

/** When a job is to be released. */
export interface ReleaseDecision {
  readonly id: JobId;
  /** Now, or when it should be released as things stand. */
  readonly at: WallClockMs;
  readonly reason: ReleaseReason;
  /** Cost at this moment over the cost of starting at once. */
  readonly costRatio: number;
}
