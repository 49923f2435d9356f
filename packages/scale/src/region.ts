import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse } from 'smol-toml';
import type { JobId, JobSpec, MachineId } from '@spurbridge/wire';
import { cloudAddress, listenAddress, stateAddress } from './addresses.js';
import type { RegionShape } from './controller-settings.js';
import { RUN_SETTINGS, nodeName, settingsFile } from './controller-settings.js';
import type { RunEvent } from './events.js';
import type { MachineUp, NodeAddress, Notice, Role } from './messages.js';
import type { Processes, RunProcess } from './processes.js';
import { Workload } from './workload.js';
import type { WorkloadShape } from './workload.js';

const CHILD_PROGRAM = 'target/scale-child.js';
/** Some workers have a process of their own each, so that the processor time and memory of one can be read. */
export const DEDICATED_WORKERS = ['worker 1', 'worker 2', 'worker 3'] as const;

export interface RegionEvents {
  /** Events of the process with this name, complete until then. */
  readonly onEvents: (source: string, events: readonly RunEvent[], until: number) => void;
  readonly onProcessStarted: (source: string) => void;
  readonly onProcessEnded: (source: string) => void;
  /** A process ended though nobody asked it to. */
  readonly onUnexpectedExit: (name: string, code: number | null) => void;
}

const LOOK_MS = 20;
const MOST_READY_MS = 180_000;

/** How a region begins. */
export interface Launch {
  /** Whose start line the controllers are started by. */
  readonly deployFile: string;
  /** Records of jobs that ended before. */
  readonly endedJobs: number;
}

/** Flags and program of the start line in a deploy file, without the path of the settings that comes last. */
function startLine(deployFile: string): string[] {
  const { run } = parse(readFileSync(deployFile, 'utf8')) as { run: string };
  return run.split(' ').slice(1);
}

/** How often a controller logged each message, and who leads. */
interface ControllerLog {
  readonly messages: Map<string, number>;
  leadsSince: number | null;
}

/** One region of a run: controllers as they are shipped, with the stand-ins of everything around them. */
export class Region {
  readonly controllers: RunProcess[] = [];
  readonly logs: ControllerLog[] = [];
  readonly hosts = new Map<string, RunProcess>();
  state: RunProcess | null = null;
  cloud: RunProcess | null = null;
  users: RunProcess | null = null;
  readonly workload: Workload;
  private readonly folder = mkdtempSync(join(tmpdir(), 'spurbridge-scale-'));
  private readonly hostOf = new Map<MachineId, string>();
  private placed = 0;
  private startedAt = 0;
  private onRemembered: () => void = () => undefined;
  /** From the start of the controllers until one of them first had read its records and led, in milliseconds. */
  readyMs: number | null = null;

  constructor(
    readonly shape: RegionShape,
    private readonly workloadShape: WorkloadShape,
    private readonly processes: Processes,
    private readonly events: RegionEvents,
    private readonly launch: Launch,
  ) {
    this.workload = new Workload(workloadShape);
  }

  find(id: JobId): JobSpec | undefined {
    return this.workload.find(id);
  }

  /** The controller nodes and where they listen. */
  get nodes(): NodeAddress[] {
    const { region, nodes } = this.shape;
    return Array.from({ length: nodes }, (_, n) => ({
      name: nodeName(region, n),
      address: listenAddress(region, n),
    }));
  }

  /** Starts everything but the users; throws a `ProcessError` when a process does not come up. */
  async start(): Promise<void> {
    const { region, zones, workers } = this.shape;
    const { rps, write_rps: writeRps, value_kb: valueKb, txn_ops: txnOps } = RUN_SETTINGS.state;
    this.state = this.child('state', {
      role: 'state',
      listen: stateAddress(region),
      rps,
      writeRps,
      valueKb,
      txnOps,
    });
    await this.state.ready();
    for (const host of [...zones, ...DEDICATED_WORKERS]) {
      const process = this.child(host, {
        role: 'workers',
        region,
        nodes: this.nodes,
        times: workerTimes(),
        workload: this.workloadShape,
      });
      this.hosts.set(host, process);
    }
    await Promise.all([...this.hosts.values()].map((p) => p.ready()));
    this.cloud = this.child('cloud', {
      role: 'cloud',
      listen: cloudAddress(region),
      region,
      zones,
      machines: workers,
      rps: RUN_SETTINGS.cloud.rps,
      listLagMs: RUN_SETTINGS.cloud.list_lag_s * 1000,
      seed: this.workloadShape.seed,
    });
    await this.cloud.ready();
    this.startControllers();
    if (this.launch.endedJobs > 0) await this.startAgainWithEndedJobs();
  }

  private startControllers(): void {
    this.startedAt = performance.now();
    this.readyMs = null;
    for (let node = 0; node < this.shape.nodes; node += 1) this.startController(node);
  }

  /** All controllers end and start again, with the records of many ended jobs to be read. */
  private async startAgainWithEndedJobs(): Promise<void> {
    await this.ready();
    const remembered = new Promise<void>((resolve) => (this.onRemembered = resolve));
    this.state?.order({ order: 'remember', endedJobs: this.launch.endedJobs });
    await remembered;
    await Promise.all(this.controllers.map((p) => p.end()));
    this.startControllers();
    await this.ready();
  }

  /** Waits until a leader has read its records, for as long as that may take at the most. */
  private async ready(): Promise<void> {
    const until = performance.now() + MOST_READY_MS;
    while (this.readyMs === null && performance.now() < until)
      await new Promise((resolve) => setTimeout(resolve, LOOK_MS));
  }

  async startUsers(): Promise<void> {
    this.users = this.child('users', { role: 'users', nodes: this.nodes, workload: this.workloadShape });
    await this.users.ready();
  }

  private sourceOf(name: string): string {
    return `${this.shape.region}/${name}`;
  }

  private child(name: string, role: Role): RunProcess {
    const source = this.sourceOf(name);
    if (role.role !== 'state') this.events.onProcessStarted(source);
    return this.processes.start({
      name: source,
      args: [CHILD_PROGRAM, JSON.stringify(role)],
      hasChannel: true,
      onNotice: (notice) => {
        this.onNotice(source, notice);
      },
      onEnd: (code) => {
        this.events.onProcessEnded(source);
        this.events.onUnexpectedExit(source, code);
      },
    });
  }

  /** Starts the process of a controller node, again where it has ended. */
  startController(node: number): void {
    const file = join(this.folder, `${node}.toml`);
    writeFileSync(file, settingsFile(this.shape, node));
    const log: ControllerLog = this.logs[node] ?? { messages: new Map(), leadsSince: null };
    log.leadsSince = null;
    this.logs[node] = log;
    const name = nodeName(this.shape.region, node);
    this.controllers[node] = this.processes.start({
      name,
      args: [...startLine(this.launch.deployFile), file],
      env: { LOG_LEVEL: 'info', NODE_OPTIONS: '' },
      hasChannel: false,
      onLine: (line) => {
        this.onLine(log, line);
      },
      onEnd: (code) => {
        this.events.onUnexpectedExit(name, code);
      },
    });
  }

  private onLine(log: ControllerLog, line: string): void {
    const message = /"msg":"([^"]*)"/.exec(line)?.[1];
    if (message === undefined) return;
    log.messages.set(message, (log.messages.get(message) ?? 0) + 1);
    if (message === 'leader ready' && this.readyMs === null)
      this.readyMs = performance.now() - this.startedAt;
    if (message === 'leading') log.leadsSince = performance.now();
    else if (message === 'no longer leading') log.leadsSince = null;
  }

  /** Number of the node that began to lead last; null: none leads. */
  get leader(): number | null {
    let found: number | null = null;
    let since = -Infinity;
    this.logs.forEach((log, node) => {
      if (log.leadsSince === null || log.leadsSince < since || this.controllers[node]?.ended === true) return;
      found = node;
      since = log.leadsSince;
    });
    return found;
  }

  private onNotice(source: string, notice: Notice): void {
    switch (notice.notice) {
      case 'events':
        this.events.onEvents(source, notice.events, notice.until);
        return;
      case 'up':
        for (const m of notice.machines) this.place(m);
        return;
      case 'ended':
        for (const id of notice.machines) this.endMachine(id);
        return;
      case 'remembered':
        this.onRemembered();
        return;
      case 'ready':
      case 'reading':
    }
  }

  /** Machines spread over the fleet get a process of their own each, every other one that of its zone. */
  private place(m: MachineUp): void {
    const every = Math.max(1, Math.floor(this.shape.workers / DEDICATED_WORKERS.length));
    const lone =
      this.placed % every === every - 1 ? DEDICATED_WORKERS[Math.floor(this.placed / every)] : undefined;
    const host = lone ?? m.zone;
    this.placed += 1;
    this.hostOf.set(m.id, host);
    this.hosts.get(host)?.order({ order: 'up', machines: [m] });
  }

  private endMachine(id: MachineId): void {
    const host = this.hostOf.get(id);
    this.hostOf.delete(id);
    if (host !== undefined) this.hosts.get(host)?.order({ order: 'end', machines: [id] });
  }

  /** Machines that stand in the zone now. */
  machinesIn(zone: string): MachineId[] {
    return [...this.hostOf].filter(([, host]) => host === zone).map(([id]) => id);
  }

  /** The machines stop by themselves, at once. */
  failMachines(machines: readonly MachineId[]): void {
    this.cloud?.order({ order: 'fail', machines });
  }

  removeFiles(): void {
    rmSync(this.folder, { recursive: true, force: true });
  }
}

function workerTimes(): {
  heartbeatIntervalMs: number;
  leaseMs: number;
  gangWaitMs: number;
  gangPeerMs: number;
} {
  const { report_s, lease_s, gang_wait_s, gang_peer_s } = RUN_SETTINGS.workers;
  return {
    heartbeatIntervalMs: report_s * 1000,
    leaseMs: lease_s * 1000,
    gangWaitMs: gang_wait_s * 1000,
    gangPeerMs: gang_peer_s * 1000,
  };
}
