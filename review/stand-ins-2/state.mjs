// State service: the key-value store of the protocol, in memory, with its limits.
import http from 'node:http';

/** A bucket of one second's worth of requests. */
class Bucket {
  constructor(rate) {
    this.rate = rate;
    this.tokens = rate;
    this.at = performance.now();
  }
  take(amount) {
    const now = performance.now();
    this.tokens = Math.min(this.rate, this.tokens + ((now - this.at) / 1000) * this.rate);
    this.at = now;
    if (this.tokens < amount) return false;
    this.tokens -= amount;
    return true;
  }
}

const KEPT_CHANGES = 10_000;
const MAX_PAGE_ITEMS = 1000;
const MAX_PAGE_BYTES = 512 * 1024;
const MAX_TRANSACTION_BYTES = 64 * 1024;

export class StateService {
  constructor({ rps, writeRps, valueKb, txnOps, latencyMs = 3 }) {
    Object.assign(this, { rps, writeRps, valueKb, txnOps, latencyMs });
    this.keys = new Map(); // key -> { text, stamp, permit }
    this.ledger = 0;
    this.log = [];
    this.leases = new Map();
    this.nextPermit = 1;
    this.watchers = new Set();
    this.requests = new Bucket(rps);
    this.writes = new Bucket(writeRps);
    this.refusals = [];
    this.isDown = false;
    this.sorted = null;
  }

  async listen() {
    this.server = http.createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 120_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    for (const lease of this.leases.values()) clearTimeout(lease.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      setTimeout(() => this.answer(request, response, Buffer.concat(chunks).toString('utf8')), this.latencyMs);
    });
  }

  answer(request, response, bodyText) {
    const send = (status, body) => {
      const text = typeof body === 'string' ? body : JSON.stringify(body);
      if (response.destroyed) return;
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) });
      response.end(text);
    };
    if (this.isDown) return send(503, { error: 'down' });
    if (!this.requests.take(1)) return send(429, { error: 'too many requests' });
    const url = new URL(request.url, 'http://state');
    const path = decodeURIComponent(url.pathname);
    const { method } = request;
    if (method === 'GET' && path === '/keys') return send(200, this.page(url.searchParams));
    if (method === 'GET' && path.startsWith('/keys/')) return this.read(path.slice(6), send);
    if (method === 'POST' && path === '/commit') return this.commit(bodyText, send);
    if (method === 'POST' && path === '/leases') return this.grant(bodyText, send);
    const touch = /^\/leases\/(\d+)\/touch$/.exec(path);
    if (method === 'POST' && touch !== null) return this.touch(Number(touch[1]), send);
    const ended = /^\/leases\/(\d+)$/.exec(path);
    if (method === 'DELETE' && ended !== null) {
      this.endLease(Number(ended[1]));
      return send(200, {});
    }
    if (method === 'GET' && path === '/follow') return this.follow(url.searchParams, response, send);
    return send(400, { error: 'malformed' });
  }

  read(key, send) {
    const entry = this.keys.get(key);
    if (entry === undefined) return send(404, { ledger: this.ledger });
    const permit = entry.permit === undefined ? '' : `,"permit":${entry.permit}`;
    return send(200, `{"key":${JSON.stringify(key)},"value":${entry.text},"stamp":${entry.stamp}${permit}}`);
  }

  sortedKeys() {
    this.sorted ??= [...this.keys.keys()].sort();
    return this.sorted;
  }

  page(params) {
    const starts = params.get('starts') ?? '';
    const from = params.get('from') ?? '';
    const most = Math.min(MAX_PAGE_ITEMS, Number(params.get('most') ?? MAX_PAGE_ITEMS));
    const keys = this.sortedKeys();
    const items = [];
    let bytes = 0;
    let more = false;
    let low = 0;
    let high = keys.length;
    const first = from > starts ? from : starts;
    while (low < high) {
      const middle = (low + high) >> 1;
      if (keys[middle] < first) low = middle + 1;
      else high = middle;
    }
    for (let index = low; index < keys.length; index += 1) {
      const key = keys[index];
      if (key === from && from !== '') continue;
      if (!key.startsWith(starts)) break;
      const { text, stamp } = this.keys.get(key);
      const item = `{"key":${JSON.stringify(key)},"value":${text},"stamp":${stamp}}`;
      if (items.length >= most || bytes + item.length > MAX_PAGE_BYTES) {
        more = true;
        break;
      }
      items.push(item);
      bytes += item.length + 1;
    }
    return `{"pairs":[${items.join(',')}],"more":${more},"ledger":${this.ledger}}`;
  }

  commit(text, send) {
    let body;
    try {
      body = JSON.parse(text);
    } catch {
      return send(400, { error: 'malformed' });
    }
    const when = body.when ?? [];
    const apply = body.apply ?? [];
    if (!this.writes.take(apply.length)) return send(429, { error: 'too many writes' });
    const refuse = (error) => {
      this.refusals.push({ error, keys: apply.map((change) => change.set ?? change.remove) });
      return send(400, { error });
    };
    if (text.length > MAX_TRANSACTION_BYTES) return refuse('transaction too large');
    if (apply.length > this.txnOps || when.length > 4 * this.txnOps) return refuse('too many operations');
    for (const change of apply) {
      if (change.set === undefined) continue;
      const bytes = Buffer.byteLength(JSON.stringify(change.value));
      if (bytes > this.valueKb * 1024) return refuse(`value of ${bytes} bytes is too large`);
      if (change.permit != null && !this.leases.has(change.permit)) return refuse('no such lease');
    }
    const failed = when.filter(({ key, stamp }) => (this.keys.get(key)?.stamp ?? 0) !== stamp).map(({ key }) => key);
    if (failed.length > 0) return send(409, { failed, ledger: this.ledger });
    if (apply.length > 0) this.change(apply);
    return send(200, { ledger: this.ledger });
  }

  change(apply) {
    this.ledger += 1;
    for (const change of apply) {
      if (change.set !== undefined) {
        const previous = this.keys.get(change.set);
        if (previous === undefined) this.sorted = null;
        if (previous?.permit !== undefined) this.leases.get(previous.permit)?.keys.delete(change.set);
        const text = JSON.stringify(change.value);
        const entry = { text, stamp: this.ledger };
        if (change.permit != null) {
          entry.permit = change.permit;
          this.leases.get(change.permit).keys.add(change.set);
        }
        this.keys.set(change.set, entry);
        this.note({ key: change.set, text, stamp: this.ledger });
      } else if (this.keys.has(change.remove)) {
        this.sorted = null;
        const previous = this.keys.get(change.remove);
        if (previous.permit !== undefined) this.leases.get(previous.permit)?.keys.delete(change.remove);
        this.keys.delete(change.remove);
        this.note({ key: change.remove, text: null, stamp: this.ledger });
      }
    }
    for (const watcher of [...this.watchers]) watcher.check();
  }

  note(event) {
    this.log.push(event);
    if (this.log.length > KEPT_CHANGES) this.log.splice(0, this.log.length - KEPT_CHANGES);
  }

  grant(text, send) {
    const { ttlMs } = JSON.parse(text);
    const permit = this.nextPermit;
    this.nextPermit += 1;
    this.leases.set(permit, { ttlMs, keys: new Set(), timer: null });
    this.renew(permit);
    return send(200, { permit });
  }

  renew(permit) {
    const lease = this.leases.get(permit);
    clearTimeout(lease.timer);
    lease.timer = setTimeout(() => this.endLease(permit), lease.ttlMs + 50);
  }

  touch(permit, send) {
    if (!this.leases.has(permit)) return send(404, { ledger: this.ledger });
    this.renew(permit);
    return send(200, { permit });
  }

  endLease(permit) {
    const lease = this.leases.get(permit);
    if (lease === undefined) return;
    clearTimeout(lease.timer);
    this.leases.delete(permit);
    if (lease.keys.size > 0) this.change([...lease.keys].map((key) => ({ remove: key })));
  }

  follow(params, response, send) {
    const starts = params.get('starts') ?? '';
    const from = Number(params.get('from') ?? 0);
    const blockMs = Math.min(60_000, Number(params.get('blockMs') ?? 0));
    const oldest = this.log[0]?.stamp ?? this.ledger + 1;
    if (from < this.ledger && this.log.length === KEPT_CHANGES && from < oldest - 1) return send(410, { ledger: this.ledger });
    const eventsAfter = () => this.log.filter(({ key, stamp }) => stamp > from && key.startsWith(starts));
    let isOver = false;
    let timer = null;
    const finish = (events) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      this.watchers.delete(watcher);
      const log = events.map(({ key, text, stamp }) =>
        text === null
          ? `{"remove":${JSON.stringify(key)},"stamp":${stamp}}`
          : `{"set":${JSON.stringify(key)},"value":${text},"stamp":${stamp}}`,
      );
      send(200, `{"ledger":${this.ledger},"log":[${log.join(',')}]}`);
    };
    const watcher = {
      check: () => {
        const events = eventsAfter();
        if (events.length > 0) finish(events);
      },
    };
    response.on('close', () => {
      isOver = true;
      clearTimeout(timer);
      this.watchers.delete(watcher);
    });
    this.watchers.add(watcher);
    timer = setTimeout(() => finish([]), blockMs);
    watcher.check();
  }
}
