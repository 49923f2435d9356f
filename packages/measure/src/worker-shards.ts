/**
 * Workers distributed over the controllers: recovery from crashes of controllers with and without worker shards.
 *
 * @module
 */
import type { JobId, MachineId } from '@spurbridge/wire';
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import { World, jobSpec, machineType } from '@spurbridge/testkit';
import { runPartsInParallel } from './parallel.js';

const FAULTS = [
  'leader, back after 0.2 s',
  'leader, back after 8 s',
  'another node',
  'the leader and another node',
  'all nodes',
] as const;
type Fault = (typeof FAULTS)[number];

/** One fault on one fleet. */
export interface WorkerShardsPart {
  readonly machines: number;
  readonly nodes: number;
  readonly trouble: Fault;
  /** Whether all controllers receive heartbeats. If not, all workers send theirs to the leader. */
  readonly shares: boolean;
}

interface SharesResult extends WorkerShardsPart {
  /** Number of machines that each node held before the fault. */
  readonly held: readonly number[];
  /** Time from the crash until a node holds a valid lease as leader. */
  readonly ledS: number | null;
  /** Time from the crash until a leader is elected and a task has started. */
  readonly startedS: number | null;
  /** Time from the crash until 95 % of the workers know the leader. */
  readonly most95S: number | null;
  /** Time from the crash until all workers know the leader. */
  readonly allS: number | null;
  /** Number of times that a worker connected to another node in the 30 s after the crash. */
  readonly moved: number;
  /** The part of `moved` at the node with the most of them. */
  readonly movedToOne: number;
  readonly killedByLease: number;
  readonly brokenRules: number;
  /** Frames per second between controllers under steady load; `kilobytes` is their size per second. */
  readonly frames: number;
  readonly kilobytes: number;
}

const WARM_UP_MS = 60_000;
const STEADY_MS = 20_000;
const OBSERVATION_MS = 40_000;
const TYPE = { ...machineType('s4', 4), bootS: 4 };
const CPUS = 1_000_000;
const SIZES = [300, 800, 1245, 3200];
/** Simulated with five nodes only. */
const LARGEST_SIZE = 10_000;
const OBSERVATION_INTERVAL_MS = 20;
const RESTART_MS = 200;
const SLOW_RESTART_MS = 8000;
/** Share of the workers for `most95S`. */
const MOST_WORKERS_SHARE = 0.95;
const MOVE_COUNT_PERIOD_S = 30;

type RecoveryTimes = Record<'ledS' | 'startedS' | 'most95S' | 'allS', number | null>;

interface BeforeFault {
  /** The highest fencing token of any node. */
  readonly fencingToken: number;
  /** Index of the node that receives each worker's heartbeats; updated while recovery is observed. */
  readonly nodeOfWorker: Map<MachineId, number>;
}

/** Creates a fleet with tasks that outlast the measurement on each machine, and a stream of short tasks. */
function createWorld(part: WorkerShardsPart): World {
  const world = new World({
    seed: 11,
    teams: [{ name: 'red', cpus: CPUS, cpusMax: CPUS, gpus: 0, gpusMax: 0 }],
    types: [TYPE],
    zones: ['a', 'b', 'c'],
    nodes: part.nodes,
    capacity: part.machines,
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 2000, writeRps: 1000, valueKb: 16, txnOps: 12 },
    taskRunMs: (job) => (job.image === 'long' ? 10 * WARM_UP_MS : 3000),
  });
  if (!part.shares) for (let i = 0; i < part.nodes; i += 1) world.previousVersionNodes.add(`spur-${i}`);
  let jobs = 0;
  const submit = (tasks: number, cpus: number, image: string): void => {
    const id = `wk-${String(jobs++).padStart(6, '0')}` as JobId;
    world.startUser(
      jobSpec({ id, tasks, cpus, memoryGb: 1, image, imageGb: 0.2, estimateS: image === 'long' ? 600 : 3 }),
      null,
    );
  };
  for (let left = part.machines; left > 0; left -= 100) submit(Math.min(100, left), 3, 'long');
  for (let at = WARM_UP_MS / 2; at < WARM_UP_MS + STEADY_MS + OBSERVATION_MS; at += 250)
    world.time.after(at, () => {
      submit(4, 1, 'short');
    });
  return world;
}

/** Checks every 20 ms how far the cluster has recovered from a fault. */
class RecoveryObserver {
  /** Seconds from the fault to each event; null until the event happens. */
  readonly times: RecoveryTimes = { ledS: null, startedS: null, most95S: null, allS: null };
  /** Number of moves of workers to another node, by the index of the new node. */
  readonly movedTo = new Map<number, number>();
  private readonly beganMs: number;
  private readonly startsBefore: number;

  constructor(
    private readonly world: World,
    private readonly before: BeforeFault,
    private readonly isLeaderKept: boolean,
  ) {
    this.beganMs = world.time.now;
    this.startsBefore = world.checker.starts;
  }

  readonly observe = (): void => {
    const atS = (this.world.time.now - this.beganMs) / 1000;
    const alive = [...this.world.workers.values()].filter((worker) => worker.alive);
    const fencingToken = this.observeLeader(atS);
    this.observeWorkers(atS, alive, fencingToken);
    this.observeMoves(atS, alive);
    this.world.time.after(OBSERVATION_INTERVAL_MS, this.observe);
  };

  /** Fencing token of the current leader; Infinity if there is none. */
  private observeLeader(atS: number): number {
    const { times, world } = this;
    const leader = world.nodes.find((node) => node.clock.alive && holdsValidLease(node));
    const fencingToken = leader?.controller.leadership.fencingToken ?? Infinity;
    const isNew = fencingToken > this.before.fencingToken || this.isLeaderKept;
    if (leader !== undefined && isNew) times.ledS ??= atS;
    // Starts are checked only after the election, because earlier ones were requested by the previous leader.
    if (times.ledS !== null && world.checker.starts > this.startsBefore) times.startedS ??= atS;
    return fencingToken;
  }

  private observeWorkers(atS: number, alive: readonly SimulatedWorker[], fencingToken: number): void {
    const { times, world } = this;
    const informed = alive.filter(
      (worker) =>
        worker.highestFencingToken >= fencingToken &&
        world.nodes[worker.heartbeatNodeIndex]?.clock.alive === true,
    ).length;
    if (informed >= alive.length * MOST_WORKERS_SHARE) times.most95S ??= atS;
    if (informed === alive.length) times.allS ??= atS;
  }

  private observeMoves(atS: number, alive: readonly SimulatedWorker[]): void {
    const { nodeOfWorker } = this.before;
    for (const { id, heartbeatNodeIndex: node } of alive) {
      if (nodeOfWorker.get(id) === node) continue;
      if (nodeOfWorker.has(id) && atS < MOVE_COUNT_PERIOD_S)
        this.movedTo.set(node, (this.movedTo.get(node) ?? 0) + 1);
      nodeOfWorker.set(id, node);
    }
  }
}

function holdsValidLease(node: World['nodes'][number]): boolean {
  return node.controller.leadership.holdsValidLease();
}

function crashedNodes(world: World, fault: Fault): readonly number[] {
  const leader = world.nodes.findIndex(holdsValidLease);
  const other = (leader + 1) % world.nodes.length;
  switch (fault) {
    case 'leader, back after 0.2 s':
    case 'leader, back after 8 s':
      return [leader];
    case 'another node':
      return [other];
    case 'the leader and another node':
      return [leader, other];
    case 'all nodes':
      return [...world.nodes.keys()];
  }
}

/** Runs the fleet under steady load and returns the frames and kilobytes per second between controllers. */
async function measureSteadyTraffic(world: World): Promise<Pick<SharesResult, 'frames' | 'kilobytes'>> {
  const { frames, bytes } = world.peerTraffic;
  await world.runUntil(WARM_UP_MS + STEADY_MS);
  const steadyS = STEADY_MS / 1000;
  return {
    frames: Math.round((world.peerTraffic.frames - frames) / steadyS),
    kilobytes: Math.round((world.peerTraffic.bytes - bytes) / steadyS / 1000),
  };
}

/** Simulates one fault on one fleet. */
export async function workerShardsPart(part: WorkerShardsPart): Promise<SharesResult> {
  const world = createWorld(part);
  await world.runUntil(WARM_UP_MS);
  const steady = await measureSteadyTraffic(world);
  const held = world.machinesPerNode();
  const before: BeforeFault = {
    fencingToken: Math.max(...world.nodes.map((node) => node.controller.leadership.fencingToken)),
    nodeOfWorker: new Map(
      [...world.workers.values()].map((worker) => [worker.id, worker.heartbeatNodeIndex]),
    ),
  };
  const backMs = part.trouble === 'leader, back after 8 s' ? SLOW_RESTART_MS : RESTART_MS;
  for (const node of crashedNodes(world, part.trouble)) world.crash(node, backMs);
  const observer = new RecoveryObserver(world, before, part.trouble === 'another node');
  observer.observe();
  await world.runUntil(world.time.now + OBSERVATION_MS);
  const moves = [...observer.movedTo.values()];
  return {
    ...part,
    held,
    ...observer.times,
    moved: moves.reduce((a, b) => a + b, 0),
    movedToOne: Math.max(0, ...moves),
    killedByLease: world.checker.killedByLease,
    brokenRules: world.checker.violations.length,
    ...steady,
  };
}

/** Measures crashes of controllers with and without worker shards. Processor time is not simulated (docs/results.md). */
export async function measureWorkerShards(printLine: (line: string) => void): Promise<unknown> {
  const parts: WorkerShardsPart[] = [];
  for (const machines of SIZES)
    for (const nodes of [3, 5])
      for (const trouble of FAULTS)
        for (const shares of nodes === 3 ? [true, false] : [true])
          parts.push({ machines, nodes, trouble, shares });
  const largest = { machines: LARGEST_SIZE, nodes: 5, shares: true };
  parts.unshift(
    { ...largest, trouble: 'leader, back after 0.2 s' },
    { ...largest, trouble: 'the leader and another node' },
  );
  return { simulated: true, results: await runPartsInParallel('shares', parts, printLine) };
}
