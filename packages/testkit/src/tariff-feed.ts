import type { FeedResponse, TariffFeedSource } from '@spurbridge/tariff';
import type { TariffDocument } from '@spurbridge/wire';
import { formatTariff } from '@spurbridge/wire';
import type { SimNetwork } from './network.js';

const FEED_HOST = 'feed';
const ANSWER_MS = 5000;

/** A stand-in tariff feed in a simulated world: publishes, falls silent, answers nonsense on demand. */
export class SimTariffFeed {
  /** Anything, so that what is malformed can be published, too. */
  private body: unknown = null;
  private edition = 0;
  isSilent = false;
  requests = 0;
  unchangedResponses = 0;

  constructor(private readonly network: SimNetwork) {}

  publish(document: TariffDocument): void {
    this.publishRaw(formatTariff(document));
  }

  publishRaw(body: unknown): void {
    this.body = body;
    this.edition += 1;
  }

  source(host: string): TariffFeedSource {
    return {
      fetch: async (tag) =>
        (await this.network.call<FeedResponse>(host, FEED_HOST, ANSWER_MS, () => this.answer(tag))) ?? {
          outcome: 'failed',
          why: 'no answer',
          retryAfterS: null,
        },
    };
  }

  private answer(tag: string | null): FeedResponse | null {
    this.requests += 1;
    if (this.isSilent) return null;
    if (this.body === null) return { outcome: 'failed', why: 'status 404', retryAfterS: null };
    const current = `"${this.edition}"`;
    if (tag === current) {
      this.unchangedResponses += 1;
      return { outcome: 'unchanged' };
    }
    return { outcome: 'document', body: this.body, etag: current };
  }
}
