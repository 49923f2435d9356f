import type { CloudProvider, RentalOutcome } from '@spurbridge/cloud';
import { Controller, toHeartbeatResponse } from '@spurbridge/controller';
import type {
  CommandOutcome,
  Logger,
  PeerTransport,
  LeaderComponentFactory,
  Settings,
  WorkerClient,
} from '@spurbridge/controller';
import type { Team, WallClockMs } from '@spurbridge/model';
import { RecoverableStore } from '@spurbridge/recovery';
import { decodeJob } from '@spurbridge/model';
import type {
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  NodeId,
  PeerMessage,
  RentalRequest,
  AgentEpoch,
  FencingToken,
  WorkerCommand,
  Heartbeat,
} from '@spurbridge/wire';
import type { SnapshotDirectory } from '@spurbridge/snapshot';
import { SnapshotRepository, runSnapshotter } from '@spurbridge/snapshot';
import {
  decodePeerMessage,
  encodePeerMessage,
  formatDirectCommands,
  formatTransaction,
  formatReleaseRequest,
  formatRentalRequest,
  formatHeartbeat,
  formatHeartbeatResponse,
} from '@spurbridge/wire';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { RuleChecker } from './rule-checker.js';
import { ProcessClock, SimTime } from './clock.js';
import { SimCloud } from './cloud.js';
import { FaultInjector } from './fault-injector.js';
import { SimNetwork } from './network.js';
import type { StoreLimits } from './key-value-store.js';
import { SimKeyValueStore, SimStoreClient, STORE_HOST } from './key-value-store.js';
import type { HeartbeatResult, WorkerHost } from '@spurbridge/simulated-worker';
import { GangRegistry, SimulatedWorker } from '@spurbridge/simulated-worker';
import type { TrafficEvent, TrafficObserver } from './traffic-digest.js';
import { DEFAULT_POLL_MS, Users } from './users.js';

export const CLOUD_HOST = 'cloud';
const RESTART_MS = 8000;
const KEPT_SNAPSHOTS = 9;
const LIST_LAG_MS = 4000;
/** A machine that can open no connection notices so soon. */
const MUTE_MS = 300;
/** Copies of reports that are kept for the next leader. */
const MOST_KEPT = 400;
const GANG_WAIT_S = 20;
const GANG_PEER_S = 4;

export interface WorldOptions {
  readonly seed: number;
  readonly teams: readonly Team[];
  readonly types: readonly MachineType[];
  readonly zones: readonly string[];
  /** Controllers; by default three. */
  readonly nodes?: number;
  /** Machines of each type, zone and kind. */
  readonly capacity: number;
  readonly leaseS: number;
  readonly cancelS: number;
  readonly log?: Logger;
  /** Is told of all that the programs send. */
  readonly traffic?: TrafficObserver;
  readonly gangWaitS?: number;
  /** Requests and changes a second that the state service takes. */
  readonly storeLimits?: StoreLimits;
  /** What a node's program adds to its leader. */
  readonly leaderComponents?: (host: string, network: SimNetwork) => readonly LeaderComponentFactory[];
  /** A folder that outlives the nodes, in which they keep snapshots this often. */
  readonly snapshots?: { readonly folder: SnapshotDirectory; readonly everyMs: number };
  /** Time of day when the simulation begins, in milliseconds since 1970. */
  readonly wallClockStartMs?: number;
  /** Users ask after their accepted jobs this often, at least; by default every 1.5 s. */
  readonly userPollMs?: number;
  /** Whether a run of the task ends with an error. */
  readonly taskFails?: (job: JobSpec, task: number) => boolean;
  /** How long a task really runs; by default 0.6 to 1.4 times its estimate. */
  readonly taskRunMs?: (job: JobSpec, task: number) => number;
}

const AMPLE: StoreLimits = { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 };

interface SimNode {
  readonly name: NodeId;
  readonly zone: string;
  clock: ProcessClock;
  store: SimStoreClient;
  guard: RecoverableStore;
  controller: Controller;
}

const silent: Logger = { debug: () => undefined, info: () => undefined, error: () => undefined };

/** Controllers, state service, cloud, workers and users in one simulated world, judged by the rules. */
export class World {
  readonly time = new SimTime();
  readonly network: SimNetwork;
  readonly store: SimKeyValueStore;
  readonly faults: FaultInjector;
  readonly checker: RuleChecker;
  readonly users: Users;
  readonly workers = new Map<MachineId, SimulatedWorker>();
  readonly nodes: SimNode[] = [];
  private readonly generator;
  private readonly cloud: SimCloud;
  private incarnations = 0;
  private ids = 0;

  constructor(private readonly o: WorldOptions) {
    this.generator = xoroshiro128plus(o.seed);
    this.network = new SimNetwork(this.time, (below) => this.random(below));
    this.faults = new FaultInjector((below) => this.random(below), o.leaseS * 1000);
    this.store = new SimKeyValueStore(this.time, o.storeLimits ?? AMPLE, this.faults);
    if (o.traffic !== undefined)
      this.store.onCommit = (conditions, changes, { outcome }) => {
        const payload = [formatTransaction(conditions, changes), outcome, this.store.currentRevision()];
        this.observe('transaction', 'controller', STORE_HOST, payload);
      };
    this.cloud = new SimCloud(this.time, {
      types: o.types,
      capacity: o.capacity,
      listLagMs: LIST_LAG_MS,
      random: (below) => this.random(below),
      bootMs: (type) => this.faults.bootMs(type.bootS * (600 + this.random(900))),
      onMachineUp: (id, type, zone, spot) => {
        this.addWorker(id, type, zone, spot);
      },
      onMachineEnded: (id) => this.workers.get(id)?.die(),
      isMachineUp: (id) => this.workers.has(id),
    });
    this.checker = new RuleChecker(() => this.time.now, o.teams, o.cancelS * 1000);
    this.checker.onJobCompleted = (spec) => {
      if (this.faults.shouldInject('cancelsAtEnd')) this.users.cancelUntilConfirmed(spec);
    };
    this.users = new Users(this, o.userPollMs ?? DEFAULT_POLL_MS);
    for (let i = 0; i < this.nodeCount; i += 1) {
      const name = `spur-${i}` as NodeId;
      this.nodes.push(this.boot(name, this.zoneOf(i)));
    }
  }

  /** Names of rental requests that one process took after another had used them. */
  get reusedRentalNames(): readonly string[] {
    return this.cloud.reusedRequestNames;
  }

  private zoneOf(index: number): string {
    return this.o.zones[index % this.o.zones.length] as string;
  }

  private get nodeCount(): number {
    return this.o.nodes ?? 3;
  }

  get wallClockStartMs(): number {
    return this.o.wallClockStartMs ?? 1_700_000_000_000;
  }

  random(below: number): number {
    return below <= 0 ? 0 : uniformInt(this.generator, 0, below - 1);
  }

  /** Tells the observer of the traffic, where there is one. */
  observe(kind: TrafficEvent['kind'], from: string, to: string, payload: unknown): void {
    this.o.traffic?.observe({ atMs: this.time.now, kind, from, to, payload });
  }

  private settings(name: NodeId, zone: string): Settings {
    return {
      node: name,
      zone,
      listen: '127.0.0.1:1',
      peerListen: '127.0.0.1:2',
      peers: Array.from({ length: this.nodeCount }, (_, i) => ({
        node: `spur-${i}` as NodeId,
        zone: this.zoneOf(i),
        address: `spur-${i}`,
      })).filter((p) => p.node !== name),
      cloudAddress: CLOUD_HOST,
      storeAddress: STORE_HOST,
      teams: this.o.teams,
      objectives: [],
      workers: {
        reportS: 3,
        leaseS: this.o.leaseS,
        gangWaitS: this.o.gangWaitS ?? GANG_WAIT_S,
        gangPeerS: GANG_PEER_S,
        cancelS: this.o.cancelS,
      },
      storeLimits: this.o.storeLimits ?? AMPLE,
      cloudLimits: { rps: 10, listLagS: LIST_LAG_MS / 1000 },
      maxSockets: 100,
      memoryMb: null,
      cpuShare: 0.17,
    };
  }

  private boot(name: NodeId, zone: string): SimNode {
    const clock = new ProcessClock(this.time, 1 + this.random(5) / 10_000, this.random(1_000_000));
    const store = new SimStoreClient(this.store, this.network, name, clock);
    const log = this.o.log ?? silent;
    const wallNow = (): WallClockMs =>
      (this.wallClockStartMs + this.time.now + this.random(20)) as WallClockMs;
    const settings = this.settings(name, zone);
    const cloud = this.cloudFor(name);
    const { snapshots } = this.o;
    const shelf =
      snapshots === undefined
        ? undefined
        : new SnapshotRepository(snapshots.folder, (file, reason) => {
            log.info({ file, reason }, 'snapshot refused');
          });
    const guard = new RecoverableStore({
      ...(shelf === undefined ? {} : { shelf }),
      raw: store,
      clock,
      wallNow,
      newId: () => `id-${this.random(2 ** 30)}-${(this.ids += 1)}`,
      node: name,
      nodes: this.nodeCount,
      limits: settings.storeLimits,
      countRunningMachines: async () =>
        (await cloud.listMachines())?.filter((m) => m.phase === 'running').length ?? null,
      log,
      onIntegrityChanged: () => {
        controller.onStoreIntegrityChanged();
      },
      onReplicaChanged: () => {
        controller.onRecordsChanged();
      },
    });
    this.incarnations += 1;
    const controller: Controller = new Controller({
      settings,
      store: guard,
      cloud,
      workerClient: this.linkFor(name),
      clock,
      wallNow,
      log,
      incarnation: `${name}-${this.incarnations}`,
      leaderComponents: this.o.leaderComponents?.(name, this.network) ?? [],
      createPeerTransport: ({ status, onMessage, onDisconnected }) =>
        this.peersOf(name, clock, status, onMessage, onDisconnected),
    });
    void controller.run();
    if (shelf !== undefined && snapshots !== undefined) {
      const most = KEPT_SNAPSHOTS;
      void runSnapshotter({
        store: guard,
        repository: shelf,
        node: name,
        intervalMs: snapshots.everyMs,
        maxSnapshots: most,
        clock,
        wallNow,
        log,
      });
    }
    return { name, zone, clock, store, guard, controller };
  }

  /** Ends a node's process; it is back after `backMs`, with nothing of what it knew. */
  crash(index: number, backMs = RESTART_MS): void {
    const node = this.nodes[index];
    if (node === undefined || !node.clock.alive) return;
    node.clock.alive = false;
    for (const other of this.nodes)
      if (other !== node && other.clock.alive)
        this.network.send(node.name, other.name, () => {
          if (other.clock.alive) this.closers.get(other.name)?.(node.name);
        });
    this.time.after(backMs, () => {
      this.nodes[index] = this.boot(node.name, node.zone);
    });
  }

  /** A node stands still for a while: what it is sent waits, and its timers go off late. */
  freeze(index: number, forMs: number): void {
    const node = this.nodes[index];
    if (node === undefined || !node.clock.alive) return;
    node.clock.freeze(this.time.now + forMs);
    const hosts = [
      STORE_HOST,
      CLOUD_HOST,
      ...[...this.workers.keys()].map(String),
      ...this.nodes.filter((n) => n !== node).map((n) => n.name as string),
    ];
    for (const host of hosts) this.network.partition(node.name, host, 'hold');
    this.time.after(forMs, () => {
      for (const host of hosts) this.network.heal(node.name, host);
    });
  }

  /** Machines whose workers report to each node, in the order of the nodes. */
  machinesPerNode(): number[] {
    const counts = this.nodes.map(() => 0);
    for (const x of this.workers.values())
      if (x.alive) counts[x.heartbeatNodeIndex] = (counts[x.heartbeatNodeIndex] ?? 0) + 1;
    return counts;
  }

  private alive(name: string): SimNode | null {
    const node = this.nodes.find((n) => n.name === name);
    return node?.clock.alive === true ? node : null;
  }

  private peersOf(
    name: NodeId,
    clock: ProcessClock,
    status: () => PeerMessage,
    receive: (message: PeerMessage) => void,
    closed: (node: NodeId) => void,
  ): PeerTransport {
    const heard = new Map<string, { at: number; ok: boolean }>();
    this.receivers.set(name, (message) => {
      const s = message.status;
      if (s !== undefined) heard.set(s.node, { at: clock.now(), ok: s.stateOk });
      receive(message);
    });
    this.closers.set(name, closed);
    const send = (to: NodeId, message: PeerMessage): boolean => {
      // A dead process refuses at once; a host behind a cut is silent.
      const target = this.alive(to);
      if (target === null || this.refusedLinks.has(SimNetwork.linkKey(name, to))) return false;
      const frame = encodePeerMessage(this.previousVersionNodes.has(name) ? asBefore(message) : message);
      this.observe('peer-frame', name, to, Buffer.from(frame).toString('hex'));
      this.peerTraffic.frames += 1;
      this.peerTraffic.bytes += frame.length;
      this.network.send(name, to, () => {
        if (this.alive(to) !== target || !clock.alive) return;
        const decoded = decodePeerMessage(frame);
        if (decoded === null) return;
        const { message: sent } = decoded;
        this.receivers.get(to)?.(this.previousVersionNodes.has(to) ? asBefore(sent) : sent);
      });
      return true;
    };
    const broadcast = (message: PeerMessage): void => {
      for (const n of this.nodes) if (n.name !== name) send(n.name, message);
    };
    return {
      broadcast,
      send,
      isConnected: (to) => this.alive(to) !== null && !this.refusedLinks.has(SimNetwork.linkKey(name, to)),
      hasPeerWithStore: () => [...heard.values()].some((h) => h.ok && clock.now() - h.at < 4000),
      run: async () => {
        for (;;) {
          await clock.sleep(700);
          broadcast(status());
        }
      },
    };
  }

  private readonly receivers = new Map<string, (message: PeerMessage) => void>();
  private readonly closers = new Map<string, (node: NodeId) => void>();
  /** Frames and bytes that controllers sent each other. */
  readonly peerTraffic = { frames: 0, bytes: 0 };
  private readonly refusedLinks = new Set<string>();
  /** Nodes of a version that knows nothing of shares. */
  readonly previousVersionNodes = new Set<string>();

  /** Connections between two controllers are refused from now on, or again accepted. */
  setLinkRefused(a: string, b: string, refused: boolean): void {
    const pair = SimNetwork.linkKey(a, b);
    if (!refused) this.refusedLinks.delete(pair);
    else {
      this.refusedLinks.add(pair);
      this.closers.get(a)?.(b as NodeId);
      this.closers.get(b)?.(a as NodeId);
    }
  }

  // --- cloud -----------------------------------------------------------------------------------

  private cloudFor(host: string): CloudProvider {
    const by = `${host}-${this.incarnations}`;
    return {
      listMachineTypes: async () => this.network.call(host, CLOUD_HOST, 4000, () => this.cloud.types),
      rent: async (q: RentalRequest): Promise<RentalOutcome> => {
        this.observe('rental', host, CLOUD_HOST, formatRentalRequest(q));
        const outcome = await this.network.call<RentalOutcome>(host, CLOUD_HOST, 4000, () =>
          this.cloud.rent(q, by),
        );
        return outcome ?? { outcome: 'unknown' };
      },
      release: async (ids: readonly MachineId[]) => {
        this.observe('release', host, CLOUD_HOST, formatReleaseRequest(ids));
        return (await this.network.call(host, CLOUD_HOST, 4000, () => this.cloud.release(ids))) === true;
      },
      listMachines: async () => this.network.call(host, CLOUD_HOST, 4000, () => this.cloud.list()),
    };
  }

  /** A machine is up from now on. */
  addWorker(id: MachineId, type: MachineType, zone: string, spot: boolean): void {
    this.workers.set(id, new SimulatedWorker(id, type, zone, spot, this.workerHost()));
  }

  reclaimMachine(id: MachineId): void {
    this.cloud.release([id]);
  }

  // --- workers ---------------------------------------------------------------------------------

  private workerHost(): WorkerHost {
    return {
      time: this.time,
      observer: this.checker,
      nodes: this.nodes.map((n) => n.name),
      reportMs: 3000,
      leaseMs: this.o.leaseS * 1000,
      random: (below) => this.random(below),
      findJob: (id) => this.checker.submitted.get(id) ?? this.partOfGraph(id),
      taskFails: this.o.taskFails ?? (() => false),
      taskRunMs: this.o.taskRunMs ?? ((job, task) => job.estimateS * (600 + ((task * 7919) % 800))),
      gangWaitMs: (this.o.gangWaitS ?? GANG_WAIT_S) * 1000,
      gangPeerMs: GANG_PEER_S * 1000,
      gangs: this.gangs,
      addressOf: (id) => id,
      sendHeartbeat: (worker, node, report) => this.report(worker, node, report),
    };
  }

  /** Cotasks of graphs are described by their records. */
  private partOfGraph(id: JobId): JobSpec | undefined {
    const value = this.store.peek(`j/${id}`);
    if (value === undefined) return undefined;
    const record = decodeJob(value);
    return record.graph === undefined ? undefined : record.spec;
  }

  private readonly gangs = new GangRegistry(() => this.workers.values());

  /** How many attempts of each gang reached a machine. */
  get gangAttempts(): ReadonlyMap<string, number> {
    return this.gangs.attemptCounts;
  }

  /** Attempts of gangs whose progress was saved by an orderly stop. */
  get checkpointedGangs(): string[] {
    return this.gangs.checkpointedAttempts;
  }

  private report(worker: SimulatedWorker, node: string, report: Heartbeat): Promise<HeartbeatResult | null> {
    this.observe('heartbeat', worker.id, node, formatHeartbeat(report));
    return new Promise((resolve) => {
      this.time.after(4000, () => {
        resolve(null);
      });
      const lateMs = this.faults.duplicateHeartbeatDelayMs();
      // The answer to a copy finds nobody who waits for it.
      if (lateMs !== null)
        this.time.after(lateMs, () => {
          this.deliverCopy(node, report);
        });
      if (this.faults.shouldInject('keptReports')) this.keepForNext(report);
      if (this.faults.outboundPartitioned.has(worker.id)) {
        this.time.after(MUTE_MS, () => {
          resolve(null);
        });
        return;
      }
      this.network.send(worker.id, node, () => {
        const target = this.alive(node);
        if (target === null) return;
        void Promise.resolve(target.controller.handleHeartbeat(report)).then((outcome) => {
          const answer = toHeartbeatResponse(outcome);
          this.observe('heartbeat-response', node, worker.id, heartbeatResponse(answer));
          if (!target.clock.alive || this.faults.inboundPartitioned.has(worker.id)) return;
          this.network.send(node, worker.id, () => {
            resolve(answer);
          });
        });
      });
    });
  }

  /** A copy of a report reaches a node; the answer finds nobody who waits for it. */
  private deliverCopy(node: string, report: Heartbeat): void {
    this.network.send(report.machine, node, () => void this.alive(node)?.controller.handleHeartbeat(report));
  }

  private readonly kept: Heartbeat[] = [];

  /** Copies are kept until a node begins to lead, and then reach all nodes at once. */
  private keepForNext(report: Heartbeat): void {
    this.kept.push(report);
    if (this.kept.length > MOST_KEPT) this.kept.shift();
    if (this.kept.length === 1) this.watchForNext(this.highestLed());
  }

  private highestLed(): number {
    const leading = this.nodes.filter((n) => n.clock.alive && n.controller.leadership.state === 'leading');
    return Math.max(0, ...leading.map((n) => n.controller.leadership.fencingToken));
  }

  private watchForNext(token: number): void {
    const now = this.highestLed();
    if (now > token && token > 0) {
      for (const report of this.kept.splice(0)) for (const n of this.nodes) this.deliverCopy(n.name, report);
      return;
    }
    this.time.after(5, () => {
      this.watchForNext(Math.max(now, token));
    });
  }

  private linkFor(host: string): WorkerClient {
    const call = async (
      address: string,
      token: FencingToken,
      session: AgentEpoch,
      commands: readonly WorkerCommand[],
    ): Promise<CommandOutcome> => {
      const worker = this.workers.get(address as MachineId);
      this.observe('commands', host, address, formatDirectCommands(token, session, commands));
      if (worker === undefined) return { outcome: 'unsent' };
      return new Promise((resolve) => {
        this.time.after(2000, () => {
          resolve({ outcome: 'unknown' });
        });
        const held = this.faults.commandDelayMs();
        this.network.afterDelay(held.there, () => {
          this.network.send(host, address, () => {
            if (this.faults.inboundPartitioned.has(worker.id)) return;
            worker.receiveCommands(token, session, commands, (executed, report) => {
              this.observe('commands-response', address, host, [executed, formatHeartbeat(report)]);
              this.network.afterDelay(held.back, () => {
                this.network.send(address, host, () => {
                  resolve({ outcome: executed ? 'executed' : 'rejected', report });
                });
              });
            });
          });
        });
      });
    };
    return {
      sendCommands: call,
      fetchHeartbeat: async (address) =>
        this.network.call(host, address, 1500, () => {
          const worker = this.workers.get(address as MachineId);
          if (worker === undefined || this.faults.inboundPartitioned.has(worker.id)) return null;
          return worker.alive ? worker.makeHeartbeat() : null;
        }),
      closeConnection: () => undefined,
    };
  }

  // --- users -----------------------------------------------------------------------------------

  /** The job's user asks to cancel it, so much later. */
  scheduleCancellation(id: JobId, inMs: number): void {
    this.users.scheduleCancellation(id, inMs);
  }

  /** Submits until accepted or refused for good, then polls and, if asked to, cancels. */
  startUser(spec: JobSpec, cancelAfterMs: number | null): void {
    this.users.startUser(spec, cancelAfterMs);
  }

  async runUntil(untilMs: number): Promise<void> {
    const sweep = (): void => {
      this.checker.sweep();
      this.time.after(500, sweep);
    };
    if (this.time.now === 0) sweep();
    await this.time.runUntil(untilMs);
  }

  get storeLimits(): StoreLimits {
    return this.o.storeLimits ?? AMPLE;
  }

  get teams(): readonly Team[] {
    return this.o.teams;
  }

  recordedPhaseOf(id: JobId): unknown {
    return (this.store.peek(`j/${id}`) as { phase?: unknown } | undefined)?.phase;
  }
}

/** An answer to a heartbeat as it is sent. */
function heartbeatResponse(answer: HeartbeatResult): unknown {
  if (answer.code === 200) return formatHeartbeatResponse(answer.token, answer.commands);
  return answer.code === 421 ? [421, answer.leader] : [503];
}

/** What is left of a message for a node of a version before shares. */
function asBefore({ status, progress }: PeerMessage): PeerMessage {
  const known = {
    takesReports: false,
    ready: false,
    holds: false,
    machines: 0,
    burden: 0,
    configuration: 0,
    configurationAgeMs: 0,
  };
  return {
    ...(status === undefined ? {} : { status: { ...status, ...known } }),
    ...(progress === undefined ? {} : { progress }),
  };
}
