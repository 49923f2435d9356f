/**
 * A simulated environment: controllers, key-value store, cloud, workers and users under one simulated time,
 * checked against the rules of the protocol. Runs with the same seed are identical.
 *
 * @module
 */
import type { Team } from '@spurbridge/model';
import { decodeJob } from '@spurbridge/model';
import type { AgentMemory, WorkerHost } from '@spurbridge/simulated-worker';
import { GangRegistry, SimulatedWorker } from '@spurbridge/simulated-worker';
import type { JobId, JobSpec, MachineId, MachineType } from '@spurbridge/wire';
import { formatTransaction } from '@spurbridge/wire';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { SimTime } from './clock.js';
import { LIST_LAG_MS, SimCloud } from './cloud.js';
import { FaultInjector } from './fault-injector.js';
import { HeartbeatReplay } from './heartbeat-replay.js';
import { CLOUD_HOST, STORE_HOST } from './hosts.js';
import { SimKeyValueStore } from './key-value-store.js';
import { SimNetwork } from './network.js';
import { NodeFactory } from './node-factory.js';
import { PeerNetwork } from './peer-network.js';
import { RuleChecker } from './rule-checker.js';
import type { SimNode } from './sim-node.js';
import { NodeDirectory } from './sim-node.js';
import type { StoreLimits } from './store-rate-limit.js';
import { TaskListOrders } from './task-list-order.js';
import { TrafficRecorder } from './traffic-recorder.js';
import { DEFAULT_POLL_MS, Users } from './users.js';
import { WorkerTransport } from './worker-transport.js';
import type { WorldOptions } from './world-options.js';
import {
  AMPLE_STORE_LIMITS,
  DEFAULT_GANG_WAIT_S,
  DEFAULT_WALL_CLOCK_START_MS,
  GANG_PEER_S,
} from './world-options.js';

const DEFAULT_RESTART_MS = 8000;
const HEARTBEAT_INTERVAL_MS = 3000;
const RULE_CHECK_INTERVAL_MS = 500;
/** Minimum boot time in thousandths of the type's usual boot time; up to `BOOT_SPREAD_THOUSANDTHS` is added. */
const MIN_BOOT_THOUSANDTHS = 600;
const BOOT_SPREAD_THOUSANDTHS = 900;

/** Controllers, key-value store, cloud, workers and users in one simulated environment. */
export class World {
  readonly time = new SimTime();
  readonly network: SimNetwork;
  readonly store: SimKeyValueStore;
  readonly faults: FaultInjector;
  readonly checker: RuleChecker;
  readonly users: Users;
  readonly workers = new Map<MachineId, SimulatedWorker>();
  readonly recorder: TrafficRecorder;
  private readonly directory = new NodeDirectory();
  private readonly generator;
  private readonly taskListOrders;
  private readonly cloud: SimCloud;
  private readonly peers: PeerNetwork;
  private readonly nodeFactory: NodeFactory;
  private readonly workerTransport: WorkerTransport;
  private readonly gangs = new GangRegistry(() => this.workers.values());

  constructor(private readonly options: WorldOptions) {
    const random = (below: number): number => this.random(below);
    const { time, directory, workers } = this;
    this.generator = xoroshiro128plus(options.seed);
    this.taskListOrders = new TaskListOrders(options.seed);
    this.recorder = new TrafficRecorder(time, options.traffic);
    this.network = new SimNetwork(time, random);
    this.faults = new FaultInjector(random, options.leaseS * 1000);
    this.store = new SimKeyValueStore(time, this.storeLimits, this.faults);
    if (options.traffic !== undefined) this.recordTransactions();
    this.cloud = this.createCloud();
    this.checker = this.createChecker();
    this.users = new Users(this, options.userPollMs ?? DEFAULT_POLL_MS);
    const { network, faults, recorder, store, cloud } = this;
    const replay = new HeartbeatReplay(time, network, directory);
    this.workerTransport = new WorkerTransport({
      time,
      network,
      faults,
      directory,
      replay,
      workers,
      recorder,
    });
    this.peers = new PeerNetwork(directory, network, recorder);
    this.nodeFactory = new NodeFactory({
      world: options,
      time,
      network,
      store,
      cloud,
      peers: this.peers,
      workers: this.workerTransport,
      recorder,
      random,
    });
    for (let index = 0; index < this.nodeFactory.nodeCount; index += 1)
      this.nodes.push(this.nodeFactory.start(index));
  }

  /** The latest process of every controller. */
  get nodes(): SimNode[] {
    return this.directory.nodes;
  }

  /** Frames and bytes sent between controllers. */
  get peerTraffic(): { readonly frames: number; readonly bytes: number } {
    return this.peers.traffic;
  }

  /** Names of nodes of the version before worker shards; names may be added at any time. */
  get previousVersionNodes(): Set<string> {
    return this.peers.previousVersionNodes;
  }

  /** Names of rental requests that one process used after another process had used them. */
  get reusedRentalNames(): readonly string[] {
    return this.cloud.reusedRequestNames;
  }

  /** The number of attempts of each gang that reached a machine. */
  get gangAttempts(): ReadonlyMap<string, number> {
    return this.gangs.attemptCounts;
  }

  /** Attempts of gangs whose checkpoints were saved by a graceful stop. */
  get checkpointedGangs(): string[] {
    return this.gangs.checkpointedAttempts;
  }

  /** Limits of the key-value store. */
  get storeLimits(): StoreLimits {
    return this.options.storeLimits ?? AMPLE_STORE_LIMITS;
  }

  /** The teams of the controllers' settings. */
  get teams(): readonly Team[] {
    return this.options.teams;
  }

  /** Wall-clock time at the start of the simulation, in milliseconds since 1970. */
  get wallClockStartMs(): number {
    return this.options.wallClockStartMs ?? DEFAULT_WALL_CLOCK_START_MS;
  }

  /** Draws the next random integer from 0 to `below` - 1. */
  random(below: number): number {
    return below <= 0 ? 0 : uniformInt(this.generator, 0, below - 1);
  }

  /** Advances simulated time to `untilMs`, in milliseconds since the start of the simulation. */
  async runUntil(untilMs: number): Promise<void> {
    const sweep = (): void => {
      this.checker.sweep();
      this.time.after(RULE_CHECK_INTERVAL_MS, sweep);
    };
    if (this.time.now === 0) sweep();
    await this.time.runUntil(untilMs);
  }

  /** Ends a node's process; it is restarted after `restartMs`, without its in-memory state. */
  crash(index: number, restartMs = DEFAULT_RESTART_MS): void {
    const node = this.nodes[index];
    if (node === undefined || !node.clock.alive) return;
    node.clock.alive = false;
    this.peers.announceEnd(node.name);
    this.time.after(restartMs, () => {
      this.nodes[index] = this.nodeFactory.start(index);
    });
  }

  /** Suspends a node for a while: messages to it wait, and its timers fire late. */
  freeze(index: number, forMs: number): void {
    const node = this.nodes[index];
    if (node === undefined || !node.clock.alive) return;
    node.clock.freeze(this.time.now + forMs);
    const hosts = [STORE_HOST, CLOUD_HOST, ...this.workers.keys(), ...this.directory.namesExcept(node.name)];
    for (const host of hosts) this.network.partition(node.name, host, 'hold');
    this.time.after(forMs, () => {
      for (const host of hosts) this.network.heal(node.name, host);
    });
  }

  /** Begins or ends refusing connections between two controllers. */
  setLinkRefused(host: string, other: string, refused: boolean): void {
    this.peers.setLinkRefused(host, other, refused);
  }

  /** The number of machines whose workers send their heartbeats to each node, by node index. */
  machinesPerNode(): number[] {
    const counts = this.nodes.map(() => 0);
    for (const { alive, heartbeatNodeIndex: node } of this.workers.values())
      if (alive) counts[node] = (counts[node] ?? 0) + 1;
    return counts;
  }

  /** Handles a machine that came up. */
  addWorker(id: MachineId, type: MachineType, zone: string, spot: boolean): void {
    this.workers.set(id, new SimulatedWorker(id, type, zone, spot, this.createWorkerHost()));
  }

  /**
   * Ends a machine with all its tasks like a power failure; it is back after `downMs`. `recall` returns what its agent
   * then remembers of what it knew before.
   */
  restartMachine(id: MachineId, downMs: number, recall: (memory: AgentMemory) => AgentMemory): void {
    const ended = this.workers.get(id);
    if (ended?.alive !== true) return;
    const { type, zone, spot } = ended;
    const memory = recall(ended.memory);
    ended.die();
    this.time.after(downMs, () => {
      // The cloud may have ended it meanwhile.
      if (!this.cloud.isRented(id)) return;
      this.workers.set(id, new SimulatedWorker(id, type, zone, spot, this.createWorkerHost(), memory));
    });
  }

  /** The cloud reclaims a machine. */
  reclaimMachine(id: MachineId): void {
    this.cloud.release([id]);
  }

  /** The job's user requests its cancellation after this delay. */
  scheduleCancellation(id: JobId, inMs: number): void {
    this.users.scheduleCancellation(id, inMs);
  }

  /**
   * Starts a user who submits until accepted or finally rejected, then polls, and cancels at `cancelAtMs` if
   * that is set.
   */
  startUser(spec: JobSpec, cancelAtMs: number | null): void {
    this.users.startUser(spec, cancelAtMs);
  }

  /** The phase in the job's record; undefined if there is no record. */
  recordedPhaseOf(id: JobId): unknown {
    return (this.store.peek(`j/${id}`) as { phase?: unknown } | undefined)?.phase;
  }

  private recordTransactions(): void {
    this.store.onCommit = (compares, mutations, { outcome }) => {
      const payload = [formatTransaction(compares, mutations), outcome, this.store.currentRevision()];
      this.recorder.record('transaction', 'controller', STORE_HOST, payload);
    };
  }

  private createCloud(): SimCloud {
    const { types, capacity } = this.options;
    return new SimCloud(this.time, {
      types,
      capacity,
      listLagMs: LIST_LAG_MS,
      random: (below) => this.random(below),
      bootMs: (type) =>
        this.faults.bootMs(type.bootS * (MIN_BOOT_THOUSANDTHS + this.random(BOOT_SPREAD_THOUSANDTHS))),
      onMachineUp: (id, type, zone, spot) => {
        this.addWorker(id, type, zone, spot);
      },
      onMachineEnded: (id) => this.workers.get(id)?.die(),
      isMachineUp: (id) => this.workers.has(id),
    });
  }

  private createChecker(): RuleChecker {
    const { teams, cancelS } = this.options;
    const checker = new RuleChecker(() => this.time.now, teams, cancelS * 1000);
    checker.onJobCompleted = (spec) => {
      if (this.faults.shouldInject('cancellationsAtCompletion')) this.users.cancelUntilConfirmed(spec);
    };
    return checker;
  }

  private createWorkerHost(): WorkerHost {
    const { leaseS, gangWaitS, taskFails, taskRunMs } = this.options;
    return {
      time: this.time,
      observer: this.checker,
      nodes: this.nodes.map((node) => node.name),
      heartbeatIntervalMs: HEARTBEAT_INTERVAL_MS,
      leaseMs: leaseS * 1000,
      random: (below) => this.random(below),
      listTasks: this.options.listTasks ?? this.taskListOrders.draw(),
      findJob: (id) => this.checker.submitted.get(id) ?? this.findGraphJob(id),
      taskFails: taskFails ?? (() => false),
      taskRunMs: taskRunMs ?? defaultTaskRunMs,
      gangWaitMs: (gangWaitS ?? DEFAULT_GANG_WAIT_S) * 1000,
      gangPeerMs: GANG_PEER_S * 1000,
      gangs: this.gangs,
      addressOf: (id) => id,
      sendHeartbeat: (worker, node, heartbeat) => this.workerTransport.sendHeartbeat(worker, node, heartbeat),
    };
  }

  /** Jobs of task graphs are described by their records, since no user submitted them. */
  private findGraphJob(id: JobId): JobSpec | undefined {
    const value = this.store.peek(`j/${id}`);
    if (value === undefined) return undefined;
    const record = decodeJob(value);
    return record.graph === undefined ? undefined : record.spec;
  }
}

/** 0.6 to 1.4 times the estimate, by the task's index. */
function defaultTaskRunMs(job: JobSpec, task: number): number {
  return job.estimateS * (600 + ((task * 7919) % 800));
}
