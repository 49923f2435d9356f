/**
 * One region of a run: its controllers and its helper processes.
 *
 * @module
 */
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse } from 'smol-toml';
import type { JobId, JobSpec, MachineId } from '@spurbridge/wire';
import { cloudAddress, listenAddress, storeAddress } from './addresses.js';
import type { RegionShape } from './controller-settings.js';
import { RUN_SETTINGS, nodeName, settingsFile } from './controller-settings.js';
import type { RunEvent } from './events.js';
import type { MachineUp, NodeAddress, Notice, Role, WorkerTimes } from './messages.js';
import type { Processes, RunProcess } from './processes.js';
import { Workload } from './workload.js';
import type { WorkloadShape } from './workload.js';

const HELPER_PROGRAM = 'target/scale-child.js';
/** Processes that host one worker each, so that the processor time and memory of a single worker can be measured. */
export const DEDICATED_WORKERS = ['worker 1', 'worker 2', 'worker 3'] as const;

/** Callbacks for the events and the lifecycle of a region's processes. */
export interface RegionEvents {
  /** Called with events of the process with this name, which are complete up to the given time. */
  readonly onEvents: (source: string, events: readonly RunEvent[], until: number) => void;
  readonly onProcessStarted: (source: string) => void;
  readonly onProcessEnded: (source: string) => void;
  /** Called when a process exited unexpectedly. */
  readonly onUnexpectedExit: (name: string, code: number | null) => void;
}

/** Interval at which the region is checked for a leader. */
const POLL_INTERVAL_MS = 20;
/** Maximum time to wait for a leader that has read its records. */
const MAX_READY_MS = 180_000;

/** How the controllers of a region are started. */
export interface Launch {
  /** Deployment file whose start command runs the controllers. */
  readonly deployFile: string;
  /** Records of ended jobs that the store holds from the start. */
  readonly endedJobs: number;
}

/** Arguments of the start command in a deployment file, without the settings path that is appended to them. */
function startArguments(deployFile: string): string[] {
  const { run } = parse(readFileSync(deployFile, 'utf8')) as { run: string };
  return run.split(' ').slice(1);
}

/** The number of times that a controller logged each message, and the time since which it leads. */
interface ControllerLog {
  readonly messages: Map<string, number>;
  leadsSince: number | null;
}

/** One region of a run: controllers of the built program, and helper processes that simulate their environment. */
export class Region {
  readonly controllers: RunProcess[] = [];
  readonly logs: ControllerLog[] = [];
  readonly hosts = new Map<string, RunProcess>();
  store: RunProcess | null = null;
  cloud: RunProcess | null = null;
  users: RunProcess | null = null;
  readonly workload: Workload;
  private readonly directory = mkdtempSync(join(tmpdir(), 'spurbridge-scale-'));
  private readonly hostByMachine = new Map<MachineId, string>();
  private placedCount = 0;
  private startedAt = 0;
  private onEndedJobsAdded: () => void = () => undefined;
  /** Time from the start of the controllers until a leader had first read its records, in milliseconds. */
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

  /** The job with this id, or undefined if it does not belong to this region. */
  find(id: JobId): JobSpec | undefined {
    return this.workload.find(id);
  }

  /** The controller nodes and their addresses. */
  get nodes(): NodeAddress[] {
    const { region, nodes } = this.shape;
    return Array.from({ length: nodes }, (_, n) => ({
      name: nodeName(region, n),
      address: listenAddress(region, n),
    }));
  }

  /** Starts all processes except the users. Throws a `ProcessError` if one does not start. */
  async start(): Promise<void> {
    await this.startStore();
    await this.startHosts();
    await this.startCloud();
    this.startControllers();
    if (this.launch.endedJobs > 0) await this.restartWithEndedJobs();
  }

  private async startStore(): Promise<void> {
    const { rps, write_rps: writeRps, value_kb: valueKb, txn_ops: txnOps } = RUN_SETTINGS.state;
    const listen = storeAddress(this.shape.region);
    this.store = this.startHelper('state', { role: 'state', listen, rps, writeRps, valueKb, txnOps });
    await this.store.ready();
  }

  private async startHosts(): Promise<void> {
    for (const host of [...this.shape.zones, ...DEDICATED_WORKERS]) {
      const process = this.startHelper(host, {
        role: 'workers',
        region: this.shape.region,
        nodes: this.nodes,
        times: workerTimes(),
        workload: this.workloadShape,
      });
      this.hosts.set(host, process);
    }
    await Promise.all([...this.hosts.values()].map((host) => host.ready()));
  }

  private async startCloud(): Promise<void> {
    const { region, zones, workers } = this.shape;
    this.cloud = this.startHelper('cloud', {
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
  }

  private startControllers(): void {
    this.startedAt = performance.now();
    this.readyMs = null;
    for (let node = 0; node < this.shape.nodes; node += 1) this.startController(node);
  }

  /** Adds the records of ended jobs to the store and restarts all controllers, which then have to read them. */
  private async restartWithEndedJobs(): Promise<void> {
    await this.waitForLeader();
    const added = new Promise<void>((resolve) => (this.onEndedJobsAdded = resolve));
    this.store?.order({ order: 'remember', endedJobs: this.launch.endedJobs });
    await added;
    await Promise.all(this.controllers.map((controller) => controller.end()));
    this.startControllers();
    await this.waitForLeader();
  }

  /** Waits until a leader has read its records, or until the maximum time has passed. */
  private async waitForLeader(): Promise<void> {
    const until = performance.now() + MAX_READY_MS;
    while (this.readyMs === null && performance.now() < until)
      await new Promise((resolve) => setTimeout(resolve, POLL_INTERVAL_MS));
  }

  /** Starts the process that simulates the users. Throws a `ProcessError` if it does not start. */
  async startUsers(): Promise<void> {
    this.users = this.startHelper('users', {
      role: 'users',
      nodes: this.nodes,
      workload: this.workloadShape,
    });
    await this.users.ready();
  }

  private sourceOf(name: string): string {
    return `${this.shape.region}/${name}`;
  }

  private startHelper(name: string, role: Role): RunProcess {
    const source = this.sourceOf(name);
    if (role.role !== 'state') this.events.onProcessStarted(source);
    return this.processes.start({
      name: source,
      args: [HELPER_PROGRAM, JSON.stringify(role)],
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

  /** Starts the process of a controller node, for the first time or after it has ended. */
  startController(node: number): void {
    const file = join(this.directory, `${node}.toml`);
    writeFileSync(file, settingsFile(this.shape, node));
    const log: ControllerLog = this.logs[node] ?? { messages: new Map(), leadsSince: null };
    log.leadsSince = null;
    this.logs[node] = log;
    const name = nodeName(this.shape.region, node);
    this.controllers[node] = this.processes.start({
      name,
      args: [...startArguments(this.launch.deployFile), file],
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

  /** Index of the node that was elected last; null if none leads. */
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
        for (const machine of notice.machines) this.place(machine);
        return;
      case 'ended':
        for (const id of notice.machines) this.endMachine(id);
        return;
      case 'remembered':
        this.onEndedJobsAdded();
        return;
      case 'ready':
      case 'reading':
    }
  }

  /** Hosts a few machines, spread over the fleet, in dedicated processes, and all others in their zone's process. */
  private place(machine: MachineUp): void {
    const spacing = Math.max(1, Math.floor(this.shape.workers / DEDICATED_WORKERS.length));
    const dedicated =
      this.placedCount % spacing === spacing - 1
        ? DEDICATED_WORKERS[Math.floor(this.placedCount / spacing)]
        : undefined;
    const host = dedicated ?? machine.zone;
    this.placedCount += 1;
    this.hostByMachine.set(machine.id, host);
    this.hosts.get(host)?.order({ order: 'up', machines: [machine] });
  }

  private endMachine(id: MachineId): void {
    const host = this.hostByMachine.get(id);
    this.hostByMachine.delete(id);
    if (host !== undefined) this.hosts.get(host)?.order({ order: 'end', machines: [id] });
  }

  /** The machines that run in the zone's shared process now. */
  machinesIn(zone: string): MachineId[] {
    return [...this.hostByMachine].filter(([, host]) => host === zone).map(([id]) => id);
  }

  /** Makes the machines fail at once. */
  failMachines(machines: readonly MachineId[]): void {
    this.cloud?.order({ order: 'fail', machines });
  }

  /** Removes the settings files of the controllers. */
  removeFiles(): void {
    rmSync(this.directory, { recursive: true, force: true });
  }
}

function workerTimes(): WorkerTimes {
  const { report_s, lease_s, gang_wait_s, gang_peer_s } = RUN_SETTINGS.workers;
  return {
    heartbeatIntervalMs: report_s * 1000,
    leaseMs: lease_s * 1000,
    gangWaitMs: gang_wait_s * 1000,
    gangPeerMs: gang_peer_s * 1000,
  };
}
