import type { Clock, Ms, Urgency } from '@spurbridge/net';
import { Budget, JsonClient, NoAnswerError } from '@spurbridge/net';
import type {
  Change,
  Condition,
  Item,
  LeaseId,
  Revision,
  Token,
  Version,
  WatchEvent,
} from '@spurbridge/wire';
import {
  PATHS,
  formatCommit,
  parseEvents,
  parseFailed,
  parseItemAnswer,
  parseItems,
  parseLease,
  parseRevision,
} from '@spurbridge/wire';

export type Refusal =
  /** Certainly not executed: refused, over a limit, or never sent. */
  | { readonly outcome: 'refused' }
  /** No answer: it may have been executed, or may still be, at any later time. */
  | { readonly outcome: 'unknown' };

export type CommitOutcome =
  | { readonly outcome: 'committed'; readonly revision: Revision }
  | { readonly outcome: 'conflict'; readonly failed: readonly string[]; readonly revision: Revision }
  | { readonly outcome: 'no_lease' }
  | Refusal;

export type ReadOutcome =
  | { readonly outcome: 'found'; readonly item: Item }
  | { readonly outcome: 'absent'; readonly revision: Revision }
  | Refusal;
export type ListOutcome =
  | {
      readonly outcome: 'listed';
      readonly items: readonly Item[];
      /** Of the first page: a watch from it misses nothing. */
      readonly revision: Revision;
      /** Of the last page: no item is later. */
      readonly latest: Revision;
    }
  | Refusal;
export type WatchOutcome =
  | { readonly outcome: 'events'; readonly revision: Revision; readonly events: readonly WatchEvent[] }
  | { readonly outcome: 'compacted' }
  | Refusal;
export type GrantOutcome = { readonly outcome: 'granted'; readonly lease: LeaseId } | Refusal;
export type TouchOutcome = { readonly outcome: 'renewed' } | { readonly outcome: 'ended' } | Refusal;

/** The state service as the controllers use it; the stand-in of `testkit` implements it too. */
export interface StateStore {
  /**
   * Whether what it says is believed now. While it is not, every call is refused, and nothing may be started,
   * rented, forgotten or released on the strength of what was read before.
   */
  readonly trusted: boolean;
  /** Changes when data may have been lost: no lease is believed across such a change. */
  readonly era: number;
  /** The token of a leader whose record has this version. */
  tokenOf(version: Version): Token;
  read(key: string, urgency: Urgency): Promise<ReadOutcome>;
  list(prefix: string, urgency: Urgency): Promise<ListOutcome>;
  commit(
    conditions: readonly Condition[],
    changes: readonly Change[],
    urgency: Urgency,
  ): Promise<CommitOutcome>;
  watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome>;
  grantLease(ttlMs: number): Promise<GrantOutcome>;
  /** Renews the lease of a leader; `held` is its record's condition, for a store that looks after that too. */
  renewLease(lease: LeaseId, held: Condition): Promise<TouchOutcome>;
  endLease(lease: LeaseId): Promise<void>;
  /** Since when requests have failed without one being served; null while served. */
  failingSince(): Ms | null;
}

export interface StateLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

const ANSWER_MS = 1500;
const LIST_PAGE = 1000;

export class HttpStateStore implements StateStore {
  readonly trusted = true;
  readonly era = 0;
  private readonly client: JsonClient;
  private readonly watcher: JsonClient;
  private readonly requests: Budget;
  private readonly writes: Budget;
  private failing: Ms | null = null;

  constructor(
    address: string,
    limits: StateLimits,
    private readonly clock: Clock,
  ) {
    this.client = new JsonClient(address, 24);
    this.watcher = new JsonClient(address, 4);
    this.requests = new Budget(clock, limits.rps * 0.6, limits.rps * 0.5);
    this.writes = new Budget(clock, limits.writeRps * 0.8, limits.writeRps * 0.8);
  }

  failingSince(): Ms | null {
    return this.failing;
  }

  tokenOf(version: Version): Token {
    return version as number as Token;
  }

  private async call<T>(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
    timeoutMs: number,
    understand: (status: number, body: unknown) => T | null,
    client = this.client,
  ): Promise<T | Refusal> {
    try {
      const answer = await client.call(method, path, body, timeoutMs);
      const understood = understand(answer.status, answer.body);
      if (understood !== null) {
        this.failing = null;
        return understood;
      }
      if (answer.status === 429) this.requests.drain();
      else this.failing ??= this.clock.now();
      return { outcome: 'refused' };
    } catch (e) {
      this.failing ??= this.clock.now();
      return { outcome: e instanceof NoAnswerError && e.notSent ? 'refused' : 'unknown' };
    }
  }

  async read(key: string, urgency: Urgency): Promise<ReadOutcome> {
    if (!this.requests.take(1, urgency)) return { outcome: 'refused' };
    return this.call<ReadOutcome>('GET', `${PATHS.keys}/${key}`, undefined, ANSWER_MS, (status, body) =>
      status === 200
        ? { outcome: 'found', item: parseItemAnswer(body) }
        : status === 404
          ? { outcome: 'absent', revision: parseRevision(body) }
          : null,
    );
  }

  /** All items of a prefix, a page at a time. */
  async list(prefix: string, urgency: Urgency): Promise<ListOutcome> {
    const items: Item[] = [];
    let revision: Revision | null = null;
    for (let from = ''; ;) {
      if (!this.requests.take(1, urgency)) return { outcome: 'refused' };
      const after = from === '' ? '' : `&from=${encodeURIComponent(from)}`;
      const path = `${PATHS.keys}?starts=${encodeURIComponent(prefix)}${after}&most=${LIST_PAGE}`;
      const page = await this.call('GET', path, undefined, 4000, (status, body) =>
        status === 200 ? { outcome: 'page' as const, ...parseItems(body) } : null,
      );
      if (page.outcome !== 'page') return page;
      revision ??= page.revision;
      items.push(...page.items);
      const last = page.items.at(-1);
      if (!page.more || last === undefined)
        return { outcome: 'listed', items, revision, latest: page.revision };
      from = last.key;
    }
  }

  async commit(
    conditions: readonly Condition[],
    changes: readonly Change[],
    urgency: Urgency,
  ): Promise<CommitOutcome> {
    if (!this.requests.take(1, urgency) || !this.writes.take(changes.length, urgency))
      return { outcome: 'refused' };
    return this.call<CommitOutcome>(
      'POST',
      PATHS.commit,
      formatCommit(conditions, changes),
      ANSWER_MS,
      (status, body) => {
        if (status === 200) return { outcome: 'committed', revision: parseRevision(body) };
        if (status === 409)
          return { outcome: 'conflict', failed: parseFailed(body), revision: parseRevision(body) };
        if (status === 400) return { outcome: 'no_lease' };
        return null;
      },
    );
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    if (!this.requests.take(1, 0)) return { outcome: 'refused' };
    const path = `${PATHS.watch}?starts=${encodeURIComponent(prefix)}&from=${after}&blockMs=${waitMs}`;
    return this.call<WatchOutcome>(
      'GET',
      path,
      undefined,
      waitMs + 3000,
      (status, body) => {
        if (status === 200) return { outcome: 'events', ...parseEvents(body) };
        return status === 410 ? { outcome: 'compacted' } : null;
      },
      this.watcher,
    );
  }

  async grantLease(ttlMs: number): Promise<GrantOutcome> {
    if (!this.requests.take(1, 0)) return { outcome: 'refused' };
    return this.call<GrantOutcome>('POST', PATHS.leases, { ttlMs }, ANSWER_MS, (status, body) =>
      status === 200 ? { outcome: 'granted', lease: parseLease(body) } : null,
    );
  }

  async renewLease(lease: LeaseId): Promise<TouchOutcome> {
    if (!this.requests.take(1, 0)) return { outcome: 'refused' };
    return this.call<TouchOutcome>('POST', `${PATHS.leases}/${lease}/touch`, {}, ANSWER_MS, (status) =>
      status === 200 ? { outcome: 'renewed' } : status === 404 ? { outcome: 'ended' } : null,
    );
  }

  async endLease(lease: LeaseId): Promise<void> {
    if (!this.requests.take(1, 0)) return;
    await this.call('DELETE', `${PATHS.leases}/${lease}`, undefined, ANSWER_MS, (status) =>
      status === 200 || status === 404 ? { outcome: 'ended' as const } : null,
    );
  }
}
