// Cloud: rents machines, which run a stand-in worker each.
import http from 'node:http';

export class Cloud {
  /** `types` as in GET /flavors, `capacity` by type name, `startWorker(machine)` runs when a machine is up. */
  constructor({ types, capacity, lagMs, startWorker, stopWorker, record }) {
    Object.assign(this, { types, capacity, lagMs, startWorker, stopWorker, record });
    this.machines = new Map();
    this.hires = new Map();
    this.count = 0;
  }

  async listen() {
    this.server = http.createServer((request, response) => {
      const chunks = [];
      request.on('data', (chunk) => chunks.push(chunk));
      request.on('end', () => {
        const text = Buffer.concat(chunks).toString('utf8');
        setTimeout(() => this.answer(request, response, text), 30);
      });
    });
    this.server.keepAliveTimeout = 120_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
  }

  close() {
    for (const machine of this.machines.values()) clearTimeout(machine.timer);
    this.server.closeAllConnections();
    this.server.close();
  }

  /** Adds a machine; `bootMs` 0 for one that is up before the service starts. */
  add(build, yard, loaners, bootMs, listedAt) {
    this.count += 1;
    const nameId = `n-${String(this.count).padStart(6, '0')}`;
    const machine = { nameId, build, yard, loaners, phase: 'starting', address: '', rentedAt: Date.now(), listedAt, goneAt: null };
    this.machines.set(nameId, machine);
    machine.timer = setTimeout(async () => {
      machine.phase = 'running';
      await this.startWorker(machine);
    }, bootMs);
    return machine;
  }

  answer(request, response, text) {
    const send = (status, body) => {
      const out = JSON.stringify(body);
      response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(out) });
      response.end(out);
    };
    const url = new URL(request.url, 'http://cloud');
    if (request.method === 'GET' && url.pathname === '/flavors') return send(200, { builds: this.types });
    if (request.method === 'GET' && url.pathname === '/rentals') return send(200, this.list(url.searchParams));
    if (request.method === 'POST' && url.pathname === '/rentals') return this.rent(JSON.parse(text), send);
    if (request.method === 'POST' && url.pathname === '/rentals/release') return this.release(JSON.parse(text), send);
    return send(400, { error: 'malformed' });
  }

  list(params) {
    const from = params.get('from') ?? '';
    const most = Math.min(500, Number(params.get('most') ?? 500));
    const at = Date.now() - this.lagMs;
    const visible = [...this.machines.values()]
      .filter((machine) => machine.nameId > from)
      .filter((machine) => (machine.listedAt ?? machine.rentedAt) <= at && (machine.goneAt === null || machine.goneAt > at));
    const rigs = visible.slice(0, most).map(({ nameId, address, build, yard, loaners, phase, rentedAt }) => ({
      nameId, address, build, yard, loaners, phase, ageS: Math.max(0, (at - rentedAt) / 1000),
    }));
    return { rigs, more: visible.length > most };
  }

  rent({ hire, build, yard, loaners, count }, send) {
    if (this.hires.has(hire)) return send(200, { rigs: this.hires.get(hire) });
    const type = this.types.find(({ sku }) => sku === build);
    if (type === undefined || !type.yards.includes(yard) || !(count >= 1 && count <= 50)) return send(400, { error: 'malformed' });
    const inUse = [...this.machines.values()].filter((machine) => machine.build === build && machine.goneAt === null).length;
    const granted = Math.min(count, (this.capacity[build] ?? 0) - inUse);
    if (granted <= 0) return send(503, { error: 'no capacity' });
    const rigs = [];
    for (let index = 0; index < granted; index += 1) rigs.push(this.add(build, yard, loaners, type.readyS * 1000, null).nameId);
    this.hires.set(hire, rigs);
    this.record('rented', { hire, build, yard, loaners, rigs });
    return send(200, { rigs });
  }

  release({ rigs }, send) {
    for (const nameId of rigs) {
      const machine = this.machines.get(nameId);
      if (machine === undefined || machine.goneAt !== null) continue;
      machine.goneAt = Date.now();
      clearTimeout(machine.timer);
      this.stopWorker(machine);
      this.record('released', { nameId });
    }
    return send(200, {});
  }
}
