/**
 * Polls a feed for new tariffs.
 *
 * @module
 */
import type { Logger } from '@spurbridge/controller';
import type { Clock } from '@spurbridge/net';
import type { TariffDocument } from '@spurbridge/wire';
import { ValidationError, parseTariff } from '@spurbridge/wire';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { validateCalendar } from './calendar.js';
import type { TariffFeedSource } from './feed-source.js';

const DEFAULT_INTERVAL_S = 300;
const MIN_INTERVAL_S = 5;
const MAX_INTERVAL_S = 3600;
const MIN_BACKOFF_S = 2;
const MAX_BACKOFF_S = 300;
const MAX_BACKOFF_DOUBLINGS = 10;

/** asking -> fresh | failing; fresh -> failing -> silent; failing, silent -> fresh. */
export type FeedState = 'asking' | 'fresh' | 'failing' | 'silent';

/** Dependencies of a poller. */
export interface FeedPollerOptions {
  readonly source: TariffFeedSource;
  readonly clock: Clock;
  readonly log: Logger;
  /** Seed of the jitter of the requests. */
  readonly seed: number;
  /** Seconds without a good response after which the feed counts as silent. */
  readonly silentS: number;
  /** The last accepted tariff. */
  readonly lastAccepted: () => TariffDocument | null;
  /** Stores and applies a tariff; false if it cannot be stored, with the reason logged. */
  readonly apply: (tariff: TariffDocument) => Promise<boolean>;
}

/** Why a well-formed document is rejected as a successor of the last one, or null if it is accepted. */
export function rejectionReason(next: TariffDocument, last: TariffDocument | null): string | null {
  if (last === null) return null;
  if (next.revision < last.revision)
    return `revision: expected at least ${last.revision} as in the last accepted tariff, got ${next.revision}`;
  if (next.issuedAt < last.issuedAt)
    return 'issuedAt: expected no earlier time than in the last accepted tariff';
  if (next.revision === last.revision && JSON.stringify(next) !== JSON.stringify(last))
    return `revision: expected a new number for changed content, got ${next.revision} again`;
  return null;
}

/** Result of one request. */
type PollResult =
  | { readonly outcome: 'fresh'; readonly detail: string }
  | { readonly outcome: 'failed'; readonly why: string; readonly retryAfterS: number | null };

/** Polls a feed while its node leads, and passes on tariffs that are new and valid. */
export class TariffFeedPoller {
  private currentState: FeedState = 'asking';
  private consecutiveFailures = 0;
  private etag: string | null = null;
  private lastFreshAt: number;
  private readonly random;

  constructor(private readonly options: FeedPollerOptions) {
    this.lastFreshAt = options.clock.now();
    this.random = xoroshiro128plus(options.seed);
  }

  get state(): FeedState {
    return this.currentState;
  }

  /** Polls until `isActive` is false. */
  async run(isActive: () => boolean): Promise<void> {
    const { clock } = this.options;
    while (isActive()) {
      const retryAfterS = await this.poll();
      if (!isActive()) return;
      await clock.sleep(this.pauseS(retryAfterS) * 1000);
    }
  }

  /**
   * Seconds until the next request, with a jitter of 25 % so that nodes and sites do not send requests at the
   * same time.
   */
  private pauseS(retryAfterS: number | null): number {
    const baseS = this.consecutiveFailures > 0 ? this.backoffS(retryAfterS) : this.intervalS(retryAfterS);
    return baseS * (0.75 + 0.5 * uniformFloat64(this.random));
  }

  private backoffS(retryAfterS: number | null): number {
    const doublings = Math.min(MAX_BACKOFF_DOUBLINGS, this.consecutiveFailures - 1);
    return Math.max(retryAfterS ?? 0, Math.min(MAX_BACKOFF_S, MIN_BACKOFF_S * 2 ** doublings));
  }

  private intervalS(retryAfterS: number | null): number {
    const wantedS = retryAfterS ?? this.options.lastAccepted()?.nextUpdateS ?? DEFAULT_INTERVAL_S;
    return Math.min(MAX_INTERVAL_S, Math.max(MIN_INTERVAL_S, wantedS));
  }

  /** Sends one request; returns the seconds until the next one if the feed states them. */
  private async poll(): Promise<number | null> {
    const { clock, silentS } = this.options;
    const result = await this.request();
    if (result.outcome === 'fresh') {
      this.consecutiveFailures = 0;
      this.lastFreshAt = clock.now();
      this.transition('fresh', result.detail);
      return null;
    }
    this.consecutiveFailures += 1;
    if (clock.now() - this.lastFreshAt > silentS * 1000) this.transition('silent', result.why);
    else if (this.currentState !== 'silent') this.transition('failing', result.why);
    return result.retryAfterS;
  }

  private async request(): Promise<PollResult> {
    const response = await this.options.source.fetch(this.etag);
    switch (response.outcome) {
      case 'failed':
        return response;
      case 'unchanged':
        return { outcome: 'fresh', detail: response.outcome };
      case 'document': {
        const rejection = await this.accept(response.body);
        if (rejection !== null) {
          this.options.log.error(
            { refused: rejection },
            'tariff rejected; the last accepted one stays in force',
          );
          return { outcome: 'failed', why: rejection, retryAfterS: null };
        }
        this.etag = response.etag;
        return { outcome: 'fresh', detail: response.outcome };
      }
    }
  }

  /** Null if the document was accepted or is known already; otherwise the reason for rejecting it. */
  private async accept(body: unknown): Promise<string | null> {
    let next: TariffDocument;
    try {
      next = parseTariff(body);
      validateCalendar(next);
    } catch (error) {
      if (error instanceof ValidationError) return error.message;
      throw error;
    }
    const last = this.options.lastAccepted();
    const reason = rejectionReason(next, last);
    if (reason !== null || last?.revision === next.revision) return reason;
    return (await this.options.apply(next)) ? null : 'the tariff could not be stored in the state service';
  }

  /** The only function that changes the state. */
  private transition(next: FeedState, why: string): void {
    if (next === this.currentState) return;
    this.options.log.info({ from: this.currentState, to: next, why }, 'tariff feed state changed');
    this.currentState = next;
  }
}
