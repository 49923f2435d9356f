import type { FeedAnswer, FeedSource } from '@spurbridge/tariff';
import type { TariffDocument } from '@spurbridge/wire';
import { formatTariff } from '@spurbridge/wire';
import type { SimNetwork } from './network.js';

const FEED_HOST = 'feed';
const ANSWER_MS = 5000;

/** A stand-in tariff feed in a simulated world: publishes, falls silent, answers nonsense on demand. */
export class SimFeed {
  /** Anything, so that what is malformed can be published, too. */
  private body: unknown = null;
  private edition = 0;
  silent = false;
  requests = 0;
  unchanged = 0;

  constructor(private readonly network: SimNetwork) {}

  publish(document: TariffDocument): void {
    this.publishRaw(formatTariff(document));
  }

  publishRaw(body: unknown): void {
    this.body = body;
    this.edition += 1;
  }

  source(host: string): FeedSource {
    return {
      get: async (tag) =>
        (await this.network.call<FeedAnswer>(host, FEED_HOST, ANSWER_MS, () => this.answer(tag))) ?? {
          outcome: 'failed',
          why: 'no answer',
          retryAfterS: null,
        },
    };
  }

  private answer(tag: string | null): FeedAnswer | null {
    this.requests += 1;
    if (this.silent) return null;
    if (this.body === null) return { outcome: 'failed', why: 'status 404', retryAfterS: null };
    const current = `"${this.edition}"`;
    if (tag === current) {
      this.unchanged += 1;
      return { outcome: 'unchanged' };
    }
    return { outcome: 'document', body: this.body, tag: current };
  }
}
