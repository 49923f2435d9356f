// Stand-in of the cloud (PROTOCOL, "Controller nodes -> cloud").
import http from 'node:http';
import { readJson, reply, RateLimit, sleep } from './util.mjs';
import { Worker } from './worker.mjs';

export class Cloud {
  /** `types`: as in GET /flavors; `capacity(build, yard, loaners)`: how many may exist at once. */
  constructor(limits, types, capacity, host) {
    this.limits = limits;
    this.types = types;
    this.capacity = capacity;
    this.host = host;
    this.machines = new Map(); // id -> machine
    this.hires = new Map();
    this.nextId = 1;
    this.bootMs = () => 1500;
    this.onMachine = null; // called with each worker before it starts
    this.isOut = false;
    this.requests = new RateLimit(limits.rps, limits.rps * 2);
    this.history = [];
    this.timer = setInterval(() => this.remember(), 250);
  }

  async listen(port = 0) {
    this.server = http.createServer((request, response) => void this.handle(request, response));
    this.server.keepAliveTimeout = 120_000;
    await new Promise((resolve) => this.server.listen(port, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  close() {
    clearInterval(this.timer);
    for (const { worker } of this.machines.values()) worker?.die();
    this.server.closeAllConnections();
    this.server.close();
  }

  /** The list as it was `list_lag_s` ago. */
  remember() {
    const now = performance.now();
    const rigs = [...this.machines.values()]
      .filter((machine) => !machine.isGone)
      .map(({ id, address, build, yard, loaners, phase, rentedAt }) => ({
        nameId: id,
        address: address ?? null,
        build,
        yard,
        loaners,
        phase,
        ageS: (now - rentedAt) / 1000,
      }));
    this.history.push({ at: now, rigs });
    while (this.history.length > 400) this.history.shift();
  }

  list() {
    const wanted = performance.now() - this.limits.list_lag_s * 1000;
    let best = [];
    for (const { at, rigs } of this.history) if (at <= wanted) best = rigs;
    return best;
  }

  count(build, yard, loaners) {
    return [...this.machines.values()].filter(
      (machine) =>
        !machine.isGone && machine.build === build && machine.yard === yard && machine.loaners === loaners,
    ).length;
  }

  add(build, yard, loaners, bootMs) {
    const id = `n-${String(this.nextId++).padStart(6, '0')}`;
    const type = this.types.find(({ sku }) => sku === build);
    const machine = { id, build, yard, loaners, type, phase: 'starting', rentedAt: performance.now(), isGone: false };
    this.machines.set(id, machine);
    setTimeout(async () => {
      if (machine.isGone || this.host.isClosed?.()) return;
      machine.phase = 'running';
      machine.worker = new Worker(this.host, machine);
      this.onMachine?.(machine.worker);
      await machine.worker.start();
      this.host.onEvent('machine up', { rig: id, build, yard, loaners });
    }, bootMs);
    return machine;
  }

  /** The machine stops with all that is on it. */
  kill(machine) {
    machine.worker?.die('machine died');
    setTimeout(() => {
      if (!machine.isGone) machine.phase = 'failed';
    }, 30_000);
  }

  async handle(request, response) {
    const body = await readJson(request);
    await sleep(20 + Math.random() * 100);
    const url = new URL(request.url, 'http://cloud');
    if (this.isOut) return reply(response, 503, { error: 'trouble' });
    if (!this.requests.take(1)) return reply(response, 429, { error: 'over the limit' });
    if (url.pathname === '/flavors') return reply(response, 200, { builds: this.types });
    if (url.pathname === '/rentals' && request.method === 'GET') {
      const from = url.searchParams.get('from') ?? '';
      const most = Math.min(500, Number(url.searchParams.get('most') ?? 500));
      const later = this.list().filter(({ nameId }) => nameId > from);
      return reply(response, 200, { rigs: later.slice(0, most), more: later.length > most });
    }
    if (url.pathname === '/rentals/release') {
      for (const id of body?.rigs ?? []) {
        const machine = this.machines.get(id);
        if (machine === undefined || machine.isGone) continue;
        machine.isGone = true;
        machine.worker?.die('released');
        this.host.onEvent('released', { rig: id });
      }
      return reply(response, 200, {});
    }
    if (url.pathname === '/rentals') {
      const { hire, build, yard, loaners, count } = body ?? {};
      if (this.hires.has(hire)) return reply(response, 200, { rigs: this.hires.get(hire) });
      const room = this.capacity(build, yard, loaners) - this.count(build, yard, loaners);
      const rented = Math.min(count, room);
      if (rented <= 0) return reply(response, 503, { error: 'no capacity' });
      const rigs = [];
      for (let n = 0; n < rented; n += 1) rigs.push(this.add(build, yard, loaners, this.bootMs()).id);
      this.hires.set(hire, rigs);
      this.host.onEvent('rented', { hire, build, yard, loaners, rigs });
      return reply(response, 200, { rigs });
    }
    return reply(response, 400, { error: 'malformed' });
  }
}
