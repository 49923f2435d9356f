// Stand-in of a worker with its machine (PROTOCOL, "Workers -> controller nodes", "Controller nodes -> workers").
import http from 'node:http';
import { call, readJson, reply } from './util.mjs';

const RESPONSE_VALID_MS = 4000;

export class Worker {
  /** `host`: { settings, nodes: [{ label, port }], jobs: Map, doneTasks: Set, onEvent, canReach(worker, node) } */
  constructor(host, machine) {
    this.host = host;
    this.machine = machine; // { id, build, yard, loaners, type }
    this.id = machine.id;
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.leaseFrom = performance.now();
    this.tasks = new Map(); // "piece try" -> task
    this.images = new Set();
    this.fetches = new Map(); // kit -> timer
    this.isAlive = true;
    this.isHanging = false;
    this.isSick = false;
    this.recallAt = null; // when the cloud takes the machine back
    this.isMute = false; // opens no connection to a controller
    this.isDeaf = false; // answers and direct commands to it are lost
    this.lateCommandShare = 0;
    this.lateReportShare = 0;
    this.node = Math.floor(Math.random() * host.nodes.length);
    this.isWaiting = false;
    this.lastSentAt = -Infinity;
    this.soon = null;
    this.deferred = [];
    this.agents = host.nodes.map(() => new http.Agent({ keepAlive: true, maxSockets: 1 }));
    this.server = http.createServer((request, response) => void this.serve(request, response));
    this.server.keepAliveTimeout = 120_000;
  }

  async start() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.machine.address = this.address;
    this.leaseFrom = performance.now();
    this.leaseTimer = setInterval(() => {
      if (!this.isHanging) this.checkLease();
    }, 50);
    this.schedule(0);
  }

  /** Runs now, or when the machine goes on; never after its end. */
  act(run) {
    if (!this.isAlive) return;
    if (this.isHanging) this.deferred.push(run);
    else {
      this.checkLease();
      run();
    }
  }

  after(ms, run) {
    return setTimeout(() => this.act(run), ms);
  }

  hang() {
    this.isHanging = true;
    for (const task of this.tasks.values()) if (task.phase === 'running') this.host.gangs?.broke(task);
  }

  resume() {
    this.isHanging = false;
    if (!this.isAlive) return;
    this.checkLease();
    for (const run of this.deferred.splice(0)) run();
  }

  die(why = 'machine gone') {
    if (!this.isAlive) return;
    this.isAlive = false;
    this.deferred = [];
    clearInterval(this.leaseTimer);
    this.clear(why);
    for (const agent of this.agents) agent.destroy();
    this.server.closeAllConnections();
    this.server.close();
  }

  clear(why) {
    for (const task of this.tasks.values()) this.leave(task, why);
    this.tasks.clear();
    this.fetches.clear();
  }

  checkLease() {
    if (!this.isAlive) return;
    if (performance.now() - this.leaseFrom <= this.host.settings.workers.lease_s * 1000) return;
    this.host.onEvent('lease ended', { rig: this.id, shift: this.shift, tasks: this.tasks.size });
    this.clear('lease ended');
    this.shift += 1;
    this.leaseFrom = performance.now();
    this.changed();
  }

  // --- tasks -------------------------------------------------------------------------------------

  report() {
    this.tally += 1;
    const { id, machine } = this;
    return {
      rig: id,
      address: this.address,
      build: machine.build,
      yard: machine.yard,
      loaners: machine.loaners,
      shift: this.shift,
      tally: this.tally,
      baton: this.baton,
      recallS: this.recallAt === null ? null : Math.max(0, (this.recallAt - performance.now()) / 1000),
      pieces: [...this.tasks.values()].map(({ piece, attempt, phase, cause }) => ({
        piece,
        try: attempt,
        phase,
        ...(cause === null ? {} : { cause }),
      })),
    };
  }

  /** The task is on its machine from now on. */
  enter(task) {
    task.isOn = true;
    this.host.onEvent('on', { piece: task.piece, try: task.attempt, rig: this.id, job: task.job });
  }

  leave(task, why) {
    clearTimeout(task.timer);
    if (!task.isOn) return;
    task.isOn = false;
    this.host.gangs?.left(task, why);
    this.host.onEvent('off', { piece: task.piece, try: task.attempt, rig: this.id, job: task.job, why });
  }

  exit(task, cause) {
    if (task.phase === 'exited') return;
    this.leave(task, cause);
    task.phase = 'exited';
    task.cause = cause;
    if (cause === 'done') {
      this.host.doneTasks.add(task.piece);
      this.host.onEvent('done', { piece: task.piece, try: task.attempt, rig: this.id, job: task.job });
    }
    this.changed();
  }

  execute(orders) {
    if (orders.length > 0) this.host.onEvent('orders', { rig: this.id, baton: this.baton, shift: this.shift, orders });
    for (const order of orders) {
      const key = `${order.piece} ${order.try}`;
      const task = this.tasks.get(key);
      if (order.verb === 'start') {
        if (task === undefined) this.startTask(order);
      } else if (order.verb === 'halt') {
        if (task !== undefined) this.exit(task, 'halted');
      } else if (order.verb === 'forget') {
        if (task?.phase === 'exited') this.tasks.delete(key);
      }
    }
    if (orders.length > 0) this.changed();
  }

  startTask({ piece, try: attempt }) {
    const id = piece.slice(0, piece.lastIndexOf('/'));
    const index = Number(piece.slice(piece.lastIndexOf('/') + 1));
    const job = this.host.jobs.get(id);
    const task = { piece, attempt, job: id, phase: 'fetching', cause: null, isOn: false, timer: null };
    const refuse = (cause) => {
      task.phase = 'exited';
      task.cause = cause;
    };
    const others = [...this.tasks.values()].filter((other) => other.phase !== 'exited');
    this.tasks.set(`${piece} ${attempt}`, task);
    this.host.onEvent('start', { piece, try: attempt, rig: this.id });
    if (job === undefined || index >= job.spec.pieces) return refuse('no_such');
    if (others.some((other) => other.piece === piece)) return refuse('busy');
    const used = { cpus: 0, memGb: 0 };
    for (const other of others) {
      const spec = this.host.jobs.get(other.job).spec;
      used.cpus += spec.cpus;
      used.memGb += spec.memGb;
    }
    const { type } = this.machine;
    if (used.cpus + job.spec.cpus > type.cpus + 1e-6 || used.memGb + job.spec.memGb > type.memGb + 1e-6)
      return refuse('no_room');
    const fetchMs = this.images.has(job.spec.kit) ? 0 : (job.spec.pullGb / type.fetchGbPerS) * 1000;
    task.timer = this.after(fetchMs, () => {
      if (task.phase !== 'fetching') return;
      this.images.add(job.spec.kit);
      this.run(task, job);
    });
    return undefined;
  }

  run(task, job) {
    this.enter(task);
    if (this.host.doneTasks.has(task.piece)) return this.exit(task, 'done');
    if (this.isSick) return this.exit(task, 'error');
    if (job.spec.shape === 'ensemble') return this.host.gangs.join(this, task, job);
    task.phase = 'running';
    this.changed();
    if (job.spec.shape !== 'daemon') task.timer = this.after(job.runS * 1000, () => this.exit(task, 'done'));
    return undefined;
  }

  // --- reports -----------------------------------------------------------------------------------

  schedule(ms) {
    clearTimeout(this.regular);
    this.regular = this.after(ms, () => {
      this.send();
      const { report_s: reportS } = this.host.settings.workers;
      this.schedule(reportS * 1000 * (0.75 + Math.random() * 0.5));
    });
  }

  changed() {
    if (this.soon !== null || !this.isAlive) return;
    const wait = Math.max(0, this.lastSentAt + 500 - performance.now());
    this.soon = setTimeout(() => {
      this.soon = null;
      this.act(() => {
        if (this.isWaiting) this.hasNews = true;
        else this.send();
      });
    }, wait);
  }

  observe(baton) {
    if (!(baton > this.baton)) return;
    this.baton = baton;
    this.changed();
  }

  send() {
    if (this.isWaiting || this.isHanging || !this.isAlive) return;
    this.isWaiting = true;
    this.hasNews = false;
    const sentAt = performance.now();
    this.lastSentAt = sentAt;
    const { shift } = this;
    const report = this.report();
    const { node } = this;
    const isCut = this.isMute || !this.host.canReach(this, node);
    const answered = isCut
      ? new Promise((resolve) => setTimeout(() => resolve(null), 3000))
      : call(this.agents[node], this.host.nodes[node].port, 'POST', '/agent/beat', report, RESPONSE_VALID_MS);
    if (!isCut && Math.random() < this.lateReportShare) this.sendCopyLater(node, report);
    void answered.then((answer) => {
      const result = this.isDeaf || !this.host.canReach(this, node) ? null : answer;
      const delay = this.isDeaf ? Math.max(0, sentAt + RESPONSE_VALID_MS - performance.now()) : 0;
      setTimeout(() => this.act(() => this.receive(result, shift, sentAt)), delay);
    });
  }

  sendCopyLater(node, report) {
    const { lease_s: leaseS } = this.host.settings.workers;
    setTimeout(
      () => {
        const agent = new http.Agent();
        for (const { port } of this.host.nodes)
          void call(agent, port, 'POST', '/agent/beat', report, RESPONSE_VALID_MS);
      },
      2000 + Math.random() * leaseS * 1500,
    );
  }

  receive(answer, shift, sentAt) {
    this.isWaiting = false;
    if (answer === null || performance.now() - sentAt > RESPONSE_VALID_MS) return this.tryNext();
    if (answer.status === 421) {
      const next = this.host.nodes.findIndex(({ label }) => label === answer.body?.foreman);
      if (next < 0 || next === this.node) return this.tryNext();
      this.agents[this.node].destroy();
      this.agents[this.node] = new http.Agent({ keepAlive: true, maxSockets: 1 });
      this.node = next;
      this.after(Math.random() * 500, () => this.send());
      return undefined;
    }
    if (answer.status !== 200) return this.tryNext();
    const { baton = 0, orders = [] } = answer.body ?? {};
    if (shift === this.shift && baton >= this.baton && baton > 0) {
      this.leaseFrom = Math.max(this.leaseFrom, sentAt);
      this.observe(baton);
      this.execute(orders);
    }
    if (this.hasNews) this.changed();
    return undefined;
  }

  tryNext() {
    this.node = (this.node + 1) % this.host.nodes.length;
    this.after(1000, () => this.send());
  }

  // --- direct calls ------------------------------------------------------------------------------

  async serve(request, response) {
    const body = await readJson(request);
    if (this.isDeaf || this.host.isDirectCut?.(this)) return; // lost: no answer ever comes
    if (request.url === '/show') return this.act(() => reply(response, 200, this.report()));
    if (request.url !== '/commands') return void reply(response, 404, {});
    const run = (isLate) => {
      const { baton, shift, orders = [] } = body ?? {};
      if (baton === undefined || shift === undefined) return reply(response, 400, {});
      const isValid = baton >= this.baton && shift === this.shift;
      if (isValid) {
        this.observe(baton);
        this.execute(orders);
      }
      if (isLate) return response.destroy();
      reply(response, isValid ? 200 : 409, this.report());
      return this.onCommandsAnswered?.(body, isValid ? 200 : 409);
    };
    if (Math.random() < this.lateCommandShare) {
      this.host.onEvent('command held', { rig: this.id, orders: body?.orders?.length ?? 0 });
      setTimeout(() => this.act(() => run(true)), 2000 + Math.random() * 14_000);
      return;
    }
    this.act(() => run(false));
  }
}
