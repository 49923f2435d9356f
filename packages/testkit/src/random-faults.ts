/**
 * Single faults generated from a seed: ended processes, partitions, outages, lost and hanging machines.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';
import { CLOUD_HOST, STORE_HOST } from './hosts.js';
import type { PartitionMode } from './network.js';
import { nodeName } from './sim-node.js';
import type { World } from './world.js';

/** Length of a generated run, in milliseconds. */
export const DAY_LENGTH_MS = 200_000;
/** The time by which all faults of a generated run are over, in milliseconds. */
export const FAULTS_END_MS = 110_000;

const NODE_COUNT = 3;
const FIRST_FAULT_MS = 5000;
const FAULT_SPREAD_MS = 80_000;
const MIN_FAULT_MS = 2000;
const FAULT_LENGTH_SPREAD_MS = 25_000;

/** Possible times until an ended process is restarted, in milliseconds. */
const RESTARTS_MS = [50, 100, 200, 500, 2000, 8000, 10_000] as const;
const DEFAULT_RESTART_MS = 8000;
/** The number of `RESTARTS_MS` that count as quick. */
const QUICK_RESTARTS = 3;
/** Number of crashes of a repeatedly crashing node; crash n follows the first by n times a random part of the spread. */
const REPEATED_CRASHES = 6;
const REPEATED_CRASH_SPREAD_MS = 3000;

/** The parameters of a generated fault. */
interface FaultDraw {
  readonly world: World;
  /** Index of the affected node. */
  readonly node: number;
  readonly mode: PartitionMode;
  readonly atMs: number;
  readonly untilMs: number;
  readonly allMayCrash: boolean;
}

type Fault = (draw: FaultDraw) => void;

/** One fault of each kind; the seed selects them by position, so the order must not change. */
const FAULTS: readonly Fault[] = [
  crashNode,
  crashNodes,
  storeOutage,
  storeRefusesNode,
  (draw) => {
    partitionNode(draw, () => [STORE_HOST]);
  },
  (draw) => {
    partitionNode(draw, () => [...draw.world.workers.keys()]);
  },
  isolateNode,
  loseMachine,
  hangMachine,
  partitionMachine,
  crashRepeatedly,
];

/** Time until an ended process is restarted, in milliseconds. */
export function randomRestartMs(world: World): number {
  return RESTARTS_MS[world.random(RESTARTS_MS.length)] ?? DEFAULT_RESTART_MS;
}

/** Generates one fault, which ends by `FAULTS_END_MS`. Without `allMayCrash`, it crashes at most one node. */
export function injectRandomFault(world: World, allMayCrash = true): void {
  const atMs = FIRST_FAULT_MS + world.random(FAULT_SPREAD_MS);
  const untilMs = Math.min(FAULTS_END_MS, atMs + MIN_FAULT_MS + world.random(FAULT_LENGTH_SPREAD_MS));
  const node = world.random(NODE_COUNT);
  const mode = world.random(2) === 0 ? 'hold' : 'drop';
  const fault = FAULTS[world.random(FAULTS.length)];
  fault?.({ world, node, mode, atMs, untilMs, allMayCrash });
}

/** Calls `begin` at the fault's time; the function that it returns ends the fault. */
function schedule({ world, atMs, untilMs }: FaultDraw, begin: () => (() => void) | null): void {
  world.time.after(atMs, () => {
    const end = begin();
    if (end !== null) world.time.after(untilMs - atMs, end);
  });
}

function crashNode({ world, node, atMs }: FaultDraw): void {
  world.time.after(atMs, () => {
    world.crash(node, randomRestartMs(world));
  });
}

function crashNodes({ world, atMs, allMayCrash }: FaultDraw): void {
  world.time.after(atMs, () => {
    for (let i = 0; i < (allMayCrash ? NODE_COUNT : 1); i += 1) world.crash(i, randomRestartMs(world));
  });
}

function crashRepeatedly({ world, node, atMs }: FaultDraw): void {
  for (let n = 0; n < REPEATED_CRASHES; n += 1)
    world.time.after(atMs + n * world.random(REPEATED_CRASH_SPREAD_MS), () => {
      world.crash(node, RESTARTS_MS[world.random(QUICK_RESTARTS)]);
    });
}

function storeOutage(draw: FaultDraw): void {
  const { store } = draw.world;
  schedule(draw, () => {
    store.setOutage(true);
    return () => {
      store.setOutage(false);
    };
  });
}

function storeRefusesNode(draw: FaultDraw): void {
  schedule(draw, () => {
    const refused = draw.world.nodes[draw.node];
    if (refused === undefined) return null;
    refused.store.isRefused = true;
    return () => {
      refused.store.isRefused = false;
    };
  });
}

function partitionNode(draw: FaultDraw, hosts: () => string[]): void {
  const { network } = draw.world;
  const name = nodeName(draw.node);
  schedule(draw, () => {
    const unreachable = hosts();
    for (const host of unreachable) network.partition(name, host, draw.mode);
    return () => {
      for (const host of unreachable) network.heal(name, host);
    };
  });
}

function isolateNode(draw: FaultDraw): void {
  const others = Array.from({ length: NODE_COUNT }, (_, i) => nodeName(i)).filter((_, i) => i !== draw.node);
  partitionNode(draw, () => [STORE_HOST, CLOUD_HOST, ...others, ...draw.world.workers.keys()]);
}

function loseMachine({ world, atMs }: FaultDraw): void {
  world.time.after(atMs, () => {
    const id = randomMachine(world);
    if (id !== null) world.workers.get(id)?.die();
  });
}

function hangMachine(draw: FaultDraw): void {
  const { world } = draw;
  schedule(draw, () => {
    const id = randomMachine(world);
    if (id === null) return null;
    world.workers.get(id)?.hang();
    return () => world.workers.get(id)?.resume();
  });
}

function partitionMachine(draw: FaultDraw): void {
  const { world } = draw;
  schedule(draw, () => {
    const id = randomMachine(world);
    if (id === null) return null;
    for (const node of world.nodes) world.network.partition(node.name, id, draw.mode);
    return () => {
      for (const node of world.nodes) world.network.heal(node.name, id);
    };
  });
}

/** A machine that is up; null if there is none. */
function randomMachine(world: World): MachineId | null {
  const up = [...world.workers.values()].filter((worker) => worker.alive);
  return up[world.random(up.length)]?.id ?? null;
}
