/**
 * A client of the key-value store over HTTP, by the protocol between controller nodes and the state service.
 *
 * @module
 */
import type { Clock, HttpMethod, MonotonicMs, RequestPriority } from '@spurbridge/net';
import { HTTP_STATUS, JsonClient, NoResponseError, REQUEST_PRIORITY, RateLimiter } from '@spurbridge/net';
import type {
  Compare,
  FencingToken,
  KeyValue,
  KeyValuePage,
  LeaseId,
  Mutation,
  Revision,
  Version,
} from '@spurbridge/wire';
import {
  PATHS,
  formatLeaseTtlMs,
  formatTransaction,
  parseFailedKeys,
  parseKeyValue,
  parseKeyValuePage,
  parseLeaseId,
  parseRevision,
  parseWatchResponse,
} from '@spurbridge/wire';
import type {
  CommitOutcome,
  KeyValueStore,
  LeaseGrantOutcome,
  LeaseRenewalOutcome,
  ListOutcome,
  ReadOutcome,
  RequestFailure,
  WatchOutcome,
} from './key-value-store.js';

/** Limits of the key-value store, which all controller nodes share. */
export interface KeyValueStoreLimits {
  /** Requests per second. */
  readonly rps: number;
  /** Puts and deletes per second. */
  readonly writeRps: number;
  /** Maximum size of a value, in KiB. */
  readonly valueKb: number;
  /** Maximum number of puts and deletes in one transaction. */
  readonly txnOps: number;
}

const RESPONSE_TIMEOUT_MS = 1500;
const LIST_TIMEOUT_MS = 4000;
/** Added to the blocking time of a watch request to compute its timeout, in milliseconds. */
const WATCH_TIMEOUT_SLACK_MS = 3000;
/** Number of keys in one page of a list, which is the maximum that the store returns. */
const LIST_PAGE_SIZE = 1000;

const REQUEST_SOCKETS = 24;
/** Watches use separate connections, because each blocks its connection while it waits. */
const WATCH_SOCKETS = 4;

/** Upper bound of one node's share of the common limits, so that no node starves the others. */
const REQUEST_RATE_SHARE = 0.6;
const REQUEST_BURST_SHARE = 0.5;
const WRITE_RATE_SHARE = 0.8;
const WRITE_BURST_SHARE = 0.8;

const REFUSED: RequestFailure = { outcome: 'refused' };

/** A request, and how to interpret its response. */
interface StoreRequest<T> {
  readonly method: HttpMethod;
  readonly path: string;
  readonly body?: unknown;
  readonly timeoutMs: number;
  /** Returns the outcome of a response, or null if its status indicates that the request was not served. */
  readonly interpret: (status: number, body: unknown) => T | null;
}

/** One page of a list. */
interface ListedPage extends KeyValuePage {
  readonly outcome: 'page';
}

/** A client of the key-value store that keeps its node within a share of the common rate limits. */
export class HttpKeyValueStore implements KeyValueStore {
  /** Always true: this client does not validate the content; the package `recovery` does. */
  readonly isTrusted = true;
  readonly generation = 0;
  private readonly client: JsonClient;
  private readonly watchClient: JsonClient;
  private readonly requests: RateLimiter;
  private readonly writes: RateLimiter;
  private failingFrom: MonotonicMs | null = null;

  /** The address is `host:port`. */
  constructor(
    address: string,
    limits: KeyValueStoreLimits,
    private readonly clock: Clock,
  ) {
    this.client = new JsonClient(address, REQUEST_SOCKETS);
    this.watchClient = new JsonClient(address, WATCH_SOCKETS);
    this.requests = new RateLimiter(clock, limits.rps * REQUEST_RATE_SHARE, limits.rps * REQUEST_BURST_SHARE);
    this.writes = new RateLimiter(
      clock,
      limits.writeRps * WRITE_RATE_SHARE,
      limits.writeRps * WRITE_BURST_SHARE,
    );
  }

  failingSince(): MonotonicMs | null {
    return this.failingFrom;
  }

  /** The token is the version of the leader's record, which rises with every election. */
  fencingTokenOf(version: Version): FencingToken {
    return version as number as FencingToken;
  }

  async read(key: string, priority: RequestPriority): Promise<ReadOutcome> {
    if (!this.requests.tryAcquire(1, priority)) return REFUSED;
    return this.send<ReadOutcome>({
      method: 'GET',
      path: `${PATHS.keys}/${key}`,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      interpret: interpretRead,
    });
  }

  /** Reads all keys with a prefix, page by page. */
  async list(prefix: string, priority: RequestPriority): Promise<ListOutcome> {
    const items: KeyValue[] = [];
    let revision: Revision | null = null;
    for (let from = ''; ;) {
      if (!this.requests.tryAcquire(1, priority)) return REFUSED;
      const page = await this.send<ListedPage>({
        method: 'GET',
        path: listPath(prefix, from),
        timeoutMs: LIST_TIMEOUT_MS,
        interpret: interpretPage,
      });
      if (page.outcome !== 'page') return page;
      revision ??= page.revision;
      items.push(...page.items);
      const last = page.items.at(-1);
      if (!page.hasMore || last === undefined)
        return { outcome: 'listed', items, revision, latest: page.revision };
      from = last.key;
    }
  }

  async commit(
    compares: readonly Compare[],
    mutations: readonly Mutation[],
    priority: RequestPriority,
  ): Promise<CommitOutcome> {
    if (!this.requests.tryAcquire(1, priority)) return REFUSED;
    if (!this.writes.tryAcquire(mutations.length, priority)) return REFUSED;
    return this.send<CommitOutcome>({
      method: 'POST',
      path: PATHS.transactions,
      body: formatTransaction(compares, mutations),
      timeoutMs: RESPONSE_TIMEOUT_MS,
      interpret: interpretCommit,
    });
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    if (!this.requests.tryAcquire(1, REQUEST_PRIORITY.critical)) return REFUSED;
    const request: StoreRequest<WatchOutcome> = {
      method: 'GET',
      path: `${PATHS.watch}?starts=${encodeURIComponent(prefix)}&from=${after}&blockMs=${waitMs}`,
      timeoutMs: waitMs + WATCH_TIMEOUT_SLACK_MS,
      interpret: interpretWatch,
    };
    return this.send(request, this.watchClient);
  }

  async grantLease(ttlMs: number): Promise<LeaseGrantOutcome> {
    if (!this.requests.tryAcquire(1, REQUEST_PRIORITY.critical)) return REFUSED;
    return this.send<LeaseGrantOutcome>({
      method: 'POST',
      path: PATHS.leases,
      body: formatLeaseTtlMs(ttlMs),
      timeoutMs: RESPONSE_TIMEOUT_MS,
      interpret: interpretLeaseGrant,
    });
  }

  async renewLease(lease: LeaseId): Promise<LeaseRenewalOutcome> {
    if (!this.requests.tryAcquire(1, REQUEST_PRIORITY.critical)) return REFUSED;
    return this.send<LeaseRenewalOutcome>({
      method: 'POST',
      path: `${PATHS.leases}/${lease}/touch`,
      body: {},
      timeoutMs: RESPONSE_TIMEOUT_MS,
      interpret: interpretLeaseRenewal,
    });
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    if (!this.requests.tryAcquire(1, REQUEST_PRIORITY.critical)) return;
    await this.send({
      method: 'DELETE',
      path: `${PATHS.leases}/${lease}`,
      timeoutMs: RESPONSE_TIMEOUT_MS,
      interpret: interpretLeaseRevocation,
    });
  }

  private async send<T>(request: StoreRequest<T>, client = this.client): Promise<T | RequestFailure> {
    try {
      const { method, path, body, timeoutMs } = request;
      const response = await client.call(method, path, body, timeoutMs);
      const outcome = request.interpret(response.status, response.body);
      if (outcome !== null) {
        this.failingFrom = null;
        return outcome;
      }
      // A 429 response shows that the store is available, so it does not count as a failure to serve requests.
      if (response.status === HTTP_STATUS.tooManyRequests) this.requests.drain();
      else this.failingFrom ??= this.clock.now();
      return REFUSED;
    } catch (error) {
      // The error is a `NoResponseError`, or a `ValidationError` if the response is malformed.
      this.failingFrom ??= this.clock.now();
      return error instanceof NoResponseError && error.notSent ? REFUSED : { outcome: 'unknown' };
    }
  }
}

/** Returns the path of the list page that begins after the key `from`, or of the first page if `from` is ''. */
function listPath(prefix: string, from: string): string {
  const after = from === '' ? '' : `&from=${encodeURIComponent(from)}`;
  return `${PATHS.keys}?starts=${encodeURIComponent(prefix)}${after}&most=${LIST_PAGE_SIZE}`;
}

function interpretRead(status: number, body: unknown): ReadOutcome | null {
  if (status === HTTP_STATUS.ok) return { outcome: 'found', item: parseKeyValue(body) };
  return status === HTTP_STATUS.notFound ? { outcome: 'absent', revision: parseRevision(body) } : null;
}

function interpretPage(status: number, body: unknown): ListedPage | null {
  return status === HTTP_STATUS.ok ? { outcome: 'page', ...parseKeyValuePage(body) } : null;
}

function interpretCommit(status: number, body: unknown): CommitOutcome | null {
  switch (status) {
    case HTTP_STATUS.ok:
      return { outcome: 'committed', revision: parseRevision(body) };
    case HTTP_STATUS.conflict:
      return { outcome: 'conflict', failed: parseFailedKeys(body), revision: parseRevision(body) };
    case HTTP_STATUS.badRequest:
      return { outcome: 'no_lease' };
    default:
      return null;
  }
}

function interpretWatch(status: number, body: unknown): WatchOutcome | null {
  if (status === HTTP_STATUS.ok) return { outcome: 'events', ...parseWatchResponse(body) };
  return status === HTTP_STATUS.gone ? { outcome: 'compacted' } : null;
}

function interpretLeaseGrant(status: number, body: unknown): LeaseGrantOutcome | null {
  return status === HTTP_STATUS.ok ? { outcome: 'granted', lease: parseLeaseId(body) } : null;
}

function interpretLeaseRenewal(status: number): LeaseRenewalOutcome | null {
  if (status === HTTP_STATUS.ok) return { outcome: 'renewed' };
  return status === HTTP_STATUS.notFound ? { outcome: 'ended' } : null;
}

function interpretLeaseRevocation(status: number): { readonly outcome: 'ended' } | null {
  return status === HTTP_STATUS.ok || status === HTTP_STATUS.notFound ? { outcome: 'ended' } : null;
}
