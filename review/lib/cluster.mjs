// Starts the controllers with the commands of the deploy file, with stand-ins of everything around them.
import { spawn } from 'node:child_process';
import fs from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import os from 'node:os';
import path from 'node:path';
import { fileURLToPath } from 'node:url';
import { Cloud } from './cloud.mjs';
import { Gangs } from './gangs.mjs';
import { Store } from './store.mjs';
import { call, sleep } from './util.mjs';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));

/** The site `kalnsvilks-plans`: limits and teams as in its settings. */
export const KALNSVILKS = {
  zones: ['riga-east', 'riga-port', 'jelgava'],
  teams: [
    { name: 'clinic-tools', cpus: 136, cpus_max: 336 },
    { name: 'content-desk', cpus: 48, cpus_max: 64 },
    { name: 'patient-app', cpus: 136, cpus_max: 504 },
  ],
  objectives: [
    { kind: 'deadline', class: 'plan-rebuilds', share: 0.97, times: 1.0 },
    { kind: 'deadline', class: 'plan-rebuilds', share: 0.97, times: 1.75 },
    { kind: 'wait', class: 'physio-portal', within_s: 2.0, share: 0.94 },
    { kind: 'guarantee', within_s: 10.0, share: 0.95 },
  ],
  workers: { report_s: 3.0, lease_s: 22.0, gang_wait_s: 50.0, gang_peer_s: 8.0, cancel_s: 42.0 },
  state: { rps: 250.0, write_rps: 100.0, value_kb: 16.0, txn_ops: 12 },
  cloud: { rps: 4.0, list_lag_s: 10.0 },
  resources: { cpu: 0.17, mem_mb: 242.0, sockets: 2000 },
  restartDelayS: 8,
  types: [
    { sku: 'sprog', cpus: 4, accelerators: 0, memGb: 16, cacheGb: 40, fetchGbPerS: 0.3, hourly: 0.17, marketPrice: 0.07, readyS: 35, yards: ['riga-east', 'riga-port', 'jelgava'] },
    { sku: 'rudzis', cpus: 16, accelerators: 0, memGb: 32, cacheGb: 35, fetchGbPerS: 0.6, hourly: 0.72, marketPrice: 0.26, readyS: 30, yards: ['riga-east', 'riga-port', 'jelgava'] },
    { sku: 'ozols', cpus: 32, accelerators: 0, memGb: 128, cacheGb: 35, fetchGbPerS: 1.0, hourly: 1.55, marketPrice: 0.6, readyS: 20, yards: ['riga-east', 'riga-port', 'jelgava'] },
  ],
  capacity(build, yard, loaners) {
    const counts = {
      sprog: { 'riga-east': [3, 2], 'riga-port': [3, 3], jelgava: [4, 3] },
      rudzis: { 'riga-east': [1, 1], 'riga-port': [2, 1], jelgava: [2, 1] },
      ozols: { 'riga-east': [1, 1], 'riga-port': [1, 1], jelgava: [1, 1] },
    };
    return counts[build]?.[yard]?.[loaners ? 1 : 0] ?? 0;
  },
};

/** The site `kalnsvilks-plans-fleet` with the machines of a small deployment. */
export const KALNSVILKS_FLEET = {
  ...KALNSVILKS,
  teams: [
    { name: 'clinic-tools', cpus: 3500, cpus_max: 9000 },
    { name: 'content-desk', cpus: 1500, cpus_max: 1800 },
    { name: 'patient-app', cpus: 3500, cpus_max: 15000 },
  ],
  objectives: [
    { kind: 'deadline', class: 'plan-rebuilds', share: 0.92, times: 1.0 },
    { kind: 'deadline', class: 'plan-rebuilds', share: 0.992, times: 1.5 },
    { kind: 'wait', class: 'physio-portal', within_s: 4.0, share: 0.93 },
    { kind: 'guarantee', within_s: 5.0, share: 0.95 },
    { kind: 'wait', class: 'plan-rebuilds', within_s: 70.0, share: 0.975 },
    { kind: 'finished', class: 'plan-rebuilds', within_s: 180.0, share: 0.98 },
  ],
  workers: { ...KALNSVILKS.workers, report_s: 4.0 },
  state: { ...KALNSVILKS.state, write_rps: 90.0 },
  resources: { cpu: 0.153, mem_mb: 230.0, sockets: 1724 },
};

const number = (value) => (Number.isInteger(value) ? `${value}.0` : String(value));

/** A free port below the range from which the system takes ports by itself, so that nothing else gets it meanwhile. */
async function freePort() {
  for (;;) {
    const port = 11_000 + Math.floor(Math.random() * 20_000);
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

/** A TCP proxy between two controllers: `open`, `hold` (nothing passes, nothing is lost), or `refuse`. */
class PeerProxy {
  constructor(target) {
    this.target = target;
    this.mode = 'open';
    this.pairs = new Set();
    this.server = net.createServer((socket) => this.accept(socket));
  }

  async listen() {
    await new Promise((resolve) => this.server.listen(0, '127.0.0.1', resolve));
    return this.server.address().port;
  }

  accept(socket) {
    socket.on('error', () => socket.destroy());
    if (this.mode === 'refuse') {
      socket.resetAndDestroy();
      return;
    }
    const out = net.connect(this.target, '127.0.0.1');
    const pair = { socket, out };
    this.pairs.add(pair);
    out.on('error', () => out.destroy());
    const end = () => {
      this.pairs.delete(pair);
      socket.destroy();
      out.destroy();
    };
    socket.on('close', end);
    out.on('close', end);
    socket.pipe(out);
    out.pipe(socket);
    if (this.mode === 'hold') this.pause(pair);
  }

  pause({ socket, out }) {
    socket.unpipe(out);
    socket.pause();
    out.unpipe(socket);
    out.pause();
  }

  setMode(mode) {
    this.mode = mode;
    for (const pair of [...this.pairs]) {
      if (mode === 'refuse') pair.socket.resetAndDestroy();
      else if (mode === 'hold') this.pause(pair);
      else {
        pair.socket.pipe(pair.out);
        pair.out.pipe(pair.socket);
      }
    }
  }

  close() {
    for (const { socket, out } of this.pairs) {
      socket.destroy();
      out.destroy();
    }
    this.server.close();
  }
}

export class Cluster {
  constructor(site, { nodes = 3, record, logLevel = 'info', keepLogs = false } = {}) {
    this.site = site;
    this.count = nodes;
    this.startedAt = performance.now();
    this.recordStream = record === undefined ? null : fs.createWriteStream(record);
    this.jobs = new Map(); // id -> { spec, runS, ... }
    this.doneTasks = new Set();
    this.listeners = [];
    this.isStopped = false;
    this.logLevel = logLevel;
    this.keepLogs = keepLogs;
    this.dir = fs.mkdtempSync(path.join(os.tmpdir(), 'review-'));
    this.workersCut = new Set(); // indexes of nodes that workers can't reach
    this.store = new Store(site.state);
    this.cloud = new Cloud(site.cloud, site.types, site.capacity, {
      settings: site,
      nodes: [],
      jobs: this.jobs,
      doneTasks: this.doneTasks,
      gangs: new Gangs(site),
      onEvent: (event, fields) => this.note(event, fields),
      canReach: (worker, node) => !this.workersCut.has(node),
      isClosed: () => this.isStopped,
    });
  }

  get elapsedS() {
    return (performance.now() - this.startedAt) / 1000;
  }

  note(event, fields = {}) {
    if (this.isStopped && event !== 'result') return;
    const entry = { t: Number(this.elapsedS.toFixed(3)), event, ...fields };
    this.recordStream?.write(`${JSON.stringify(entry)}\n`);
    for (const listener of this.listeners) listener(entry);
  }

  /** Ends everything and exits with 2 when the case is interrupted, or runs for longer than it may. */
  guard() {
    const giveUp = () => void this.stop().finally(() => process.exit(2));
    for (const signal of ['SIGINT', 'SIGTERM', 'SIGHUP']) process.once(signal, giveUp);
    setTimeout(giveUp, 118_500).unref();
  }

  async prepare() {
    this.guard();
    const { site, count } = this;
    this.nodes = [];
    const statePorts = await this.store.listen(count);
    const cloudPort = await this.cloud.listen();
    for (let n = 0; n < count; n += 1)
      this.nodes.push({ label: `spur-${n}`, zone: site.zones[n % site.zones.length], port: await freePort(), back: await freePort(), state: statePorts[n], process: null, proxies: new Map() });
    this.cloud.host.nodes = this.nodes.map(({ label, port }) => ({ label, port }));
    for (const from of this.nodes)
      for (const to of this.nodes) {
        if (from === to) continue;
        const proxy = new PeerProxy(to.back);
        from.proxies.set(to.label, { proxy, port: await proxy.listen() });
      }
    this.nodes.forEach((node, n) => fs.writeFileSync(path.join(this.dir, `${n}.toml`), this.settingsOf(node, cloudPort)));
    const deploy = fs.readFileSync(path.join(ROOT, 'deploy/service.toml'), 'utf8');
    this.run = /^run = "(.*)"$/m.exec(deploy)[1].split(' ');
  }

  settingsOf(node, cloudPort) {
    const { site } = this;
    const table = (fields) => Object.entries(fields).map(([key, value]) => `${key} = ${typeof value === 'string' ? JSON.stringify(value) : key === 'txn_ops' || key === 'sockets' || key === 'nodes' ? value : number(value)}`).join('\n');
    const peers = this.nodes.filter((other) => other !== node).map((other) => `[[peers]]\nlabel = "${other.label}"\ndomain = "${other.zone}"\naddress = "127.0.0.1:${node.proxies.get(other.label).port}"\n`);
    const teams = site.teams.map(({ name, cpus, cpus_max: most }) => `[[cluster.teams]]\n${table({ name, cpus, cpus_max: most, gpus: 0, gpus_max: 0 })}\n`);
    const objectives = site.objectives.map((objective) => `[[cluster.objectives]]\n${table(objective)}\n`);
    return [
      `label = "${node.label}"\ndomain = "${node.zone}"\nlisten = "127.0.0.1:${node.port}"\nback = "127.0.0.1:${node.back}"\n`,
      ...peers,
      `[services]\ncloud = "127.0.0.1:${cloudPort}"\nstate = "127.0.0.1:${node.state}"\n`,
      `[cluster]\nnodes = ${this.count}\nzones = [${site.zones.map((zone) => `"${zone}"`).join(', ')}]\nclock_error_ms = 25.0\n`,
      ...teams,
      ...objectives,
      `[cluster.workers]\n${table(site.workers)}\n`,
      `[cluster.state]\n${table(site.state)}\n`,
      `[cluster.cloud]\n${table(site.cloud)}\n`,
      `[cluster.resources]\n${table(site.resources)}\n`,
    ].join('\n');
  }

  startNode(n) {
    const node = this.nodes[n];
    const [program, ...flags] = this.run;
    const child = spawn(program === 'node' ? process.execPath : program, [...flags, path.join(this.dir, `${n}.toml`)], {
      cwd: ROOT,
      env: { ...process.env, LOG_LEVEL: this.logLevel },
      stdio: ['ignore', 'ignore', 'pipe'],
    });
    node.process = child;
    node.log ??= [];
    let rest = '';
    child.stderr.on('data', (chunk) => {
      const lines = (rest + chunk).split('\n');
      rest = lines.pop();
      for (const line of lines) {
        if (this.keepLogs) fs.appendFileSync(path.join(this.dir, `${n}.log`), `${this.elapsedS.toFixed(3)} ${line}\n`);
        this.onLog?.(n, line);
        if (line.includes('"leadership"') || line.includes('"error"') || !line.startsWith('{'))
          this.note('log', { node: node.label, line: line.slice(0, 400) });
      }
    });
    this.note('node started', { node: node.label, pid: child.pid });
    child.on('exit', (code, signal) => {
      if (node.process !== child) return;
      this.note('node ended', { node: node.label, code, signal, expected: node.isKilled === true });
      this.onNodeExit?.(n, code, signal, node.isKilled === true);
    });
    node.isKilled = false;
  }

  kill(n) {
    const node = this.nodes[n];
    if (node.process === null || node.process.exitCode !== null) return;
    node.isKilled = true;
    this.note('kill', { node: node.label });
    node.process.kill('SIGKILL');
  }

  async restart(n, afterMs) {
    this.kill(n);
    await sleep(afterMs);
    if (!this.isStopped) this.startNode(n);
  }

  freeze(n) {
    this.note('stop', { node: this.nodes[n].label });
    this.nodes[n].process.kill('SIGSTOP');
  }

  thaw(n) {
    this.note('continue', { node: this.nodes[n].label });
    this.nodes[n].process.kill('SIGCONT');
  }

  /** Cuts a controller from the other controllers. */
  cutPeers(n, mode) {
    const node = this.nodes[n];
    for (const other of this.nodes) {
      if (other === node) continue;
      node.proxies.get(other.label).proxy.setMode(mode);
      other.proxies.get(node.label).proxy.setMode(mode);
    }
  }

  /** The index of the leader by the state service, or -1. */
  leader() {
    const entry = this.store.keys.get('leader');
    if (entry === undefined) return -1;
    const text = JSON.stringify(entry.value);
    return this.nodes.findIndex(({ label }) => text.includes(`"${label}"`));
  }

  async waitReady(timeoutMs = 20_000) {
    const agent = new http.Agent();
    const until = performance.now() + timeoutMs;
    while (performance.now() < until) {
      const states = await Promise.all(this.nodes.map(({ port }) => call(agent, port, 'GET', '/up', undefined, 1000)));
      if (states.every((state) => state?.status === 200) && this.leader() >= 0) return true;
      await sleep(200);
    }
    return false;
  }

  async stop() {
    if (this.isStopped) return;
    this.isStopped = true;
    for (const node of this.nodes ?? []) {
      const child = node.process;
      if (child === null || child.exitCode !== null || child.signalCode !== null) continue;
      node.isKilled = true;
      const ended = new Promise((resolve) => child.once('exit', resolve));
      child.kill('SIGKILL');
      await ended;
    }
    for (const node of this.nodes ?? []) for (const { proxy } of node.proxies.values()) proxy.close();
    this.cloud.close();
    this.store.close();
    if (!this.keepLogs) fs.rmSync(this.dir, { recursive: true, force: true });
    await new Promise((resolve) => (this.recordStream === null ? resolve() : this.recordStream.end(resolve)));
  }
}
