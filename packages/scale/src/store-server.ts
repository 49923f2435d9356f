/**
 * The helper process that simulates the key-value store of one region.
 *
 * @module
 */
import { HTTP_STATUS, parseSocketAddress } from '@spurbridge/net';
import { MonotonicTimeline } from '@spurbridge/simulated-worker';
import type { WallClockMs } from '@spurbridge/model';
import { encodeJob, jobKey } from '@spurbridge/model';
import { SimKeyValueStore, jobSpec } from '@spurbridge/testkit';
import type { KeyValue, JobId, LeaseId, Revision, Version } from '@spurbridge/wire';
import {
  PATHS,
  formatWatchResponse,
  formatConflict,
  formatKeyValue,
  formatKeyValuePage,
  formatLeaseId,
  formatRevision,
  parseTransaction,
  parseLeaseTtlMs,
} from '@spurbridge/wire';
import type { FastifyInstance, FastifyReply } from 'fastify';
import { handleOrders, notifyDriver } from './driver-channel.js';
import type { Meter } from './meter.js';
import { jsonServer } from './json-server.js';
import type { StoreRole } from './messages.js';

const MAX_HISTORY_EVENTS = 10_000;
const TRIM_INTERVAL_MS = 1000;
const MAX_PAGE_SIZE = 1000;
const MAX_WAIT_MS = 60_000;
const TEAMS_OF_ENDED_JOBS = 50;

interface ListQuery {
  readonly starts?: string;
  readonly from?: string;
  readonly most?: string;
}

interface WatchQuery {
  readonly starts?: string;
  readonly from?: string;
  readonly blockMs?: string;
}

/** A simulated key-value store behind the HTTP interface and rate limits of the real one. */
export class KeyValueStoreServer {
  readonly app: FastifyInstance = jsonServer();
  private readonly store: SimKeyValueStore;
  private lastListing: {
    readonly prefix: string;
    readonly revision: Revision;
    readonly items: readonly KeyValue[];
  } | null = null;

  constructor(
    role: Pick<StoreRole, 'rps' | 'writeRps' | 'valueKb' | 'txnOps'>,
    private readonly meter: Meter,
  ) {
    this.store = new SimKeyValueStore(new MonotonicTimeline(), role);
    setInterval(() => {
      this.store.trimHistory(MAX_HISTORY_EVENTS);
    }, TRIM_INTERVAL_MS).unref();
    this.registerKeyRoutes();
    this.registerLeaseRoutes();
  }

  /** Adds records of ended jobs, in the format in which controllers write them. */
  seedEndedJobs(endedJobs: number): void {
    for (let n = 0; n < endedJobs; n += 1) {
      const spec = jobSpec({ id: `wk-old-${n}` as JobId, team: `team-${n % TEAMS_OF_ENDED_JOBS}` });
      const record = { spec, phase: 'done' as const, submittedAt: 0 as WallClockMs, chunkSize: 256 };
      this.store.commit([], [{ put: jobKey(spec.id), value: encodeJob(record) }]);
    }
    this.store.trimHistory(0);
  }

  private get revision(): Revision {
    return this.store.currentRevision();
  }

  /** Applies the rate limits to a request with this number of mutations. Sends the response if they reject it. */
  private admits(reply: FastifyReply, mutations: number): boolean {
    const isAdmitted = this.store.admits(mutations);
    this.meter.count(isAdmitted ? 'requests' : 'refused');
    if (isAdmitted) this.meter.count('changes', mutations);
    else void reply.code(HTTP_STATUS.tooManyRequests).send({ error: 'over the limit' });
    return isAdmitted;
  }

  private registerKeyRoutes(): void {
    const { app } = this;
    app.get<{ Params: { '*': string } }>(`${PATHS.keys}/*`, (request, reply) => {
      if (this.admits(reply, 0)) this.read(decodeURIComponent(request.params['*']), reply);
      return reply;
    });
    app.get<{ Querystring: ListQuery }>(PATHS.keys, (request, reply) => {
      if (this.admits(reply, 0)) this.list(request.query, reply);
      return reply;
    });
    app.post(PATHS.transactions, (request, reply) => {
      const { compares, mutations } = parseTransaction(request.body);
      if (!this.admits(reply, mutations.length)) return reply;
      const outcome = this.store.commit(compares, mutations);
      switch (outcome.outcome) {
        case 'committed':
          return reply.send(formatRevision(outcome.revision));
        case 'conflict':
          this.meter.count('conflicts');
          return reply.code(HTTP_STATUS.conflict).send(formatConflict(outcome.failed, outcome.revision));
        default:
          return reply.code(HTTP_STATUS.badRequest).send({ error: 'no such lease' });
      }
    });
    app.get<{ Querystring: WatchQuery }>(PATHS.watch, (request, reply) => {
      if (this.admits(reply, 0)) this.watch(request.query, reply);
      return reply;
    });
  }

  private registerLeaseRoutes(): void {
    const { app } = this;
    app.post(PATHS.leases, (request, reply) => {
      if (!this.admits(reply, 0)) return reply;
      const granted = this.store.grantLease(parseLeaseTtlMs(request.body));
      return granted.outcome === 'granted'
        ? reply.send(formatLeaseId(granted.lease))
        : reply.code(HTTP_STATUS.unavailable).send({ error: 'not granted' });
    });
    app.post<{ Params: { id: string } }>(`${PATHS.leases}/:id/touch`, (request, reply) => {
      if (!this.admits(reply, 0)) return reply;
      const { outcome } = this.store.renewLease(Number(request.params.id));
      return reply.code(outcome === 'renewed' ? HTTP_STATUS.ok : HTTP_STATUS.notFound).send({});
    });
    app.delete<{ Params: { id: string } }>(`${PATHS.leases}/:id`, (request, reply) => {
      if (!this.admits(reply, 0)) return reply;
      this.store.endLease(Number(request.params.id) as LeaseId);
      return reply.send({});
    });
  }

  private read(key: string, reply: FastifyReply): void {
    const found = this.store.read(key);
    if (found.outcome === 'found') void reply.send(formatKeyValue(found.item));
    else void reply.code(HTTP_STATUS.notFound).send(formatRevision(this.revision));
  }

  private list(query: ListQuery, reply: FastifyReply): void {
    const items = this.itemsBelow(query.starts ?? '');
    const from = query.from ?? '';
    const first = from === '' ? 0 : firstAfter(items, from);
    const most = Math.min(MAX_PAGE_SIZE, Number(query.most ?? MAX_PAGE_SIZE));
    const page = items.slice(first, first + most);
    void reply.send(formatKeyValuePage(page, first + most < items.length, this.revision));
  }

  /** All items of a prefix, cached until the next revision, so that all pages of a list need only one scan. */
  private itemsBelow(prefix: string): readonly KeyValue[] {
    if (this.lastListing?.prefix === prefix && this.lastListing.revision === this.revision)
      return this.lastListing.items;
    const listed = this.store.list(prefix);
    const items = listed.outcome === 'listed' ? listed.items : [];
    this.lastListing = { prefix, revision: this.revision, items };
    return items;
  }

  private watch(query: WatchQuery, reply: FastifyReply): void {
    const prefix = query.starts ?? '';
    const from = Number(query.from ?? 0) as Version;
    const respond = (): void => {
      if (this.store.hasEventsSince(from))
        void reply.send(formatWatchResponse(this.revision, this.store.eventsSince(prefix, from)));
      else void reply.code(HTTP_STATUS.gone).send({ error: 'too old' });
    };
    const waitMs = Math.min(MAX_WAIT_MS, Number(query.blockMs ?? 0));
    if (waitMs === 0 || !this.store.hasEventsSince(from) || this.store.eventsSince(prefix, from).length > 0) {
      respond();
      return;
    }
    let hasResponded = false;
    this.store.waitForChange(prefix, from, waitMs, () => {
      if (hasResponded) return;
      hasResponded = true;
      respond();
    });
  }
}

/** Index of the first item whose key is greater than this one. The items are sorted by key. */
function firstAfter(items: readonly KeyValue[], key: string): number {
  let low = 0;
  let high = items.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((items[middle] as KeyValue).key > key) high = middle;
    else low = middle + 1;
  }
  return low;
}

/** Runs the key-value store of one region in this process. */
export async function runStore(role: StoreRole, meter: Meter): Promise<void> {
  const server = new KeyValueStoreServer(role, meter);
  await server.app.listen(parseSocketAddress(role.listen));
  handleOrders((order) => {
    if (order.order === 'read') notifyDriver({ notice: 'reading', reading: meter.read() });
    else if (order.order === 'remember') {
      server.seedEndedJobs(order.endedJobs);
      notifyDriver({ notice: 'remembered' });
    }
  });
  notifyDriver({ notice: 'ready' });
}
