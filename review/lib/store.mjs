// Stand-in of the state service (PROTOCOL, "Controller nodes -> state service").
// One HTTP server for each controller node, so that a single node can be refused, and one common content.
import http from 'node:http';
import { readJson, reply, sleep, RateLimit } from './util.mjs';

export class Store {
  constructor(limits) {
    this.limits = limits;
    this.keys = new Map(); // key -> { value, stamp, permit }
    this.ledger = 0;
    this.log = []; // { stamp, set, value } | { stamp, remove }
    this.leases = new Map(); // permit -> { ttlMs, endsAt }
    this.nextPermit = 1;
    this.trimmedTo = 0; // changes up to this revision are not kept any more
    this.watchers = new Set();
    this.requests = new RateLimit(limits.rps, limits.rps);
    this.writes = new RateLimit(limits.write_rps, limits.write_rps);
    this.refused = new Set(); // node indexes that get 503
    this.held = new Set(); // node indexes whose requests are held
    this.outage = false;
    this.latencyMs = 4;
    this.onCommit = null; // called with each transaction that was carried out
    this.lateShare = 0; // share of transactions that are carried out late, without an answer
    this.lostShare = 0; // share of transactions that are carried out at once, without an answer
    this.servers = [];
    this.counts = { requests: 0, limited: 0, refused: 0 };
    this.timer = setInterval(() => this.expireLeases(), 20);
  }

  async listen(count) {
    const ports = [];
    for (let node = 0; node < count; node += 1) {
      const server = http.createServer((request, response) => void this.handle(node, request, response));
      server.keepAliveTimeout = 120_000;
      await new Promise((resolve) => server.listen(0, '127.0.0.1', resolve));
      this.servers.push(server);
      ports.push(server.address().port);
    }
    return ports;
  }

  close() {
    clearInterval(this.timer);
    for (const server of this.servers) {
      server.closeAllConnections();
      server.close();
    }
  }

  isRefused(node) {
    return this.outage || this.refused.has(node);
  }

  /** After an outage every lease has its full time again. */
  endOutage() {
    this.outage = false;
    for (const lease of this.leases.values()) lease.endsAt = performance.now() + lease.ttlMs;
    this.wake();
  }

  setRefused(node, isRefused) {
    if (isRefused) this.refused.add(node);
    else this.refused.delete(node);
    this.wake();
  }

  expireLeases() {
    if (this.outage) return;
    const now = performance.now();
    for (const [permit, lease] of this.leases) if (now > lease.endsAt) this.endLease(permit);
  }

  endLease(permit) {
    if (!this.leases.delete(permit)) return;
    const removed = [...this.keys].filter(([, entry]) => entry.permit === permit).map(([key]) => key);
    if (removed.length === 0) return;
    this.ledger += 1;
    for (const key of removed) this.removeKey(key);
    this.wake();
  }

  removeKey(key) {
    if (!this.keys.delete(key)) return;
    this.log.push({ remove: key, stamp: this.ledger });
  }

  wake() {
    if (this.log.length > 10_000) {
      const trimmed = this.log.splice(0, this.log.length - 10_000);
      this.trimmedTo = trimmed[trimmed.length - 1].stamp;
    }
    for (const watcher of [...this.watchers]) watcher();
  }

  /** Returns [status, body]. */
  commit({ when = [], apply = [] }) {
    const failed = when.filter(({ key, stamp }) => (this.keys.get(key)?.stamp ?? 0) !== stamp).map(({ key }) => key);
    for (const change of apply)
      if (change.permit != null && !this.leases.has(change.permit)) return [400, { error: 'no such lease' }];
    if (failed.length > 0) return [409, { failed, ledger: this.ledger }];
    if (apply.length === 0) return [200, { ledger: this.ledger }];
    this.ledger += 1;
    for (const change of apply) {
      if (change.remove !== undefined) this.removeKey(change.remove);
      else {
        const entry = { value: change.value, stamp: this.ledger, permit: change.permit ?? null };
        this.keys.set(change.set, entry);
        this.log.push({ set: change.set, value: change.value, stamp: this.ledger });
      }
    }
    this.wake();
    return [200, { ledger: this.ledger }];
  }

  async handle(node, request, response) {
    const body = await readJson(request);
    this.counts.requests += 1;
    if (this.latencyMs > 0) await sleep(this.latencyMs * (0.5 + Math.random()));
    const url = new URL(request.url, 'http://store');
    const isWatch = url.pathname === '/follow';
    // Held packets are delivered in order once the interruption ends, even if the sender gave up meanwhile.
    while (this.held.has(node)) await sleep(20);
    if (this.isRefused(node)) {
      this.counts.refused += 1;
      return reply(response, 503, { error: 'trouble' });
    }
    const changes = url.pathname === '/commit' && Array.isArray(body?.apply) ? body.apply.length : 0;
    if (!this.requests.take(1) || (changes > 0 && !this.writes.take(changes))) {
      this.counts.limited += 1;
      return reply(response, 429, { error: 'over the limit' });
    }
    if (isWatch) return this.follow(node, url.searchParams, response);
    if (url.pathname === '/commit' && request.method === 'POST') return this.handleCommit(body, response);
    if (url.pathname === '/keys') return this.list(url.searchParams, response);
    if (url.pathname.startsWith('/keys/')) return this.read(decodeURIComponent(url.pathname.slice(6)), response);
    if (url.pathname === '/leases' && request.method === 'POST') {
      const ttlMs = body?.ttlMs;
      if (!(ttlMs >= 100 && ttlMs <= 600_000)) return reply(response, 400, { error: 'ttlMs' });
      const permit = this.nextPermit++;
      this.leases.set(permit, { ttlMs, endsAt: performance.now() + ttlMs });
      return reply(response, 200, { permit });
    }
    const lease = /^\/leases\/(\d+)(\/touch)?$/.exec(url.pathname);
    if (lease !== null) {
      const permit = Number(lease[1]);
      if (request.method === 'DELETE') {
        this.endLease(permit);
        return reply(response, 200, {});
      }
      const known = this.leases.get(permit);
      if (known === undefined) return reply(response, 404, {});
      known.endsAt = performance.now() + known.ttlMs;
      return reply(response, 200, {});
    }
    return reply(response, 400, { error: 'malformed' });
  }

  handleCommit(body, response) {
    const { value_kb: valueKb, txn_ops: txnOps } = this.limits;
    const { when = [], apply = [] } = body ?? {};
    const isTooLarge =
      apply.length > txnOps ||
      when.length > 4 * txnOps ||
      JSON.stringify(body ?? null).length > 64 * 1024 ||
      apply.some((change) => change.set !== undefined && JSON.stringify(change.value).length > valueKb * 1024);
    if (isTooLarge) {
      this.counts.tooLarge = (this.counts.tooLarge ?? 0) + 1;
      return reply(response, 400, { error: 'malformed' });
    }
    const draw = Math.random();
    if (draw < this.lateShare) {
      setTimeout(() => this.commit(body), 2000 + Math.random() * 10_000);
      setTimeout(() => response.destroy(), 6000);
      return undefined;
    }
    const [status, answer] = this.commit(body);
    if (status === 200 && apply.length > 0) this.onCommit?.(body);
    if (draw < this.lateShare + this.lostShare) {
      setTimeout(() => response.destroy(), 6000);
      return undefined;
    }
    return reply(response, status, answer);
  }

  read(key, response) {
    const entry = this.keys.get(key);
    if (entry === undefined) return reply(response, 404, { ledger: this.ledger });
    const { value, stamp, permit } = entry;
    return reply(response, 200, { key, value, stamp, ...(permit === null ? {} : { permit }) });
  }

  list(query, response) {
    const starts = query.get('starts') ?? '';
    const from = query.get('from') ?? '';
    const most = Math.min(1000, Number(query.get('most') ?? 1000));
    if (this.sortedAt !== this.ledger) {
      this.sorted = [...this.keys.keys()].sort();
      this.sortedAt = this.ledger;
    }
    const pairs = [];
    let bytes = 0;
    let more = false;
    let low = 0;
    let high = this.sorted.length;
    const first = from > starts ? from : starts;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (this.sorted[middle] < first) low = middle + 1;
      else high = middle;
    }
    for (let index = low; index < this.sorted.length; index += 1) {
      const key = this.sorted[index];
      if (!key.startsWith(starts)) break;
      if (from !== '' && key <= from) continue;
      const { value, stamp } = this.keys.get(key);
      bytes += JSON.stringify(value).length + key.length + 40;
      if (pairs.length >= most || (bytes > 512 * 1024 && pairs.length > 0)) {
        more = true;
        break;
      }
      pairs.push({ key, value, stamp });
    }
    return reply(response, 200, { pairs, more, ledger: this.ledger });
  }

  follow(node, query, response) {
    const starts = query.get('starts') ?? '';
    const from = Number(query.get('from') ?? 0);
    const until = performance.now() + Math.min(60_000, Number(query.get('blockMs') ?? 0));
    let timer = null;
    const attempt = (isLast) => {
      // During an outage, and while this node alone is refused, open watches wait.
      if (this.isRefused(node)) {
        if (isLast) timer = setTimeout(() => attempt(true), 100);
        return;
      }
      if (from < this.trimmedTo) return finish(410, { error: 'too old' });
      const log = this.log.filter(
        (change) => change.stamp > from && (change.set ?? change.remove).startsWith(starts),
      );
      if (log.length > 0 || isLast) finish(200, { ledger: this.ledger, log });
    };
    const wake = () => attempt(false);
    const finish = (status, body) => {
      this.watchers.delete(wake);
      clearTimeout(timer);
      reply(response, status, body);
    };
    this.watchers.add(wake);
    response.on('close', () => {
      this.watchers.delete(wake);
      clearTimeout(timer);
    });
    timer = setTimeout(() => attempt(true), Math.max(0, until - performance.now()));
    attempt(false);
  }
}
