/**
 * Tariff-aware scheduling: deferrable jobs wait for cheaper or cleaner hours.
 *
 * @module
 */
export type { PriceCertainty, PriceSeries } from './calendar.js';
export { expandTariff, validateCalendar } from './calendar.js';
export { CapacityEstimator } from './capacity.js';
export type { DeferralState } from './deferral.js';
export { Deferral } from './deferral.js';
export { deferralControllerFactory } from './deferral-controller.js';
export type { DeferralPage } from './deferral-table.js';
export { DeferralTable, deferralPageKey } from './deferral-table.js';
export { DeferralEndedError } from './errors.js';
export type { FeedPollerOptions, FeedState } from './feed-poller.js';
export { TariffFeedPoller, rejectionReason } from './feed-poller.js';
export type { FeedResponse, TariffFeedSource } from './feed-source.js';
export { HttpTariffFeed } from './feed-source.js';
export type { FeedOptions, TariffOptions } from './options.js';
export { DEFAULT_TARIFF_OPTIONS } from './options.js';
export { decideReleases } from './release.js';
export type {
  Capacity,
  DeferrableJob,
  ReleaseDecision,
  ReleaseInput,
  ReleaseReason,
} from './release-decision.js';
export { RunTimeEstimator } from './run-times.js';
