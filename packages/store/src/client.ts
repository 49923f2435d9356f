import type { Clock, MonotonicMs, RequestPriority } from '@spurbridge/net';
import { RateLimiter, JsonClient, NoResponseError } from '@spurbridge/net';
import type {
  Mutation,
  Compare,
  KeyValue,
  LeaseId,
  Revision,
  FencingToken,
  Version,
  WatchEvent,
} from '@spurbridge/wire';
import {
  PATHS,
  formatTransaction,
  parseWatchResponse,
  parseFailedKeys,
  parseKeyValue,
  parseKeyValuePage,
  parseLeaseId,
  parseRevision,
} from '@spurbridge/wire';

export type RequestFailure =
  /** Certainly not executed: refused, over a limit, or never sent. */
  | { readonly outcome: 'refused' }
  /** No answer: it may have been executed, or may still be, at any later time. */
  | { readonly outcome: 'unknown' };

export type CommitOutcome =
  | { readonly outcome: 'committed'; readonly revision: Revision }
  | { readonly outcome: 'conflict'; readonly failed: readonly string[]; readonly revision: Revision }
  | { readonly outcome: 'no_lease' }
  | RequestFailure;

export type ReadOutcome =
  | { readonly outcome: 'found'; readonly item: KeyValue }
  | { readonly outcome: 'absent'; readonly revision: Revision }
  | RequestFailure;
export type ListOutcome =
  | {
      readonly outcome: 'listed';
      readonly items: readonly KeyValue[];
      /** Of the first page: a watch from it misses nothing. */
      readonly revision: Revision;
      /** Of the last page: no item is later. */
      readonly latest: Revision;
    }
  | RequestFailure;
export type WatchOutcome =
  | { readonly outcome: 'events'; readonly revision: Revision; readonly events: readonly WatchEvent[] }
  | { readonly outcome: 'compacted' }
  | RequestFailure;
export type LeaseGrantOutcome = { readonly outcome: 'granted'; readonly lease: LeaseId } | RequestFailure;
export type LeaseRenewalOutcome =
  { readonly outcome: 'renewed' } | { readonly outcome: 'ended' } | RequestFailure;

/** The state service as the controllers use it; the stand-in of `testkit` implements it too. */
export interface KeyValueStore {
  /**
   * Whether what it says is believed now. While it is not, every call is refused, and nothing may be started,
   * rented, forgotten or released on the strength of what was read before.
   */
  readonly isTrusted: boolean;
  /** Changes when data may have been lost: no lease is believed across such a change. */
  readonly generation: number;
  /** The token of a leader whose record has this version. */
  fencingTokenOf(version: Version): FencingToken;
  read(key: string, urgency: RequestPriority): Promise<ReadOutcome>;
  list(prefix: string, urgency: RequestPriority): Promise<ListOutcome>;
  commit(
    conditions: readonly Compare[],
    changes: readonly Mutation[],
    urgency: RequestPriority,
  ): Promise<CommitOutcome>;
  watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome>;
  grantLease(ttlMs: number): Promise<LeaseGrantOutcome>;
  /** Renews the lease of a leader; `held` is its record's condition, for a store that looks after that too. */
  renewLease(lease: LeaseId, held: Compare): Promise<LeaseRenewalOutcome>;
  revokeLease(lease: LeaseId): Promise<void>;
  /** Since when requests have failed without one being served; null while served. */
  failingSince(): MonotonicMs | null;
}

export interface KeyValueStoreLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

const ANSWER_MS = 1500;
const LIST_PAGE = 1000;

export class HttpKeyValueStore implements KeyValueStore {
  readonly isTrusted = true;
  readonly generation = 0;
  private readonly client: JsonClient;
  private readonly watcher: JsonClient;
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  private failing: MonotonicMs | null = null;

  constructor(
    address: string,
    limits: KeyValueStoreLimits,
    private readonly clock: Clock,
  ) {
    this.client = new JsonClient(address, 24);
    this.watcher = new JsonClient(address, 4);
    this.requests = new RateLimiter(clock, limits.rps * 0.6, limits.rps * 0.5);
    this.writes = new RateLimiter(clock, limits.writeRps * 0.8, limits.writeRps * 0.8);
  }

  failingSince(): MonotonicMs | null {
    return this.failing;
  }

  fencingTokenOf(version: Version): FencingToken {
    return version as number as FencingToken;
  }

  private async call<T>(
    method: 'GET' | 'POST' | 'DELETE',
    path: string,
    body: unknown,
    timeoutMs: number,
    understand: (status: number, body: unknown) => T | null,
    client = this.client,
  ): Promise<T | RequestFailure> {
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
      return { outcome: e instanceof NoResponseError && e.notSent ? 'refused' : 'unknown' };
    }
  }

  async read(key: string, urgency: RequestPriority): Promise<ReadOutcome> {
    if (!this.requests.tryAcquire(1, urgency)) return { outcome: 'refused' };
    return this.call<ReadOutcome>('GET', `${PATHS.keys}/${key}`, undefined, ANSWER_MS, (status, body) =>
      status === 200
        ? { outcome: 'found', item: parseKeyValue(body) }
        : status === 404
          ? { outcome: 'absent', revision: parseRevision(body) }
          : null,
    );
  }

  /** All items of a prefix, a page at a time. */
  async list(prefix: string, urgency: RequestPriority): Promise<ListOutcome> {
    const items: KeyValue[] = [];
    let revision: Revision | null = null;
    for (let from = ''; ;) {
      if (!this.requests.tryAcquire(1, urgency)) return { outcome: 'refused' };
      const after = from === '' ? '' : `&from=${encodeURIComponent(from)}`;
      const path = `${PATHS.keys}?starts=${encodeURIComponent(prefix)}${after}&most=${LIST_PAGE}`;
      const page = await this.call('GET', path, undefined, 4000, (status, body) =>
        status === 200 ? { outcome: 'page' as const, ...parseKeyValuePage(body) } : null,
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
    conditions: readonly Compare[],
    changes: readonly Mutation[],
    urgency: RequestPriority,
  ): Promise<CommitOutcome> {
    if (!this.requests.tryAcquire(1, urgency) || !this.writes.tryAcquire(changes.length, urgency))
      return { outcome: 'refused' };
    return this.call<CommitOutcome>(
      'POST',
      PATHS.transactions,
      formatTransaction(conditions, changes),
      ANSWER_MS,
      (status, body) => {
        if (status === 200) return { outcome: 'committed', revision: parseRevision(body) };
        if (status === 409)
          return { outcome: 'conflict', failed: parseFailedKeys(body), revision: parseRevision(body) };
        if (status === 400) return { outcome: 'no_lease' };
        return null;
      },
    );
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    if (!this.requests.tryAcquire(1, 0)) return { outcome: 'refused' };
    const path = `${PATHS.watch}?starts=${encodeURIComponent(prefix)}&from=${after}&blockMs=${waitMs}`;
    return this.call<WatchOutcome>(
      'GET',
      path,
      undefined,
      waitMs + 3000,
      (status, body) => {
        if (status === 200) return { outcome: 'events', ...parseWatchResponse(body) };
        return status === 410 ? { outcome: 'compacted' } : null;
      },
      this.watcher,
    );
  }

  async grantLease(ttlMs: number): Promise<LeaseGrantOutcome> {
    if (!this.requests.tryAcquire(1, 0)) return { outcome: 'refused' };
    return this.call<LeaseGrantOutcome>('POST', PATHS.leases, { ttlMs }, ANSWER_MS, (status, body) =>
      status === 200 ? { outcome: 'granted', lease: parseLeaseId(body) } : null,
    );
  }

  async renewLease(lease: LeaseId): Promise<LeaseRenewalOutcome> {
    if (!this.requests.tryAcquire(1, 0)) return { outcome: 'refused' };
    return this.call<LeaseRenewalOutcome>(
      'POST',
      `${PATHS.leases}/${lease}/touch`,
      {},
      ANSWER_MS,
      (status) => (status === 200 ? { outcome: 'renewed' } : status === 404 ? { outcome: 'ended' } : null),
    );
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    if (!this.requests.tryAcquire(1, 0)) return;
    await this.call('DELETE', `${PATHS.leases}/${lease}`, undefined, ANSWER_MS, (status) =>
      status === 200 || status === 404 ? { outcome: 'ended' as const } : null,
    );
  }
}
