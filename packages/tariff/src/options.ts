/**
 * The operators' settings of deferral.
 *
 * @module
 */
import type { TariffDocument } from '@spurbridge/wire';
import type { TariffFeedSource } from './feed-source.js';

/** A feed, and how it is polled. */
export interface FeedOptions {
  readonly source: TariffFeedSource;
  /** Seed of the jitter of the requests. */
  readonly seed: number;
  /** Seconds without a good response after which the feed counts as silent. */
  readonly silentS: number;
}

/** Options of the deferral controller. */
export interface TariffOptions {
  /** The tariff of a file, used until a feed has a newer one. */
  readonly document: TariffDocument | null;
  /** The feed, or null for the file alone. */
  readonly feed: FeedOptions | null;
  /** 0: price alone; 1: carbon alone. */
  readonly carbonShare: number;
  /** Seconds beyond a tariff's validity for which its recurring windows still count. */
  readonly windowExtensionS: number;
  /** Minimum share of its cost that a wait must save. */
  readonly minSaving: number;
  /** Quantile of the observed run times that is taken as a task's maximum run time. */
  readonly runTimeQuantile: number;
  /** Number of lost runs of a task for which the finish time must still be met. */
  readonly spareRuns: number;
  /** Classes that may be deferred, or null for all that have a deadline. */
  readonly classes: readonly string[] | null;
}

/** Default options; a tariff or a feed must be set in addition. */
export const DEFAULT_TARIFF_OPTIONS: TariffOptions = {
  document: null,
  feed: null,
  carbonShare: 0,
  windowExtensionS: 48 * 3600,
  minSaving: 0.05,
  runTimeQuantile: 0.98,
  spareRuns: 1,
  classes: null,
};
