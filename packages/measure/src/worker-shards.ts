/**
 * Workers distributed over the controllers: recovery from crashes of controllers with and without worker shards.
 *
 * @module
 */
import type { JobId, MachineId } from '@spurbridge/wire';
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import { World, jobSpec, machineType } from '@spurbridge/testkit';
import { parallel } from './parallel.js';

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
  /** Whether controllers other than the leader receive heartbeats; without, all workers send them to the leader. */
  readonly shares: boolean;
}

interface SharesResult extends WorkerShardsPart {
  /** Machines that each node held before the fault. */
  readonly held: readonly number[];
  /** From the crash until a node holds a valid lease as leader, a task starts, 95 % and all workers know the leader. */
  readonly ledS: number | null;
  readonly startedS: number | null;
  readonly most95S: number | null;
  readonly allS: number | null;
  /** Workers that connected to another node in the 30 s after it, and the most of them at one node. */
  readonly moved: number;
  readonly movedToOne: number;
  readonly killedByLease: number;
  readonly brokenRules: number;
  /** Between controllers, each second, in steady work. */
  readonly frames: number;
  readonly kilobytes: number;
}

const UP_MS = 60_000;
const STEADY_MS = 20_000;
const AFTER_MS = 40_000;
const TYPE = { ...machineType('s4', 4), bootS: 4 };
const CPUS = 1_000_000;
const SIZES = [300, 800, 1245, 3200];
/** Played with five nodes only. */
const LARGEST = 10_000;
const OBSERVE_EVERY_MS = 20;
const RESTART_MS = 200;
const SLOW_RESTART_MS = 8000;
/** Share of the workers that counts as most of them. */
const MOST_WORKERS = 0.95;
const MOVES_WITHIN_S = 30;

type RecoveryTimes = Record<'ledS' | 'startedS' | 'most95S' | 'allS', number | null>;

interface BeforeFault {
  /** The highest fencing token of any node. */
  readonly fencingToken: number;
  /** Index of the node that each worker sends its heartbeats to; kept up to date while recovery is observed. */
  readonly nodeOfWorker: Map<MachineId, number>;
}

/** A fleet of this many machines, each with tasks that outlast the measurement and a stream of short ones. */
function fleet(part: WorkerShardsPart): World {
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
    taskRunMs: (job) => (job.image === 'long' ? 10 * UP_MS : 3000),
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
  for (let at = UP_MS / 2; at < UP_MS + STEADY_MS + AFTER_MS; at += 250)
    world.time.after(at, () => {
      submit(4, 1, 'short');
    });
  return world;
}

/** Looks every 20 ms at how far the cluster has recovered from a fault. */
class RecoveryObserver {
  /** Seconds from the fault, each null until it happens. */
  readonly found: RecoveryTimes = { ledS: null, startedS: null, most95S: null, allS: null };
  /** Workers that changed their node, by the index of the new node. */
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
    this.world.time.after(OBSERVE_EVERY_MS, this.observe);
  };

  /** Fencing token of the present leader; infinite without one. */
  private observeLeader(atS: number): number {
    const { found, world } = this;
    const leader = world.nodes.find((node) => node.clock.alive && holdsValidLease(node));
    const fencingToken = leader?.controller.leadership.fencingToken ?? Infinity;
    const isNew = fencingToken > this.before.fencingToken || this.isLeaderKept;
    if (leader !== undefined && isNew) found.ledS ??= atS;
    // Starts that were already on their way before the election do not count.
    if (found.ledS !== null && world.checker.starts > this.startsBefore) found.startedS ??= atS;
    return fencingToken;
  }

  private observeWorkers(atS: number, alive: readonly SimulatedWorker[], fencingToken: number): void {
    const { found, world } = this;
    const informed = alive.filter(
      (worker) =>
        worker.highestFencingToken >= fencingToken &&
        world.nodes[worker.heartbeatNodeIndex]?.clock.alive === true,
    ).length;
    if (informed >= alive.length * MOST_WORKERS) found.most95S ??= atS;
    if (informed === alive.length) found.allS ??= atS;
  }

  private observeMoves(atS: number, alive: readonly SimulatedWorker[]): void {
    const { nodeOfWorker } = this.before;
    for (const { id, heartbeatNodeIndex: node } of alive) {
      if (nodeOfWorker.get(id) === node) continue;
      if (nodeOfWorker.has(id) && atS < MOVES_WITHIN_S)
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

/** Runs the fleet in steady work; frames and kilobytes a second between controllers. */
async function measureSteadyTraffic(world: World): Promise<Pick<SharesResult, 'frames' | 'kilobytes'>> {
  const { frames, bytes } = world.peerTraffic;
  await world.runUntil(UP_MS + STEADY_MS);
  const steadyS = STEADY_MS / 1000;
  return {
    frames: Math.round((world.peerTraffic.frames - frames) / steadyS),
    kilobytes: Math.round((world.peerTraffic.bytes - bytes) / steadyS / 1000),
  };
}

/** Plays one fault on one fleet. */
export async function workerShardsPart(part: WorkerShardsPart): Promise<SharesResult> {
  const world = fleet(part);
  await world.runUntil(UP_MS);
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
  await world.runUntil(world.time.now + AFTER_MS);
  const moves = [...observer.movedTo.values()];
  return {
    ...part,
    held,
    ...observer.found,
    moved: moves.reduce((a, b) => a + b, 0),
    movedToOne: Math.max(0, ...moves),
    killedByLease: world.checker.killedByLease,
    brokenRules: world.checker.violations.length,
    ...steady,
  };
}

/** Crashes of controllers with and without worker shards. Processor time is not simulated: docs/results.md has it from the bench. */
export async function measureWorkerShards(printLine: (line: string) => void): Promise<unknown> {
  const parts: WorkerShardsPart[] = [];
  for (const machines of SIZES)
    for (const nodes of [3, 5])
      for (const trouble of FAULTS)
        for (const shares of nodes === 3 ? [true, false] : [true])
          parts.push({ machines, nodes, trouble, shares });
  const largest = { machines: LARGEST, nodes: 5, shares: true };
  parts.unshift(
    { ...largest, trouble: 'leader, back after 0.2 s' },
    { ...largest, trouble: 'the leader and another node' },
  );
  return { simulated: true, results: await parallel('shares', parts, printLine) };
}
