/**
 * Sources of published tariffs.
 *
 * @module
 */
import { MAX_TARIFF_BYTES, ValidationError } from '@spurbridge/wire';

/** A feed's response. */
export type FeedResponse =
  | { readonly outcome: 'document'; readonly body: unknown; readonly etag: string | null }
  | { readonly outcome: 'unchanged' }
  | {
      readonly outcome: 'failed';
      readonly why: string;
      /** Value of the feed's `Retry-After` header, in seconds. */
      readonly retryAfterS: number | null;
    };

/** A feed of tariffs. */
export interface TariffFeedSource {
  /** Fetches the document unless it still has the entity tag `etag`. Never rejects. */
  fetch(etag: string | null): Promise<FeedResponse>;
}

/** Timeout of a request to the feed, in milliseconds. */
const RESPONSE_TIMEOUT_MS = 5000;
const OK = 200;
const NOT_MODIFIED = 304;

/** The feed's published format over HTTP: GET, `ETag` and `If-None-Match`, `Retry-After`. */
export class HttpTariffFeed implements TariffFeedSource {
  constructor(private readonly url: string) {}

  async fetch(etag: string | null): Promise<FeedResponse> {
    try {
      const response = await fetch(this.url, {
        headers: { accept: 'application/json', ...(etag === null ? {} : { 'if-none-match': etag }) },
        signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS),
      });
      if (response.status === NOT_MODIFIED) return { outcome: 'unchanged' };
      if (response.status !== OK) {
        await response.body?.cancel();
        return { outcome: 'failed', why: `status ${response.status}`, retryAfterS: retryAfterS(response) };
      }
      return { outcome: 'document', body: await readBody(response), etag: response.headers.get('etag') };
    } catch (error) {
      // No response, a body that is too large, or one that is not JSON.
      const why = error instanceof Error ? error.message : String(error);
      return { outcome: 'failed', why, retryAfterS: null };
    }
  }
}

function retryAfterS(response: Response): number | null {
  const seconds = Number(response.headers.get('retry-after') ?? NaN);
  return Number.isFinite(seconds) && seconds > 0 ? seconds : null;
}

/** @throws ValidationError if the body exceeds the size limit of a tariff */
async function readBody(response: Response): Promise<unknown> {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  if (response.body !== null)
    for await (const chunk of response.body as unknown as AsyncIterable<Uint8Array>) {
      bytes += chunk.byteLength;
      if (bytes > MAX_TARIFF_BYTES) throw new ValidationError('body', `at most ${MAX_TARIFF_BYTES} bytes`);
      chunks.push(chunk);
    }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}
