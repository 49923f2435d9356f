import type { Clock } from '@spurbridge/net';
import type { TariffDocument } from '@spurbridge/wire';
import { MAX_TARIFF_BYTES, ValidationError, parseTariff } from '@spurbridge/wire';
import type { Logger } from '@spurbridge/controller';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { validateCalendar } from './calendar.js';

export type FeedResponse =
  | { readonly outcome: 'document'; readonly body: unknown; readonly tag: string | null }
  | { readonly outcome: 'unchanged' }
  | { readonly outcome: 'failed'; readonly why: string; readonly retryAfterS: number | null };

/** Where tariffs come from; the stand-in of the measurement implements it too. */
export interface TariffFeedSource {
  /** Asks for the document; `tag` names the one that is held, so that an unchanged one is not sent again. */
  fetch(tag: string | null): Promise<FeedResponse>;
}

const ANSWER_MS = 5000;

/** The feed's published format over HTTP: GET, `ETag` and `If-None-Match`, `Retry-After`. */
export class HttpTariffFeed implements TariffFeedSource {
  constructor(private readonly url: string) {}

  async fetch(tag: string | null): Promise<FeedResponse> {
    try {
      const answer = await fetch(this.url, {
        headers: { accept: 'application/json', ...(tag === null ? {} : { 'if-none-match': tag }) },
        signal: AbortSignal.timeout(ANSWER_MS),
      });
      if (answer.status === 304) return { outcome: 'unchanged' };
      if (answer.status !== 200) {
        await answer.body?.cancel();
        const retry = Number(answer.headers.get('retry-after') ?? NaN);
        return {
          outcome: 'failed',
          why: `status ${answer.status}`,
          retryAfterS: Number.isFinite(retry) && retry > 0 ? retry : null,
        };
      }
      return { outcome: 'document', body: await bounded(answer), tag: answer.headers.get('etag') };
    } catch (e) {
      return { outcome: 'failed', why: e instanceof Error ? e.message : String(e), retryAfterS: null };
    }
  }
}

async function bounded(answer: Response): Promise<unknown> {
  const chunks: Uint8Array[] = [];
  let size = 0;
  if (answer.body !== null)
    for await (const chunk of answer.body as unknown as AsyncIterable<Uint8Array>) {
      size += chunk.byteLength;
      if (size > MAX_TARIFF_BYTES) throw new ValidationError('body', `at most ${MAX_TARIFF_BYTES} bytes`);
      chunks.push(chunk);
    }
  return JSON.parse(Buffer.concat(chunks).toString('utf8'));
}

/** What a document must be beside well-formed, held against the last good one; null when it is taken. */
export function rejectionReason(next: TariffDocument, last: TariffDocument | null): string | null {
  if (last === null) return null;
  if (next.revision < last.revision)
    return `revision: expected at least ${last.revision}, the last good one's`;
  if (next.issuedAt < last.issuedAt) return 'issuedAt: expected no earlier time than the last good one';
  if (next.revision === last.revision && JSON.stringify(next) !== JSON.stringify(last))
    return `revision: expected a new number for new content (${last.revision} is known with another)`;
  return null;
}

const USUAL_S = 300;
const LEAST_S = 5;
const MOST_S = 3600;
const BACK_OFF_S = 2;
const MOST_BACK_OFF_S = 300;

/** idle -> asking -> fresh | failing; a feed that fails is asked again ever more rarely, never at a set beat. */
export type FeedState = 'asking' | 'fresh' | 'failing' | 'silent';

/** Keeps asking a feed while its leader leads, and hands over what is new and good. */
export class TariffFeedPoller {
  private phase: FeedState = 'asking';
  private failures = 0;
  private tag: string | null = null;
  private heardAt: number;
  private readonly generator;

  constructor(
    private readonly parts: {
      readonly source: TariffFeedSource;
      readonly clock: Clock;
      readonly log: Logger;
      readonly seed: number;
      /** Seconds without a good answer after which the feed counts as silent. */
      readonly silentS: number;
      readonly last: () => TariffDocument | null;
      /** Takes over a good document; false when it cannot be kept, with the reason logged. */
      readonly take: (t: TariffDocument) => Promise<boolean>;
    },
  ) {
    this.heardAt = parts.clock.now();
    this.generator = xoroshiro128plus(parts.seed);
  }

  get state(): FeedState {
    return this.phase;
  }

  /** The only function that changes the state. */
  private enter(next: FeedState, why: string): void {
    if (next === this.phase) return;
    this.parts.log.info({ from: this.phase, to: next, why }, 'tariff feed');
    this.phase = next;
  }

  /** Seconds until it is asked again, spread by a quarter so that nodes and sites do not ask in step. */
  private pauseS(askedS: number | null): number {
    const baseS =
      this.failures > 0
        ? Math.max(askedS ?? 0, Math.min(MOST_BACK_OFF_S, BACK_OFF_S * 2 ** Math.min(10, this.failures - 1)))
        : Math.min(MOST_S, Math.max(LEAST_S, askedS ?? this.parts.last()?.nextUpdateS ?? USUAL_S));
    return baseS * (0.75 + 0.5 * uniformFloat64(this.generator));
  }

  async run(active: () => boolean): Promise<void> {
    const { clock } = this.parts;
    while (active()) {
      const askedS = await this.ask();
      if (!active()) return;
      await clock.sleep(this.pauseS(askedS) * 1000);
    }
  }

  private async ask(): Promise<number | null> {
    const { source, clock, log, silentS } = this.parts;
    const answer = await source.fetch(this.tag);
    let why: string;
    let askedS: number | null = null;
    if (answer.outcome === 'failed') {
      why = answer.why;
      askedS = answer.retryAfterS;
    } else {
      const refused = answer.outcome === 'unchanged' ? null : await this.read(answer.body);
      if (refused === null) {
        this.failures = 0;
        this.heardAt = clock.now();
        if (answer.outcome === 'document') this.tag = answer.tag;
        this.enter('fresh', answer.outcome);
        return null;
      }
      why = refused;
      log.error({ refused }, 'tariff refused, the last good one stays');
    }
    this.failures += 1;
    if (clock.now() - this.heardAt > silentS * 1000) this.enter('silent', why);
    else if (this.phase !== 'silent') this.enter('failing', why);
    return askedS;
  }

  /** Null when the document was taken or is known; otherwise what is wrong with it. */
  private async read(body: unknown): Promise<string | null> {
    let next: TariffDocument;
    try {
      next = parseTariff(body);
      validateCalendar(next);
    } catch (e) {
      if (e instanceof ValidationError) return e.message;
      throw e;
    }
    const last = this.parts.last();
    const why = rejectionReason(next, last);
    if (why !== null) return why;
    if (last?.revision === next.revision) return null;
    return (await this.parts.take(next)) ? null : 'it could not be kept in the state service';
  }
}
