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
import { splitAddress } from './addresses.js';
import type { Meter } from './child.js';
import { handleOrders, notifyDriver } from './child.js';
import { jsonServer } from './json-server.js';
import type { StoreRole } from './messages.js';

const KEPT_CHANGES = 10_000;
const KEEP_EVERY_MS = 1000;
const MOST_ITEMS = 1000;
const MOST_WAIT_MS = 60_000;
const TEAMS_OF_OLD_JOBS = 50;

interface ListQuery {
  readonly starts?: string;
  readonly from?: string;
  readonly most?: string;
}

interface FollowQuery {
  readonly starts?: string;
  readonly from?: string;
  readonly blockMs?: string;
}

/** The stand-in of the state service over HTTP, with its limits. */
export class KeyValueStoreServer {
  readonly app: FastifyInstance = jsonServer();
  private readonly state: SimKeyValueStore;
  private listed: {
    readonly prefix: string;
    readonly revision: Revision;
    readonly items: readonly KeyValue[];
  } | null = null;

  constructor(
    role: Pick<StoreRole, 'rps' | 'writeRps' | 'valueKb' | 'txnOps'>,
    private readonly meter: Meter,
  ) {
    this.state = new SimKeyValueStore(new MonotonicTimeline(), role);
    setInterval(() => {
      this.state.trimHistory(KEPT_CHANGES);
    }, KEEP_EVERY_MS).unref();
    this.routes();
  }

  /** Puts records of jobs that ended long ago in place, as the controllers write them. */
  seedEndedJobs(endedJobs: number): void {
    for (let n = 0; n < endedJobs; n += 1) {
      const spec = jobSpec({ id: `wk-old-${n}` as JobId, team: `team-${n % TEAMS_OF_OLD_JOBS}` });
      const record = { spec, phase: 'done' as const, submittedAt: 0 as WallClockMs, chunkSize: 256 };
      this.state.commit([], [{ put: jobKey(spec.id), value: encodeJob(record) }]);
    }
    this.state.trimHistory(0);
  }

  private get revision(): Revision {
    return this.state.currentRevision();
  }

  /** Whether the limits let a request with so many changes through; otherwise it was answered. */
  private admits(reply: FastifyReply, changes: number): boolean {
    const isAdmitted = this.state.admits(changes);
    this.meter.count(isAdmitted ? 'requests' : 'refused');
    if (isAdmitted) this.meter.count('changes', changes);
    else void reply.code(429).send({ error: 'over the limit' });
    return isAdmitted;
  }

  private routes(): void {
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
      const { compares: conditions, mutations: changes } = parseTransaction(request.body);
      if (!this.admits(reply, changes.length)) return reply;
      const outcome = this.state.commit(conditions, changes);
      switch (outcome.outcome) {
        case 'committed':
          return reply.send(formatRevision(outcome.revision));
        case 'conflict':
          this.meter.count('conflicts');
          return reply.code(409).send(formatConflict(outcome.failed, outcome.revision));
        default:
          return reply.code(400).send({ error: 'no such lease' });
      }
    });
    app.post(PATHS.leases, (request, reply) => {
      if (!this.admits(reply, 0)) return reply;
      const granted = this.state.grantLease(parseLeaseTtlMs(request.body));
      return granted.outcome === 'granted'
        ? reply.send(formatLeaseId(granted.lease))
        : reply.code(503).send({ error: 'not granted' });
    });
    app.post<{ Params: { id: string } }>(`${PATHS.leases}/:id/touch`, (request, reply) => {
      if (!this.admits(reply, 0)) return reply;
      const { outcome } = this.state.renewLease(Number(request.params.id));
      return reply.code(outcome === 'renewed' ? 200 : 404).send({});
    });
    app.delete<{ Params: { id: string } }>(`${PATHS.leases}/:id`, (request, reply) => {
      if (!this.admits(reply, 0)) return reply;
      this.state.endLease(Number(request.params.id) as LeaseId);
      return reply.send({});
    });
    app.get<{ Querystring: FollowQuery }>(PATHS.watch, (request, reply) => {
      if (this.admits(reply, 0)) this.follow(request.query, reply);
      return reply;
    });
  }

  private read(key: string, reply: FastifyReply): void {
    const found = this.state.read(key);
    if (found.outcome === 'found') void reply.send(formatKeyValue(found.item));
    else void reply.code(404).send(formatRevision(this.revision));
  }

  private list(query: ListQuery, reply: FastifyReply): void {
    const items = this.itemsBelow(query.starts ?? '');
    const from = query.from ?? '';
    const first = from === '' ? 0 : firstAfter(items, from);
    const most = Math.min(MOST_ITEMS, Number(query.most ?? MOST_ITEMS));
    const page = items.slice(first, first + most);
    void reply.send(formatKeyValuePage(page, first + most < items.length, this.revision));
  }

  /** All items of a prefix; kept while nothing changes, so that the pages of one list cost one look. */
  private itemsBelow(prefix: string): readonly KeyValue[] {
    if (this.listed?.prefix === prefix && this.listed.revision === this.revision) return this.listed.items;
    const listed = this.state.list(prefix);
    const items = listed.outcome === 'listed' ? listed.items : [];
    this.listed = { prefix, revision: this.revision, items };
    return items;
  }

  private follow(query: FollowQuery, reply: FastifyReply): void {
    const prefix = query.starts ?? '';
    const from = Number(query.from ?? 0) as Version;
    const answer = (): void => {
      if (this.state.hasEventsSince(from))
        void reply.send(formatWatchResponse(this.revision, this.state.eventsSince(prefix, from)));
      else void reply.code(410).send({ error: 'too old' });
    };
    const waitMs = Math.min(MOST_WAIT_MS, Number(query.blockMs ?? 0));
    if (waitMs === 0 || !this.state.hasEventsSince(from) || this.state.eventsSince(prefix, from).length > 0) {
      answer();
      return;
    }
    let isAnswered = false;
    this.state.waitForChange(prefix, from, waitMs, () => {
      if (isAnswered) return;
      isAnswered = true;
      answer();
    });
  }
}

/** Index of the first item whose key comes after this one; the items are in the order of their keys. */
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

/** A process that is the state service of one region. */
export async function runStore(role: StoreRole, meter: Meter): Promise<void> {
  const server = new KeyValueStoreServer(role, meter);
  await server.app.listen(splitAddress(role.listen));
  handleOrders((order) => {
    if (order.order === 'read') notifyDriver({ notice: 'reading', reading: meter.read() });
    else if (order.order === 'remember') {
      server.seedEndedJobs(order.endedJobs);
      notifyDriver({ notice: 'remembered' });
    }
  });
  notifyDriver({ notice: 'ready' });
}
