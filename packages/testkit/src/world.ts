import type { Cloud, RentOutcome } from '@spurbridge/cloud';
import { Controller } from '@spurbridge/controller';
import type { DirectOutcome, Log, PeerLink, RoomFactory, Settings, WorkerLink } from '@spurbridge/controller';
import type { Team, WallMs } from '@spurbridge/model';
import { GuardedStore } from '@spurbridge/recovery';
import { decodeJob } from '@spurbridge/model';
import type {
  JobId,
  JobSpec,
  MachineId,
  MachineType,
  NodeId,
  PeerMessage,
  RentalRequest,
  Session,
  Token,
  WorkerCommand,
  WorkerReport,
} from '@spurbridge/wire';
import type { Folder } from '@spurbridge/snapshot';
import { Shelf, keepSnapshots } from '@spurbridge/snapshot';
import {
  decodePeerMessage,
  encodePeerMessage,
  formatCommands,
  formatCommit,
  formatRelease,
  formatRental,
  formatReport,
  formatReportAnswer,
} from '@spurbridge/wire';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { RuleChecker } from './checker.js';
import { ProcessClock, SimTime } from './clock.js';
import { SimCloud } from './cloud.js';
import { Faults } from './faults.js';
import { SimNetwork } from './network.js';
import type { StateLimits } from './state.js';
import { SimState, SimStore, STATE_HOST } from './state.js';
import type { ReportOutcome, WorkerHost } from '@spurbridge/hollow';
import { GangRegistry, HollowWorker } from '@spurbridge/hollow';
import type { TrafficEvent, TrafficObserver } from './traffic-digest.js';
import { USUAL_POLL_MS, Users } from './users.js';

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
  readonly log?: Log;
  /** Is told of all that the programs send. */
  readonly traffic?: TrafficObserver;
  readonly gangWaitS?: number;
  /** Requests and changes a second that the state service takes. */
  readonly stateLimits?: StateLimits;
  /** What a node's program adds to its leader. */
  readonly rooms?: (host: string, network: SimNetwork) => readonly RoomFactory[];
  /** A folder that outlives the nodes, in which they keep snapshots this often. */
  readonly snapshots?: { readonly folder: Folder; readonly everyMs: number };
  /** Time of day when the simulation begins, in milliseconds since 1970. */
  readonly wallStart?: number;
  /** Users ask after their accepted jobs this often, at least; by default every 1.5 s. */
  readonly pollMs?: number;
  /** Whether a run of the task ends with an error. */
  readonly fails?: (job: JobSpec, task: number) => boolean;
  /** How long a task really runs; by default 0.6 to 1.4 times its estimate. */
  readonly runMs?: (job: JobSpec, task: number) => number;
}

const AMPLE: StateLimits = { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 };

interface SimNode {
  readonly name: NodeId;
  readonly zone: string;
  clock: ProcessClock;
  store: SimStore;
  guard: GuardedStore;
  controller: Controller;
}

const silent: Log = { debug: () => undefined, info: () => undefined, error: () => undefined };

/** Controllers, state service, cloud, workers and users in one simulated world, judged by the rules. */
export class World {
  readonly time = new SimTime();
  readonly network: SimNetwork;
  readonly state: SimState;
  readonly faults: Faults;
  readonly checker: RuleChecker;
  readonly users: Users;
  readonly workers = new Map<MachineId, HollowWorker>();
  readonly nodes: SimNode[] = [];
  private readonly generator;
  private readonly cloud: SimCloud;
  private incarnations = 0;
  private ids = 0;

  constructor(private readonly o: WorldOptions) {
    this.generator = xoroshiro128plus(o.seed);
    this.network = new SimNetwork(this.time, (below) => this.random(below));
    this.faults = new Faults((below) => this.random(below), o.leaseS * 1000);
    this.state = new SimState(this.time, o.stateLimits ?? AMPLE, this.faults);
    if (o.traffic !== undefined)
      this.state.committed = (conditions, changes, { outcome }) => {
        const payload = [formatCommit(conditions, changes), outcome, this.state.now()];
        this.observe('transaction', 'controller', STATE_HOST, payload);
      };
    this.cloud = new SimCloud(this.time, {
      types: o.types,
      capacity: o.capacity,
      listLagMs: LIST_LAG_MS,
      random: (below) => this.random(below),
      bootMs: (type) => this.faults.bootMs(type.bootS * (600 + this.random(900))),
      up: (id, type, zone, spot) => {
        this.addWorker(id, type, zone, spot);
      },
      ended: (id) => this.workers.get(id)?.die(),
      isUp: (id) => this.workers.has(id),
    });
    this.checker = new RuleChecker(() => this.time.now, o.teams, o.cancelS * 1000);
    this.checker.onComplete = (spec) => {
      if (this.faults.happens('cancelsAtEnd')) this.users.cancelNow(spec);
    };
    this.users = new Users(this, o.pollMs ?? USUAL_POLL_MS);
    for (let i = 0; i < this.nodeCount; i += 1) {
      const name = `spur-${i}` as NodeId;
      this.nodes.push(this.boot(name, this.zoneOf(i)));
    }
  }

  /** Names of rental requests that one process took after another had used them. */
  get reusedNames(): readonly string[] {
    return this.cloud.reusedNames;
  }

  private zoneOf(index: number): string {
    return this.o.zones[index % this.o.zones.length] as string;
  }

  private get nodeCount(): number {
    return this.o.nodes ?? 3;
  }

  get wallStart(): number {
    return this.o.wallStart ?? 1_700_000_000_000;
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
      back: '127.0.0.1:2',
      peers: Array.from({ length: this.nodeCount }, (_, i) => ({
        node: `spur-${i}` as NodeId,
        zone: this.zoneOf(i),
        address: `spur-${i}`,
      })).filter((p) => p.node !== name),
      cloudAddress: CLOUD_HOST,
      stateAddress: STATE_HOST,
      teams: this.o.teams,
      objectives: [],
      workers: {
        reportS: 3,
        leaseS: this.o.leaseS,
        gangWaitS: this.o.gangWaitS ?? GANG_WAIT_S,
        gangPeerS: GANG_PEER_S,
        cancelS: this.o.cancelS,
      },
      state: this.o.stateLimits ?? AMPLE,
      cloud: { rps: 10, listLagS: LIST_LAG_MS / 1000 },
      maxSockets: 100,
      memoryMb: null,
      cpuShare: 0.17,
    };
  }

  private boot(name: NodeId, zone: string): SimNode {
    const clock = new ProcessClock(this.time, 1 + this.random(5) / 10_000, this.random(1_000_000));
    const store = new SimStore(this.state, this.network, name, clock);
    const log = this.o.log ?? silent;
    const wallNow = (): WallMs => (this.wallStart + this.time.now + this.random(20)) as WallMs;
    const settings = this.settings(name, zone);
    const cloud = this.cloudFor(name);
    const { snapshots } = this.o;
    const shelf =
      snapshots === undefined
        ? undefined
        : new Shelf(snapshots.folder, (file, reason) => {
            log.info({ file, reason }, 'snapshot refused');
          });
    const guard = new GuardedStore({
      ...(shelf === undefined ? {} : { shelf }),
      raw: store,
      clock,
      wallNow,
      newId: () => `id-${this.random(2 ** 30)}-${(this.ids += 1)}`,
      node: name,
      nodes: this.nodeCount,
      limits: settings.state,
      machines: async () => (await cloud.list())?.filter((m) => m.phase === 'running').length ?? null,
      log,
      changed: () => {
        controller.trustChanged();
      },
      copied: () => {
        controller.copyChanged();
      },
    });
    this.incarnations += 1;
    const controller: Controller = new Controller({
      settings,
      store: guard,
      cloud,
      workers: this.linkFor(name),
      clock,
      wallNow,
      log,
      incarnation: `${name}-${this.incarnations}`,
      rooms: this.o.rooms?.(name, this.network) ?? [],
      link: (status, receive, closed) => this.peersOf(name, clock, status, receive, closed),
    });
    void controller.run();
    if (shelf !== undefined && snapshots !== undefined) {
      const most = KEPT_SNAPSHOTS;
      void keepSnapshots({ guard, shelf, node: name, everyMs: snapshots.everyMs, most, clock, wallNow, log });
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
      STATE_HOST,
      CLOUD_HOST,
      ...[...this.workers.keys()].map(String),
      ...this.nodes.filter((n) => n !== node).map((n) => n.name as string),
    ];
    for (const host of hosts) this.network.cut(node.name, host, 'hold');
    this.time.after(forMs, () => {
      for (const host of hosts) this.network.heal(node.name, host);
    });
  }

  /** Machines whose workers report to each node, in the order of the nodes. */
  held(): number[] {
    const counts = this.nodes.map(() => 0);
    for (const x of this.workers.values()) if (x.alive) counts[x.reportsTo] = (counts[x.reportsTo] ?? 0) + 1;
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
  ): PeerLink {
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
      if (target === null || this.refusedLinks.has(SimNetwork.pair(name, to))) return false;
      const frame = encodePeerMessage(this.earlier.has(name) ? asBefore(message) : message);
      this.observe('peer-frame', name, to, Buffer.from(frame).toString('hex'));
      this.back.frames += 1;
      this.back.bytes += frame.length;
      this.network.send(name, to, () => {
        if (this.alive(to) !== target || !clock.alive) return;
        const decoded = decodePeerMessage(frame);
        if (decoded === null) return;
        const { message: sent } = decoded;
        this.receivers.get(to)?.(this.earlier.has(to) ? asBefore(sent) : sent);
      });
      return true;
    };
    const broadcast = (message: PeerMessage): void => {
      for (const n of this.nodes) if (n.name !== name) send(n.name, message);
    };
    return {
      broadcast,
      send,
      isOpen: (to) => this.alive(to) !== null && !this.refusedLinks.has(SimNetwork.pair(name, to)),
      someoneServed: () => [...heard.values()].some((h) => h.ok && clock.now() - h.at < 4000),
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
  readonly back = { frames: 0, bytes: 0 };
  private readonly refusedLinks = new Set<string>();
  /** Nodes of a version that knows nothing of shares. */
  readonly earlier = new Set<string>();

  /** Connections between two controllers are refused from now on, or again accepted. */
  refuseLink(a: string, b: string, refused: boolean): void {
    const pair = SimNetwork.pair(a, b);
    if (!refused) this.refusedLinks.delete(pair);
    else {
      this.refusedLinks.add(pair);
      this.closers.get(a)?.(b as NodeId);
      this.closers.get(b)?.(a as NodeId);
    }
  }

  // --- cloud -----------------------------------------------------------------------------------

  private cloudFor(host: string): Cloud {
    const by = `${host}-${this.incarnations}`;
    return {
      types: async () => this.network.call(host, CLOUD_HOST, 4000, () => this.cloud.types),
      rent: async (q: RentalRequest): Promise<RentOutcome> => {
        this.observe('rental', host, CLOUD_HOST, formatRental(q));
        const outcome = await this.network.call<RentOutcome>(host, CLOUD_HOST, 4000, () =>
          this.cloud.rent(q, by),
        );
        return outcome ?? { outcome: 'unknown' };
      },
      release: async (ids: readonly MachineId[]) => {
        this.observe('release', host, CLOUD_HOST, formatRelease(ids));
        return (await this.network.call(host, CLOUD_HOST, 4000, () => this.cloud.release(ids))) === true;
      },
      list: async () => this.network.call(host, CLOUD_HOST, 4000, () => this.cloud.list()),
    };
  }

  /** A machine is up from now on. */
  addWorker(id: MachineId, type: MachineType, zone: string, spot: boolean): void {
    this.workers.set(id, new HollowWorker(id, type, zone, spot, this.workerHost()));
  }

  takeBack(id: MachineId): void {
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
      job: (id) => this.checker.submitted.get(id) ?? this.partOfGraph(id),
      fails: this.o.fails ?? (() => false),
      runMs: this.o.runMs ?? ((job, task) => job.estimateS * (600 + ((task * 7919) % 800))),
      gangWaitMs: (this.o.gangWaitS ?? GANG_WAIT_S) * 1000,
      gangPeerMs: GANG_PEER_S * 1000,
      gangs: this.gangs,
      addressOf: (id) => id,
      report: (worker, node, report) => this.report(worker, node, report),
    };
  }

  /** Cotasks of graphs are described by their records. */
  private partOfGraph(id: JobId): JobSpec | undefined {
    const value = this.state.peek(`j/${id}`);
    if (value === undefined) return undefined;
    const record = decodeJob(value);
    return record.graph === undefined ? undefined : record.spec;
  }

  private readonly gangs = new GangRegistry(() => this.workers.values());

  /** How many attempts of each gang reached a machine. */
  get attempts(): ReadonlyMap<string, number> {
    return this.gangs.attempts;
  }

  /** Attempts of gangs whose progress was saved by an orderly stop. */
  get savedGangs(): string[] {
    return this.gangs.saved;
  }

  private report(worker: HollowWorker, node: string, report: WorkerReport): Promise<ReportOutcome | null> {
    this.observe('heartbeat', worker.id, node, formatReport(report));
    return new Promise((resolve) => {
      this.time.after(4000, () => {
        resolve(null);
      });
      const lateMs = this.faults.lateReportMs();
      // The answer to a copy finds nobody who waits for it.
      if (lateMs !== null)
        this.time.after(lateMs, () => {
          this.deliverCopy(node, report);
        });
      if (this.faults.happens('keptReports')) this.keepForNext(report);
      if (this.faults.mute.has(worker.id)) {
        this.time.after(MUTE_MS, () => {
          resolve(null);
        });
        return;
      }
      this.network.send(worker.id, node, () => {
        const target = this.alive(node);
        if (target === null) return;
        void Promise.resolve(target.controller.report(report)).then((answer) => {
          this.observe('heartbeat-response', node, worker.id, heartbeatResponse(answer));
          if (!target.clock.alive || this.faults.deaf.has(worker.id)) return;
          this.network.send(node, worker.id, () => {
            resolve(answer);
          });
        });
      });
    });
  }

  /** A copy of a report reaches a node; the answer finds nobody who waits for it. */
  private deliverCopy(node: string, report: WorkerReport): void {
    this.network.send(report.machine, node, () => void this.alive(node)?.controller.report(report));
  }

  private readonly kept: WorkerReport[] = [];

  /** Copies are kept until a node begins to lead, and then reach all nodes at once. */
  private keepForNext(report: WorkerReport): void {
    this.kept.push(report);
    if (this.kept.length > MOST_KEPT) this.kept.shift();
    if (this.kept.length === 1) this.watchForNext(this.highestLed());
  }

  private highestLed(): number {
    const leading = this.nodes.filter((n) => n.clock.alive && n.controller.leadership.state === 'leading');
    return Math.max(0, ...leading.map((n) => n.controller.leadership.token));
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

  private linkFor(host: string): WorkerLink {
    const call = async (
      address: string,
      token: Token,
      session: Session,
      commands: readonly WorkerCommand[],
    ): Promise<DirectOutcome> => {
      const worker = this.workers.get(address as MachineId);
      this.observe('commands', host, address, formatCommands(token, session, commands));
      if (worker === undefined) return { outcome: 'unsent' };
      return new Promise((resolve) => {
        this.time.after(2000, () => {
          resolve({ outcome: 'unknown' });
        });
        const held = this.faults.heldCommandMs();
        this.network.afterwards(held.there, () => {
          this.network.send(host, address, () => {
            if (this.faults.deaf.has(worker.id)) return;
            worker.commands(token, session, commands, (executed, report) => {
              this.observe('commands-response', address, host, [executed, formatReport(report)]);
              this.network.afterwards(held.back, () => {
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
      commands: call,
      show: async (address) =>
        this.network.call(host, address, 1500, () => {
          const worker = this.workers.get(address as MachineId);
          if (worker === undefined || this.faults.deaf.has(worker.id)) return null;
          return worker.alive ? worker.makeReport() : null;
        }),
      forgetAddress: () => undefined,
    };
  }

  // --- users -----------------------------------------------------------------------------------

  /** The job's user asks to cancel it, so much later. */
  cancelSoon(id: JobId, inMs: number): void {
    this.users.cancelSoon(id, inMs);
  }

  /** Submits until accepted or refused for good, then polls and, if asked to, cancels. */
  user(spec: JobSpec, cancelAfterMs: number | null): void {
    this.users.user(spec, cancelAfterMs);
  }

  async run(untilMs: number): Promise<void> {
    const sweep = (): void => {
      this.checker.sweep();
      this.time.after(500, sweep);
    };
    if (this.time.now === 0) sweep();
    await this.time.run(untilMs);
  }

  get stateLimits(): StateLimits {
    return this.o.stateLimits ?? AMPLE;
  }

  get teams(): readonly Team[] {
    return this.o.teams;
  }

  phaseOf(id: JobId): unknown {
    return (this.state.peek(`j/${id}`) as { phase?: unknown } | undefined)?.phase;
  }
}

/** An answer to a heartbeat as it is sent. */
function heartbeatResponse(answer: ReportOutcome): unknown {
  if (answer.code === 200) return formatReportAnswer(answer.token, answer.commands);
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
