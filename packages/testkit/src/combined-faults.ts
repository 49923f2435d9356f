/**
 * Combined faults: two or more faults that begin within a few seconds of each other, generated from a seed.
 * Two faults together can cause violations of rules that hold under each fault alone.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';
import type { CountedFault } from './fault-injector.js';
import { jobId, jobSpec } from './fixtures.js';
import { STORE_HOST } from './hosts.js';
import { leaderIndex } from './leadership.js';
import { FAULTS_END_MS, randomRestartMs } from './random-faults.js';
import { nodeName } from './sim-node.js';
import type { World } from './world.js';

const SINGLE_TASK_JOB_INTERVAL_MS = 250;
const MAX_SINGLE_TASK_JOBS_MS = 30_000;
const FIRST_SINGLE_TASK_JOB = 500_000;
/** Each series of single-task jobs has its own block of job ids, selected by the number of earlier jobs. */
const SINGLE_TASK_JOB_ID_BLOCK = 1000;
const MALFORMED_REQUEST_INTERVAL_MS = 400;
const MAX_FAILOVERS_MS = 8000;
const MIN_FAILOVER_GAP_MS = 400;
const FAILOVER_GAP_SPREAD_MS = 1200;
const QUICK_RESTARTS_MS = [50, 200, 900] as const;
const FIRST_RESTART_MS = 200;
const MIN_LATER_RESTART_MS = 2000;
const LATER_RESTART_SPREAD_MS = 6000;
const MIN_CANCELLED_JOBS = 2;
const CANCELLED_JOBS_SPREAD = 6;

const FAULT_SHARES = [0.1, 0.3, 0.7] as const;
const DEFAULT_FAULT_SHARE = 0.3;
const STORE_LATENCIES_MS = [200, 500, 1000] as const;
const DEFAULT_STORE_LATENCY_MS = 500;
const LINK_LATENCIES_MS = [100, 300, 700] as const;
const DEFAULT_LINK_LATENCY_MS = 300;

const FIRST_FAULT_MS = 20_000;
const FIRST_FAULT_SPREAD_MS = 35_000;
const FAULT_START_SPREAD_MS = 10_000;
const MIN_FAULT_MS = 2000;
const FAULT_LENGTH_SPREAD_MS = 40_000;

/** Begins a fault at once; the fault ends after `forMs` milliseconds. */
export type CombinableFault = (world: World, forMs: number) => void;

/** The faults that are combined, by name; the seed selects them by position, so the order must not change. */
export const COMBINABLE_FAULTS: Readonly<Record<string, CombinableFault>> = {
  'delayed writes': shareOfMessages('delayedWrites'),
  'duplicate heartbeats': shareOfMessages('duplicateHeartbeats'),
  'delayed commands': shareOfMessages('delayedCommands'),
  'lost responses': shareOfMessages('lostResponses'),
  'heartbeats replayed for the next leader': shareOfMessages('replayedHeartbeats'),
  'cancelled at completion': shareOfMessages('cancellationsAtCompletion'),
  'poll bursts': shareOfMessages('pollBursts'),
  'slow store': slowStore,
  'slow links': slowLinks,
  'machines up at once': replaceMachines,
  'outbound-partitioned machines': partitionMachinesOneWay('outboundPartitioned'),
  'cancelled at once, some machines hang': cancelAndHang,
  'malformed requests': (world, forMs) => {
    runRepeatedly(world, MALFORMED_REQUEST_INTERVAL_MS, forMs, () => {
      world.users.sendMalformedRequest();
    });
  },
  'single-task jobs': (world, forMs) => {
    startSingleTaskJobs(world, Math.min(forMs, MAX_SINGLE_TASK_JOBS_MS));
  },
  'inbound-partitioned machines': partitionMachinesOneWay('inboundPartitioned'),
  'unreachable machines': partitionMachines,
  'hanging machines': hangMachines,
  'leader refused by the store': refuseLeader,
  'store outage': storeOutage,
  'leader cut off from store and peers': (world, forMs) => {
    const node = leaderOrRandomNode(world);
    partitionNode(world, node, [STORE_HOST, ...otherNodes(world, node)], forMs);
  },
  'leader cut off from machines': (world, forMs) => {
    partitionNode(world, leaderOrRandomNode(world), [...world.workers.keys()], forMs);
  },
  'leader frozen': (world, forMs) => {
    world.freeze(leaderOrRandomNode(world), forMs);
  },
  'leader ends': (world) => {
    world.crash(leaderOrRandomNode(world), randomRestartMs(world));
  },
  'all nodes end, one returns first': crashAllNodes,
  'repeated failovers': failOverRepeatedly,
};

/**
 * Generates two faults, or up to `max`, that begin within a few seconds of each other and end by
 * `FAULTS_END_MS`. Returns their names.
 */
export function injectCombinedFaults(world: World, max = 3): string[] {
  const names = Object.keys(COMBINABLE_FAULTS);
  const drawn: string[] = [];
  const firstMs = FIRST_FAULT_MS + world.random(FIRST_FAULT_SPREAD_MS);
  for (let remaining = 2 + world.random(max - 1); remaining > 0; remaining -= 1) {
    const name = names.splice(world.random(names.length), 1)[0] ?? '';
    drawn.push(name);
    const atMs = firstMs + world.random(FAULT_START_SPREAD_MS);
    const forMs = Math.min(FAULTS_END_MS - atMs, MIN_FAULT_MS + world.random(FAULT_LENGTH_SPREAD_MS));
    world.time.after(atMs, () => COMBINABLE_FAULTS[name]?.(world, forMs));
  }
  return drawn;
}

/** Jobs of one task, four a second, a quarter of which are cancelled soon afterwards. */
export function startSingleTaskJobs(world: World, forMs: number): void {
  const block = world.checker.submitted.size;
  let count = 0;
  runRepeatedly(world, SINGLE_TASK_JOB_INTERVAL_MS, forMs, () => {
    const id = jobId(FIRST_SINGLE_TASK_JOB + block * SINGLE_TASK_JOB_ID_BLOCK + (count += 1));
    const spec = jobSpec({ id, class: 'one-task', tasks: 1, cpus: 1, estimateS: 1 + world.random(4) });
    world.startUser(spec, world.random(4) === 0 ? world.time.now + world.random(4000) : null);
  });
}

function shareOfMessages(kind: CountedFault): CombinableFault {
  return (world, forMs) => {
    world.faults[kind] = FAULT_SHARES[world.random(FAULT_SHARES.length)] ?? DEFAULT_FAULT_SHARE;
    world.time.after(forMs, () => {
      world.faults[kind] = 0;
    });
  };
}

function slowStore(world: World, forMs: number): void {
  const latency = STORE_LATENCIES_MS[world.random(STORE_LATENCIES_MS.length)];
  world.faults.storeLatencyMs = latency ?? DEFAULT_STORE_LATENCY_MS;
  world.time.after(forMs, () => {
    world.faults.storeLatencyMs = 0;
  });
}

function slowLinks(world: World, forMs: number): void {
  const latency = LINK_LATENCIES_MS[world.random(LINK_LATENCIES_MS.length)];
  world.network.extraLatencyMs = latency ?? DEFAULT_LINK_LATENCY_MS;
  world.time.after(forMs, () => {
    world.network.extraLatencyMs = 0;
  });
}

/** Reclaims random machines, and lets new machines boot within two seconds. */
function replaceMachines(world: World, forMs: number): void {
  world.faults.fastBoots = true;
  for (const id of randomMachines(world)) world.reclaimMachine(id);
  world.time.after(forMs, () => {
    world.faults.fastBoots = false;
  });
}

function partitionMachinesOneWay(kind: 'inboundPartitioned' | 'outboundPartitioned'): CombinableFault {
  return (world, forMs) => {
    const machines = randomMachines(world);
    for (const id of machines) world.faults[kind].add(id);
    world.time.after(forMs, () => {
      for (const id of machines) world.faults[kind].delete(id);
    });
  };
}

function partitionMachines(world: World, forMs: number): void {
  const machines = randomMachines(world);
  const mode = world.random(2) === 0 ? 'hold' : 'drop';
  for (const id of machines) for (const node of world.nodes) world.network.partition(node.name, id, mode);
  world.time.after(forMs, () => {
    for (const id of machines) for (const node of world.nodes) world.network.heal(node.name, id);
  });
}

/** Cancels running jobs, and lets some of their machines hang. */
function cancelAndHang(world: World, forMs: number): void {
  const count = MIN_CANCELLED_JOBS + world.random(CANCELLED_JOBS_SPREAD);
  const cancelled = new Set(world.users.cancelRunningJobs(count).map((spec) => spec.id));
  const hanging = [...world.workers.values()].filter(
    (worker) =>
      worker.alive &&
      worker.occupyingTasks().some((task) => cancelled.has(task.job.id)) &&
      world.random(2) === 0,
  );
  for (const worker of hanging) worker.hang();
  world.time.after(forMs, () => {
    for (const worker of hanging) worker.resume();
  });
}

function hangMachines(world: World, forMs: number): void {
  const machines = randomMachines(world);
  for (const id of machines) world.workers.get(id)?.hang();
  world.time.after(forMs, () => {
    for (const id of machines) world.workers.get(id)?.resume();
  });
}

function refuseLeader(world: World, forMs: number): void {
  const node = world.nodes[leaderOrRandomNode(world)];
  if (node === undefined) return;
  node.store.isRefused = true;
  world.time.after(forMs, () => {
    node.store.isRefused = false;
  });
}

function storeOutage(world: World, forMs: number): void {
  world.store.setOutage(true);
  world.time.after(forMs, () => {
    world.store.setOutage(false);
  });
}

function partitionNode(world: World, node: number, hosts: readonly string[], forMs: number): void {
  const name = nodeName(node);
  const mode = world.random(2) === 0 ? 'hold' : 'drop';
  for (const host of hosts) world.network.partition(name, host, mode);
  world.time.after(forMs, () => {
    for (const host of hosts) world.network.heal(name, host);
  });
}

function crashAllNodes(world: World): void {
  for (let i = 0; i < world.nodes.length; i += 1)
    world.crash(i, i === 0 ? FIRST_RESTART_MS : MIN_LATER_RESTART_MS + world.random(LATER_RESTART_SPREAD_MS));
}

function failOverRepeatedly(world: World, forMs: number): void {
  const untilMs = Math.min(forMs, MAX_FAILOVERS_MS);
  for (let ms = 0; ms < untilMs; ms += MIN_FAILOVER_GAP_MS + world.random(FAILOVER_GAP_SPREAD_MS))
    world.time.after(ms, () => {
      world.crash(leaderOrRandomNode(world), QUICK_RESTARTS_MS[world.random(QUICK_RESTARTS_MS.length)]);
    });
}

/** Selects each machine that is up with probability one half. */
function randomMachines(world: World): MachineId[] {
  const up = [...world.workers.values()].filter((worker) => worker.alive).map((worker) => worker.id);
  return up.filter(() => world.random(2) === 0);
}

/** The leader, or a random node if there is none. */
function leaderOrRandomNode(world: World): number {
  const leader = leaderIndex(world);
  return leader < 0 ? world.random(world.nodes.length) : leader;
}

function otherNodes(world: World, node: number): string[] {
  return world.nodes.filter((_, index) => index !== node).map(({ name }) => name);
}

/** Calls back immediately and then at this interval, for `forMs` milliseconds. */
function runRepeatedly(world: World, intervalMs: number, forMs: number, run: () => void): void {
  for (let ms = 0; ms < forMs; ms += intervalMs) world.time.after(ms, run);
}
