// A small deployment on loopback: controllers as separate processes, the stand-ins in this process.
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { StateService } from './state.mjs';
import { Worker } from './worker.mjs';

export const ROOT = path.resolve(path.dirname(fileURLToPath(import.meta.url)), '..', '..');
export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));

/** Whether the disruption takes place. */
export const TROUBLE = process.env.TROUBLE !== '0';

const FIRST_PORT = 15_000;
const PORTS = 15_000;

/**
 * A free port below the range from which the system takes the ports of outgoing connections, so that a controller finds
 * its port free when it comes back.
 */
async function freePort() {
  for (;;) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORTS);
    const server = net.createServer();
    const isFree = await new Promise((resolve) => {
      server.once('error', () => resolve(false));
      server.listen(port, '127.0.0.1', () => resolve(true));
    });
    if (!isFree) continue;
    await new Promise((resolve) => server.close(resolve));
    return port;
  }
}

/** Three machine types and three zones of the plan builders' deployment (BRIEF). */
export const PLAN_TYPES = [
  { sku: 'sprog', cpus: 4, accelerators: 0, memGb: 16, cacheGb: 40, fetchGbPerS: 0.3, hourly: 0.17, marketPrice: 0.07, readyS: 35, yards: ['riga-east', 'riga-port', 'jelgava'] },
  { sku: 'rudzis', cpus: 16, accelerators: 0, memGb: 32, cacheGb: 35, fetchGbPerS: 0.6, hourly: 0.72, marketPrice: 0.26, readyS: 30, yards: ['riga-east', 'riga-port', 'jelgava'] },
  { sku: 'ozols', cpus: 32, accelerators: 0, memGb: 128, cacheGb: 35, fetchGbPerS: 1, hourly: 1.55, marketPrice: 0.6, readyS: 20, yards: ['riga-east', 'riga-port', 'jelgava'] },
];
export const PLAN_CLUSTER = {
  zones: ['riga-east', 'riga-port', 'jelgava'],
  teams: [
    { name: 'clinic-tools', cpus: 136, cpus_max: 336 },
    { name: 'content-desk', cpus: 48, cpus_max: 64 },
    { name: 'patient-app', cpus: 136, cpus_max: 504 },
  ],
  workers: { report_s: 3, lease_s: 22, gang_wait_s: 50, gang_peer_s: 8, cancel_s: 42 },
  state: { rps: 250, write_rps: 100, value_kb: 16, txn_ops: 12 },
  cloud: { rps: 4, list_lag_s: 10 },
  resources: { cpu: 0.17, mem_mb: 242, sockets: 2000 },
};

const decimal = (value) => (Number.isInteger(value) ? `${value}.0` : `${value}`);

export class World {
  constructor({ directory, nodes = 3, cluster = PLAN_CLUSTER, types = PLAN_TYPES, capacity, standing = [] }) {
    Object.assign(this, { directory, nodes, cluster, types, capacity, standing });
    this.workers = cluster.workers;
    this.startedAt = performance.now();
    this.recordFile = fs.openSync(path.join(directory, 'record.txt'), 'w');
    this.temporary = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.jobs = new Map(); // id -> { spec, runS }
    this.results = new Set();
    this.machineWorkers = new Map();
    this.controllers = [];
    this.on = new Map(); // piece -> Set of machines that it is on
    this.starts = 0;
    this.ranTwice = [];
  }

  record(what, fields = {}) {
    const at = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    fs.writeSync(this.recordFile, `${at} ${what} ${JSON.stringify(fields)}\n`);
  }

  observe(what, fields) {
    this.record(what, fields);
  }

  onStart(worker, task) {
    this.starts += 1;
    const rig = worker.machine.nameId;
    const places = this.on.get(task.piece) ?? new Set();
    if (places.size > 0 && !places.has(rig)) this.ranTwice.push({ piece: task.piece, on: [...places], rig });
    places.add(rig);
    this.on.set(task.piece, places);
    if (this.recordsTasks !== false) this.record('task on machine', { piece: task.piece, try: task.try, rig });
  }

  onEnd(worker, task, why) {
    this.on.get(task.piece)?.delete(worker.machine.nameId);
    if (this.recordsTasks !== false) this.record('task off machine', { piece: task.piece, try: task.try, rig: worker.machine.nameId, why });
  }

  async start() {
    const { cluster } = this;
    this.state = new StateService({ rps: cluster.state.rps, writeRps: cluster.state.write_rps, valueKb: cluster.state.value_kb, txnOps: cluster.state.txn_ops });
    await this.state.listen();
    this.cloud = new Cloud({
      types: this.types,
      capacity: this.capacity,
      lagMs: cluster.cloud.list_lag_s * 1000,
      record: (what, fields) => this.record(what, fields),
      startWorker: async (machine) => {
        const worker = new Worker(this, machine, this.types.find(({ sku }) => sku === machine.build));
        this.machineWorkers.set(machine.nameId, worker);
        this.record('machine up', { rig: machine.nameId, build: machine.build, yard: machine.yard });
        await worker.start();
      },
      stopWorker: (machine) => this.machineWorkers.get(machine.nameId)?.stop(),
    });
    await this.cloud.listen();
    for (let index = 0; index < this.nodes; index += 1)
      this.controllers.push({
        label: `spur-${index}`,
        domain: cluster.zones[index % cluster.zones.length],
        host: '127.0.0.1',
        port: await freePort(),
        back: await freePort(),
        process: null,
        exits: [],
      });
    for (const { build, yard, loaners = false } of this.standing) this.cloud.add(build, yard, loaners, 0, -Infinity);
    for (const controller of this.controllers) this.writeSettings(controller);
    for (const controller of this.controllers) this.startController(controller);
    await this.waitFor('a healthy controller', 30_000, async () => {
      for (const controller of this.controllers) if ((await this.call(controller, 'GET', '/up', undefined, 1000)).status === 200) return true;
      return false;
    });
  }

  writeSettings(controller) {
    const { cluster } = this;
    const lines = [`label = "${controller.label}"`, `domain = "${controller.domain}"`, `listen = "127.0.0.1:${controller.port}"`, `back = "127.0.0.1:${controller.back}"`, ''];
    for (const peer of this.controllers)
      if (peer !== controller) lines.push('[[peers]]', `label = "${peer.label}"`, `domain = "${peer.domain}"`, `address = "127.0.0.1:${peer.back}"`, '');
    lines.push('[services]', `cloud = "${this.cloud.address}"`, `state = "${this.state.address}"`, '');
    lines.push('[cluster]', `nodes = ${this.nodes}`, `zones = [${cluster.zones.map((zone) => `"${zone}"`).join(', ')}]`, 'clock_error_ms = 25.0', '');
    for (const { name, cpus, cpus_max, gpus = 0, gpus_max = 0 } of cluster.teams)
      lines.push('[[cluster.teams]]', `name = "${name}"`, `cpus = ${decimal(cpus)}`, `cpus_max = ${decimal(cpus_max)}`, `gpus = ${decimal(gpus)}`, `gpus_max = ${decimal(gpus_max)}`, '');
    for (const objective of cluster.objectives ?? []) {
      lines.push('[[cluster.objectives]]');
      for (const [field, value] of Object.entries(objective)) lines.push(`${field} = ${typeof value === 'string' ? `"${value}"` : decimal(value)}`);
      lines.push('');
    }
    const section = (name, fields, integers) => {
      lines.push(`[cluster.${name}]`);
      for (const [field, value] of Object.entries(fields)) lines.push(`${field} = ${integers.includes(field) ? value : decimal(value)}`);
      lines.push('');
    };
    section('workers', cluster.workers, []);
    section('state', cluster.state, ['txn_ops']);
    section('cloud', cluster.cloud, []);
    section('resources', cluster.resources, ['sockets']);
    controller.settings = path.join(this.temporary, `${controller.label}.toml`);
    fs.writeFileSync(controller.settings, lines.join('\n'));
  }

  /** Starts a controller with the start line of the deploy file. */
  startController(controller) {
    const deploy = fs.readFileSync(path.join(ROOT, 'deploy', this.deployFile ?? 'service.toml'), 'utf8');
    const run = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
    const program = run[0] === 'node' ? process.execPath : run[0];
    const log = fs.openSync(path.join(this.temporary, `${controller.label}.log`), 'a');
    const child = spawn(program, [...run.slice(1), controller.settings], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: process.env.CONTROLLER_LOG ?? 'info' },
      stdio: ['ignore', 'ignore', log],
    });
    fs.closeSync(log);
    controller.process = child;
    this.record('controller started', { label: controller.label });
    child.on('exit', (code, signal) => {
      if (controller.process === child) controller.process = null;
      controller.exits.push({ code, signal });
      this.record('controller ended', { label: controller.label, code, signal });
    });
  }

  async killController(controller, signal = 'SIGKILL') {
    const child = controller.process;
    if (child === null) return;
    const ended = new Promise((resolve) => child.once('exit', resolve));
    child.kill(signal);
    await ended;
  }

  /** The label of the node that leads by the leader's record, or null. */
  leader() {
    const entry = this.state.keys.get('leader');
    const label = entry === undefined ? null : JSON.parse(entry.text).node;
    return this.controllers.find((controller) => controller.label === label) ?? null;
  }

  /** A controller's memory in MB: its own (without the program's shared pages), and all that is resident. */
  memoryOf(controller) {
    try {
      const text = fs.readFileSync(`/proc/${controller.process.pid}/status`, 'utf8');
      const field = (name) => Number(new RegExp(`^${name}:\\s+(\\d+) kB`, 'm').exec(text)[1]) / 1000;
      return { ownMb: field('RssAnon'), presentMb: field('VmRSS') };
    } catch {
      return null;
    }
  }

  call(controller, method, target, body, timeoutMs = 5000) {
    return new Promise((resolve) => {
      const text = body === undefined ? undefined : typeof body === 'string' ? body : JSON.stringify(body);
      const headers = text === undefined ? {} : { 'content-type': 'application/json', 'content-length': Buffer.byteLength(text) };
      const request = http.request({ host: controller.host, port: controller.port, method, path: target, headers, agent: false }, (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => finish({ status: 0, body: null }));
        response.on('end', () => {
          let parsed = null;
          try {
            parsed = JSON.parse(Buffer.concat(chunks).toString('utf8'));
          } catch {
            // The status alone counts.
          }
          finish({ status: response.statusCode, body: parsed });
        });
      });
      let isOver = false;
      const finish = (outcome) => {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        resolve(outcome);
      };
      const timer = setTimeout(() => {
        finish({ status: 0, body: null });
        request.destroy();
      }, timeoutMs);
      request.on('error', () => finish({ status: 0, body: null }));
      request.end(text);
    });
  }

  anyController() {
    const running = this.controllers.filter(({ process: child }) => child !== null);
    return running[Math.floor(Math.random() * running.length)] ?? this.controllers[0];
  }

  /** Submits a job as a user does, with retries for 60 s; the task runs for `runS`. */
  async submit(spec, runS) {
    this.jobs.set(spec.nameId, { spec, runS });
    this.record('submission sent', spec);
    const until = performance.now() + 60_000;
    for (;;) {
      const answer = await this.call(this.anyController(), 'POST', '/submissions', spec);
      this.record('submission answered', { nameId: spec.nameId, status: answer.status, body: answer.body });
      const isFinal = [200, 201, 400, 422].includes(answer.status);
      if (isFinal || performance.now() > until) return answer;
      await sleep(1000);
    }
  }

  async poll(id) {
    const answer = await this.call(this.anyController(), 'GET', `/submissions/${id}`, undefined, 2000);
    return answer;
  }

  async cancel(id, forMs = 60_000) {
    const until = performance.now() + forMs;
    this.record('cancellation sent', { nameId: id });
    for (;;) {
      const answer = await this.call(this.anyController(), 'POST', `/submissions/${id}/cancel`);
      this.record('cancellation answered', { nameId: id, status: answer.status, body: answer.body });
      if (answer.status === 200 || performance.now() > until) return answer;
      await sleep(1000);
    }
  }

  async waitFor(what, timeoutMs, check) {
    const until = performance.now() + timeoutMs;
    for (;;) {
      if (await check()) return true;
      if (performance.now() > until) {
        this.record('not reached', { what, timeoutMs });
        return false;
      }
      await sleep(250);
    }
  }

  async stop() {
    for (const worker of this.machineWorkers.values()) worker.stop();
    for (const controller of this.controllers) await this.killController(controller);
    this.cloud?.close();
    this.state?.close();
    if (process.env.KEEP_LOGS === undefined) fs.rmSync(this.temporary, { recursive: true, force: true });
    else console.log(`logs: ${this.temporary}`);
    fs.closeSync(this.recordFile);
  }
}

export function job(nameId, fields = {}) {
  return {
    nameId, lot: 'plan-rebuilds', crew: 'clinic-tools', shape: 'batch', rank: 'normal', pieces: 6,
    cpus: 4, accelerators: 0, memGb: 6, kit: 'img-01', pullGb: 0.5, builds: null, yard: null,
    oneZone: false, scatter: false, loaners: true, guessS: 20, bookmarkS: 0, stowS: 0, dueS: 600, ...fields,
  };
}

/** Runs a case: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
export async function runCase(world, play) {
  let code = 2;
  const limit = setTimeout(() => {
    world.record('time limit reached');
    void world.stop().finally(() => process.exit(2));
  }, 112_000);
  const interrupt = () => void world.stop().finally(() => process.exit(2));
  process.once('SIGTERM', interrupt);
  process.once('SIGINT', interrupt);
  try {
    await world.start();
    const verdict = await play(world);
    code = verdict.broken === null ? 2 : verdict.broken ? 1 : 0;
    world.record('verdict', verdict);
    console.log(JSON.stringify(verdict));
  } catch (error) {
    world.record('case could not run', { error: error.stack });
    console.log(error.stack);
  }
  clearTimeout(limit);
  await world.stop();
  process.exit(code);
}
