/**
 * Days with a fleet that has hardly any free resources, on which services have to preempt other work while machines
 * receive nothing and the leader ends. The placements that a leader has recorded, but not started, meet the next one.
 *
 * @module
 */
import type { JobSpec } from '@spurbridge/wire';
import type { CombinableFault } from './combined-faults.js';
import { COMBINABLE_FAULTS, injectCombinedFaults } from './combined-faults.js';
import { jobId, jobSpec, machineType } from './fixtures.js';
import { pick } from './random-choice.js';
import { FAULTS_END_MS } from './random-faults.js';
import { smallWorld } from './small-world.js';
import { STARVATION_DETECTION_MS } from './starvation.js';
import type { WorldOptions } from './world-options.js';
import type { World } from './world.js';

/** Length of a day, in milliseconds. */
export const CONTENDED_DAY_MS = FAULTS_END_MS + STARVATION_DETECTION_MS;

/** Each zone has one on-demand machine and one spot machine; services use only the former. */
const ZONES = ['a', 'b', 'c', 'd'];
const MACHINE_TYPES = [{ ...machineType('m16', 16), zones: ZONES }];
const CAPACITY = 1;
/** A lease as in production: a machine that receives nothing for a while, and then a new leader, keeps its tasks. */
const LEASE_S = 22;
const CANCEL_S = 42;
const TEAM = { name: 'red', cpus: 16, cpusMax: 90, gpus: 0, gpusMax: 0 };

const LOW_SERVICE_COUNT = 2;
const LONG_ARRAY_COUNT = 3;
const INITIAL_JOB_COUNT = LOW_SERVICE_COUNT + LONG_ARRAY_COUNT;
const INITIAL_JOBS_WITHIN_MS = 8000;
const CONTENTION_COUNT = 4;
const FIRST_CONTENTION_MS = 30_000;
const CONTENTION_INTERVAL_MS = 18_000;
const CONTENTION_SPREAD_MS = 8000;
/** The leader ends this long after the service is submitted: mostly its placement is recorded, and has not started. */
const MIN_FAILOVER_DELAY_MS = 200;
const FAILOVER_DELAY_SPREAD_MS = 1200;
const MIN_PARTITION_MS = 2000;
const PARTITION_SPREAD_MS = 9000;
/** One urgent service in this many has two replicas. */
const TWO_REPLICAS_ONE_IN = 4;
/** One urgent service in this many is cancelled before the faults end, which leaves room for those that wait. */
const CANCELLED_ONE_IN = 2;
const CANCELLATION_SPREAD_MS = 20_000;
const URGENT_PRIORITIES = ['production', 'high'] as const;
const LOW_PRIORITIES = ['normal', 'low'] as const;

/** Faults that keep starts and stops from their machines. */
const PARTITIONS: readonly string[] = [
  'inbound-partitioned machines',
  'unreachable machines',
  'hanging machines',
  'leader cut off from machines',
  'delayed commands',
];

/** A fleet of eight machines, whose tasks outlive partitions and failovers. */
export function contendedWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  return smallWorld(seed, {
    teams: [TEAM],
    types: MACHINE_TYPES,
    zones: ZONES,
    capacity: CAPACITY,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
    ...overrides,
  });
}

/**
 * Fills the fleet with services of low priority and long arrays, then repeatedly submits a service of high priority, partitions machines,
 * and ends the leader; adds two other faults. Returns the names of the faults.
 */
export function startContendedDay(world: World): string[] {
  for (let number = 0; number < INITIAL_JOB_COUNT; number += 1)
    startUserAt(world, world.random(INITIAL_JOBS_WITHIN_MS), initialJob(world, number));
  const names: string[] = [];
  for (let index = 0; index < CONTENTION_COUNT; index += 1) names.push(contend(world, index));
  return [...names, ...injectCombinedFaults(world, 2)];
}

/** Services that may be preempted, and arrays that may not, and that leave room once the faults are over. */
function initialJob(world: World, number: number): JobSpec {
  const isService = number < LOW_SERVICE_COUNT;
  return jobSpec({
    id: jobId(number),
    class: isService ? 'service' : 'array',
    kind: isService ? 'service' : 'array',
    priority: isService ? pick(world, LOW_PRIORITIES) : 'production',
    tasks: isService ? 1 : 1 + world.random(2),
    cpus: 8 + world.random(7),
    memoryGb: 1,
    spot: false,
    estimateS: isService ? 0 : 40 + world.random(40),
  });
}

/** Submits a service, and ends the leader while it cannot reach some machines. Returns the name of the fault. */
function contend(world: World, index: number): string {
  const atMs = FIRST_CONTENTION_MS + index * CONTENTION_INTERVAL_MS + world.random(CONTENTION_SPREAD_MS);
  const tasks = world.random(TWO_REPLICAS_ONE_IN) === 0 ? 2 : 1;
  const service = jobSpec({
    id: jobId(INITIAL_JOB_COUNT + index),
    class: 'urgent',
    kind: 'service',
    priority: pick(world, URGENT_PRIORITIES),
    tasks,
    cpus: 3 + world.random(8),
    memoryGb: 1,
    spot: false,
    spread: tasks > 1 && world.random(2) === 0,
    estimateS: 0,
  });
  startUserAt(world, atMs, service);
  const name = pick(world, PARTITIONS);
  const forMs = MIN_PARTITION_MS + world.random(PARTITION_SPREAD_MS);
  beginAt(world, atMs, COMBINABLE_FAULTS[name], forMs);
  const failoverAtMs = atMs + MIN_FAILOVER_DELAY_MS + world.random(FAILOVER_DELAY_SPREAD_MS);
  beginAt(world, failoverAtMs, COMBINABLE_FAULTS['leader ends'], 0);
  return name;
}

function startUserAt(world: World, atMs: number, spec: JobSpec): void {
  const isCancelled = spec.class === 'urgent' && world.random(CANCELLED_ONE_IN) === 0;
  const cancelAtMs = isCancelled
    ? Math.max(atMs, FAULTS_END_MS - world.random(CANCELLATION_SPREAD_MS))
    : null;
  world.time.after(atMs, () => {
    world.startUser(spec, cancelAtMs);
  });
}

function beginAt(world: World, atMs: number, fault: CombinableFault | undefined, forMs: number): void {
  world.time.after(atMs, () => fault?.(world, forMs));
}
