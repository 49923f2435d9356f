// Worker: reports to the controllers, keeps its lease and runs stand-in tasks, by the protocol.
import http from 'node:http';

const now = () => performance.now();
const MIN_REPORT_GAP_MS = 500;
const ANSWER_TIMEOUT_MS = 4000;
const MAX_BODY_BYTES = 64 * 1024;

export class Worker {
  /** `world` gives controllers, jobs, settings and the observer of starts and ends. */
  constructor(world, machine, type) {
    Object.assign(this, { world, machine, type });
    this.shift = 1;
    this.tally = 0;
    this.baton = 0;
    this.recallS = null;
    this.tasks = new Map(); // "piece#try" -> task
    this.images = new Set();
    this.fetches = new Map();
    this.node = Math.floor(Math.random() * world.controllers.length);
    this.isStopped = false;
    this.inFlight = false;
    this.lastSentAt = -Infinity;
    this.lastTokenChangeAt = -Infinity;
    this.timer = null;
    this.hung = false;
  }

  async start() {
    this.server = http.createServer((request, response) => this.receive(request, response));
    this.server.keepAliveTimeout = 120_000;
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    this.address = `127.0.0.1:${this.server.address().port}`;
    this.machine.address = this.address;
    this.agents = this.world.controllers.map(() => new http.Agent({ keepAlive: true, maxSockets: 1 }));
    this.renewedAt = now();
    this.leaseTimer = setInterval(() => this.checkLease(), 100);
    this.schedule(Math.random() * 200);
  }

  stop() {
    if (this.isStopped) return;
    this.isStopped = true;
    clearInterval(this.leaseTimer);
    clearTimeout(this.timer);
    this.killAll('machine gone');
    this.agents?.forEach((agent) => agent.destroy());
    this.server?.closeAllConnections();
    this.server?.close();
  }

  // --- reports ---------------------------------------------------------------------------------

  report() {
    this.tally += 1;
    const { nameId, build, yard, loaners } = this.machine;
    const all = [...this.tasks.values()];
    const isExited = ({ phase }) => phase === 'exited';
    // The protocol sets no order of the tasks in a report.
    const listed = this.world.listsLiveFirst ? [...all.filter((task) => !isExited(task)), ...all.filter(isExited)] : all;
    const pieces = listed.map((task) => ({
      piece: task.piece,
      try: task.try,
      phase: task.phase,
      ...(task.cause === null ? {} : { cause: task.cause }),
      ...(task.saved ? { saved: true } : {}),
    }));
    return { rig: nameId, address: this.address, build, yard, loaners, shift: this.shift, tally: this.tally, baton: this.baton, recallS: this.recallS, pieces };
  }

  schedule(ms) {
    if (this.isStopped) return;
    const at = now() + ms;
    if (this.timer !== null && this.timerAt <= at) return;
    clearTimeout(this.timer);
    this.timerAt = at;
    this.timer = setTimeout(() => {
      this.timer = null;
      this.send();
    }, ms);
  }

  changed() {
    this.schedule(Math.max(0, this.lastSentAt + MIN_REPORT_GAP_MS - now()));
  }

  send() {
    if (this.isStopped) return;
    if (this.inFlight || this.hung) return this.schedule(50);
    this.inFlight = true;
    const sentAt = now();
    this.lastSentAt = sentAt;
    const shift = this.shift;
    const sent = this.report();
    const body = JSON.stringify(sent);
    const controller = this.world.controllers[this.node];
    const finish = (next) => {
      if (!this.inFlight || isOver) return;
      isOver = true;
      this.inFlight = false;
      next();
    };
    let isOver = false;
    const tryNext = (why) =>
      finish(() => {
        this.world.onRefusedReport?.(this, controller, why, body.length);
        this.node = (this.node + 1) % this.world.controllers.length;
        this.schedule(1000);
      });
    if (body.length > MAX_BODY_BYTES) this.world.onLargeReport?.(this, body.length);
    const request = http.request(
      { host: controller.host, port: controller.port, method: 'POST', path: '/agent/beat', agent: this.agents[this.node],
        headers: { 'content-type': 'application/json', 'content-length': Buffer.byteLength(body) } },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => tryNext('connection failed'));
        response.on('end', async () => {
          clearTimeout(timeout);
          const lateMs = this.world.answerDelayMs?.(this) ?? 0;
          if (lateMs > 0) await new Promise((resolve) => setTimeout(resolve, lateMs));
          if (this.isStopped) return;
          const text = Buffer.concat(chunks).toString('utf8');
          const { pieces } = sent;
          this.world.record('report answered', { rig: sent.rig, label: controller.label, tally: sent.tally, status: response.statusCode, bytes: body.length, count: pieces.length, pieces: pieces.slice(0, 60) });
          let parsed = null;
          try {
            parsed = JSON.parse(text);
          } catch {
            // The status alone counts.
          }
          if (response.statusCode === 200)
            finish(() => {
              this.accept(parsed ?? {}, sentAt, shift, text.length);
              const reportMs = this.world.workers.report_s * 1000;
              this.schedule(reportMs * (0.75 + Math.random() * 0.5));
            });
          else if (response.statusCode === 421) this.redirect(parsed?.foreman, finish, tryNext);
          else tryNext(`status ${response.statusCode}`);
        });
      },
    );
    const timeout = setTimeout(() => {
      tryNext('no response');
      request.destroy();
    }, ANSWER_TIMEOUT_MS);
    request.on('error', () => {
      clearTimeout(timeout);
      tryNext('connection failed');
    });
    request.end(body);
  }

  redirect(foreman, finish, tryNext) {
    const index = this.world.controllers.findIndex(({ label }) => label === foreman);
    if (index < 0 || index === this.node) return tryNext('status 421');
    finish(() => {
      this.node = index;
      this.schedule(Math.random() * 500);
    });
  }

  accept({ baton, orders = [] }, sentAt, shift, bytes) {
    if (shift !== this.shift || baton == null || baton < this.baton) return;
    if (bytes > MAX_BODY_BYTES) this.world.onLargeAnswer?.(this, bytes);
    this.seeToken(baton);
    this.renewedAt = Math.max(this.renewedAt, sentAt);
    this.execute(orders);
  }

  seeToken(baton) {
    if (baton <= this.baton) return;
    this.baton = baton;
    if (now() - this.lastTokenChangeAt < this.world.workers.lease_s * 500) return;
    this.lastTokenChangeAt = now();
    this.changed();
  }

  checkLease() {
    if (this.hung || now() - this.renewedAt <= this.world.workers.lease_s * 1000) return;
    this.world.observe('lease ended', { rig: this.machine.nameId, tasks: this.tasks.size });
    this.killAll('lease ended');
    this.shift += 1;
    this.renewedAt = now();
    this.changed();
  }

  killAll(why) {
    for (const task of this.tasks.values()) this.end(task, why, false);
    this.tasks.clear();
  }

  // --- direct commands -------------------------------------------------------------------------

  receive(request, response) {
    const chunks = [];
    request.on('data', (chunk) => chunks.push(chunk));
    request.on('end', () => {
      const answer = () => {
        if (this.isStopped) return;
        const send = (status, body) => {
          const out = JSON.stringify(body);
          response.writeHead(status, { 'content-type': 'application/json', 'content-length': Buffer.byteLength(out) });
          response.end(out);
        };
        if (request.method === 'GET') return send(200, this.report());
        const body = JSON.parse(Buffer.concat(chunks).toString('utf8'));
        if (body.baton == null || body.shift == null) return send(400, {});
        if (body.baton < this.baton || body.shift !== this.shift) return send(409, this.report());
        this.seeToken(body.baton);
        this.execute(body.orders ?? []);
        return send(200, this.report());
      };
      if (this.hung) this.afterHang = [...(this.afterHang ?? []), answer];
      else answer();
    });
  }

  // --- tasks -----------------------------------------------------------------------------------

  execute(orders) {
    if (orders.length === 0) return;
    this.world.record('orders', { rig: this.machine.nameId, count: orders.length, orders: orders.slice(0, 60) });
    for (const { verb, piece, try: attempt, windDownS = 0 } of orders) {
      const key = `${piece}#${attempt}`;
      if (verb === 'start') this.startTask(piece, attempt);
      else if (verb === 'halt') this.halt(this.tasks.get(key), windDownS);
      else if (verb === 'forget' && this.tasks.get(key)?.phase === 'exited') this.tasks.delete(key);
    }
    this.changed();
  }

  startTask(piece, attempt) {
    const key = `${piece}#${attempt}`;
    if (this.tasks.has(key)) return;
    const slash = piece.lastIndexOf('/');
    const job = this.world.jobs.get(piece.slice(0, slash));
    const task = { piece, try: attempt, phase: 'fetching', cause: null, saved: false, job, timer: null, isOn: false };
    const refuse = (cause) => this.tasks.set(key, { ...task, phase: 'exited', cause });
    if (job === undefined || Number(piece.slice(slash + 1)) >= job.spec.pieces) return refuse('no_such');
    const live = [...this.tasks.values()].filter(({ phase }) => phase !== 'exited');
    if (live.some((other) => other.piece === piece)) return refuse('busy');
    const used = (field) => live.reduce((sum, other) => sum + other.job.spec[field], 0);
    for (const [field, total] of [['cpus', this.type.cpus], ['accelerators', this.type.accelerators], ['memGb', this.type.memGb]])
      if (used(field) + job.spec[field] > total + 1e-6) return refuse('no_room');
    this.tasks.set(key, task);
    this.fetch(job.spec.kit, job.spec.pullGb).then(() => this.begin(task));
  }

  fetch(kit, pullGb) {
    if (this.images.has(kit)) return Promise.resolve();
    let fetching = this.fetches.get(kit);
    if (fetching === undefined) {
      fetching = new Promise((resolve) => setTimeout(resolve, (pullGb / this.type.fetchGbPerS) * 1000)).then(() => {
        this.fetches.delete(kit);
        this.images.add(kit);
      });
      this.fetches.set(kit, fetching);
    }
    return fetching;
  }

  begin(task) {
    if (task.phase !== 'fetching' || this.isStopped || this.tasks.get(`${task.piece}#${task.try}`) !== task) return;
    task.phase = 'running';
    task.isOn = true;
    this.world.onStart(this, task);
    const { runS, spec } = task.job;
    if (this.world.failsTasks?.(this)) task.timer = setTimeout(() => this.exit(task, 'error'), 100);
    else if (this.world.results.has(task.piece)) this.exit(task, 'done');
    else if (spec.shape !== 'daemon') {
      const seconds = typeof runS === 'function' ? runS(Number(task.piece.slice(task.piece.lastIndexOf('/') + 1))) : runS;
      task.timer = setTimeout(() => this.exit(task, 'done'), seconds * 1000);
    }
    this.changed();
  }

  exit(task, cause, saved = false) {
    if (task.phase === 'exited') return;
    if (cause === 'done') this.world.results.add(task.piece);
    this.end(task, cause, true);
    task.phase = 'exited';
    task.cause = cause;
    task.saved = saved;
    this.changed();
  }

  end(task, why) {
    clearTimeout(task.timer);
    if (!task.isOn) return;
    task.isOn = false;
    this.world.onEnd(this, task, why);
  }

  halt(task, windDownS) {
    if (task === undefined || task.phase === 'exited') return;
    const { bookmarkS, stowS } = task.job.spec;
    if (task.phase === 'running' && bookmarkS > 0 && windDownS >= stowS) {
      task.phase = 'saving';
      clearTimeout(task.timer);
      task.timer = setTimeout(() => this.exit(task, 'halted', true), stowS * 1000);
    } else if (task.phase === 'saving' && windDownS > 0) return;
    else this.exit(task, 'halted');
  }
}
