/**
 * A stand-in for the tariff feed in a simulated environment.
 *
 * @module
 */
import type { FeedResponse, TariffFeedSource } from '@spurbridge/tariff';
import type { TariffDocument } from '@spurbridge/wire';
import { formatTariff } from '@spurbridge/wire';
import { FEED_HOST } from './hosts.js';
import type { SimNetwork } from './network.js';

const RESPONSE_TIMEOUT_MS = 5000;

/** Publishes documents; can stop responding and serve malformed documents. */
export class SimTariffFeed {
  /** While true, requests get no response. */
  isSilent = false;
  /** The number of requests that arrived. */
  requests = 0;
  /** The number of responses that the document is unchanged. */
  unchangedResponses = 0;
  /** Of any type, so that malformed documents can be published. */
  private body: unknown = null;
  private edition = 0;

  constructor(private readonly network: SimNetwork) {}

  /** Publishes a document. */
  publish(document: TariffDocument): void {
    this.publishRaw(formatTariff(document));
  }

  /** Publishes anything as the body of the document. */
  publishRaw(body: unknown): void {
    this.body = body;
    this.edition += 1;
  }

  /** The feed, as reached by a process on this host. */
  source(host: string): TariffFeedSource {
    return {
      fetch: async (tag) => {
        const response = await this.network.call<FeedResponse>(host, FEED_HOST, RESPONSE_TIMEOUT_MS, () =>
          this.respond(tag),
        );
        return response ?? { outcome: 'failed', why: 'no answer', retryAfterS: null };
      },
    };
  }

  private respond(tag: string | null): FeedResponse | null {
    this.requests += 1;
    if (this.isSilent) return null;
    if (this.body === null) return { outcome: 'failed', why: 'status 404', retryAfterS: null };
    const currentTag = `"${this.edition}"`;
    if (tag !== currentTag) return { outcome: 'document', body: this.body, etag: currentTag };
    this.unchangedResponses += 1;
    return { outcome: 'unchanged' };
  }
}
