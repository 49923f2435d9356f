/**
 * Input and output of the release decision.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { JobId } from '@spurbridge/wire';

/** A job that may wait. All durations are in seconds. */
export interface DeferrableJob {
  readonly id: JobId;
  /** Whether it was deferred before. Such a job waits even if the remaining saving is small. */
  readonly deferred: boolean;
  /** Index of its team. */
  readonly team: number;
  /** Index into the prices: the zone that the job is bound to, or the mean of all. */
  readonly priceIndex: number;
  /** CPUs that its unfinished tasks use while all of them run. */
  readonly cpus: number;
  /** CPU seconds of all its unfinished tasks. */
  readonly workCpuS: number;
  /** Upper estimate of a task's run time. */
  readonly taskRunTimeS: number;
  /** Time from its release until its first task runs, including machine boot and image fetch. */
  readonly leadTimeS: number;
  /** Margin between the expected end and the finish time, for lost machines, a failover and clock errors. */
  readonly marginS: number;
  readonly finishBy: WallClockMs;
  /** Latest start of its first task, or null. */
  readonly startBy: WallClockMs | null;
}

/** Capacity that deferred work can rely on, and the released work that uses it. */
export interface Capacity {
  readonly cpus: number;
  /** CPU seconds of released work that remain. */
  readonly backlogCpuS: number;
  /** CPUs that released work would use if all of its tasks ran now. */
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
  /** Starts of the time pieces of the prices, from `now` on. */
  readonly starts: readonly WallClockMs[];
  /** End of the last piece. */
  readonly until: WallClockMs;
  /** Cost of a CPU second in each piece; NaN if unknown. */
  readonly prices: readonly Float64Array[];
  /** A wait that saves less than this share of the cost is not worthwhile. */
  readonly minSaving: number;
}

/**
 * Why a job is released or waits.
 *
 * - `cheaper`: a cheaper moment is safe.
 * - `turn`: it is due, but released work uses all the capacity, and a later moment is also safe.
 * - `blind`: no price is known; the job waits for a tariff as long as that is safe.
 * - `cheapest`: the cheapest safe moment is now.
 * - `no-saving`: waiting saves too little.
 * - `latest`: there is a cheaper moment, but it is not safe with respect to the finish time.
 * - `no-room`: neither a later moment nor an immediate start is safe.
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
  /** Now, or the planned time of the release. */
  readonly at: WallClockMs;
  readonly reason: ReleaseReason;
  /** Cost of starting at this moment relative to starting immediately. */
  readonly costRatio: number;
}
