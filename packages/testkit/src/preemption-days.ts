/**
 * Days on which urgent services preempt the tasks of an array that save checkpoints, again and again, while responses are late.
 * Machines hold exited attempts at a task beside a later one, and report them in any order.
 *
 * @module
 */
import type { JobSpec } from '@spurbridge/wire';
import { injectCombinedFaults } from './combined-faults.js';
import { jobId, jobSpec, machineType } from './fixtures.js';
import { FAULTS_END_MS } from './random-faults.js';
import { smallWorld } from './small-world.js';
import type { WorldOptions } from './world-options.js';
import type { World } from './world.js';

/** Each zone has one on-demand machine, which the jobs use, and one spot machine. */
const ZONES = ['a', 'b'];
const MACHINE_TYPES = [{ ...machineType('m32', 32), zones: ZONES }];
const LEASE_S = 22;
const CANCEL_S = 42;
const TEAM = { name: 'red', cpus: 16, cpusMax: 200, gpus: 0, gpusMax: 0 };

/** Enough to keep the fleet busy until the faults end. */
const MIN_ARRAY_TASKS = 180;
const ARRAY_TASKS_SPREAD = 76;
const ESTIMATE_S = 5;
/** Most tasks are short, so that the array's record is seldom durable; one in four is long enough to be preempted. */
const SHORT_TASK_MS = 3000;
const LONG_TASK_MS = 20_000;
const LONG_ONE_IN = 4;
/** Longer than most estimates, so that only a stopped task saves. */
const CHECKPOINT_S = 30;
const MAX_SAVE_S = 3;

const SERVICE_ZONE = 'a';
const FIRST_SERVICE_MS = 22_000;
const SERVICE_INTERVAL_MS = 3000;
const SERVICE_INTERVAL_SPREAD_MS = 1500;
const MIN_SERVICE_MS = 2500;
const SERVICE_SPREAD_MS = 3000;

/** Less than the time for which a worker waits for a response. */
const MAX_RESPONSE_DELAY_MS = 2500;

/** A fleet of four machines in two zones. */
export function preemptionWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  return smallWorld(seed, {
    teams: [TEAM],
    types: MACHINE_TYPES,
    zones: ZONES,
    capacity: 1,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
    taskRunMs: (_, task) => (task % LONG_ONE_IN === 0 ? LONG_TASK_MS : SHORT_TASK_MS),
    ...overrides,
  });
}

/**
 * Starts an array that fills the fleet, and one urgent service after another in one zone, each of which is cancelled
 * soon; the responses to the heartbeats from that zone are late. Adds other faults and returns their names.
 */
export function startPreemptionDay(world: World): string[] {
  world.startUser(checkpointedArray(world), null);
  let submitAtMs = FIRST_SERVICE_MS;
  for (let number = 1; submitAtMs < FAULTS_END_MS; number += 1) {
    startUserAt(world, submitAtMs, urgentService(world, number));
    submitAtMs += SERVICE_INTERVAL_MS + world.random(SERVICE_INTERVAL_SPREAD_MS);
  }
  world.time.after(FIRST_SERVICE_MS, () => {
    delayResponses(world);
  });
  return injectCombinedFaults(world, 2);
}

function checkpointedArray(world: World): JobSpec {
  return jobSpec({
    id: jobId(0),
    class: 'array',
    tasks: MIN_ARRAY_TASKS + world.random(ARRAY_TASKS_SPREAD),
    cpus: 4,
    memoryGb: 1,
    spot: false,
    estimateS: ESTIMATE_S,
    checkpointS: CHECKPOINT_S,
    saveS: 1 + world.random(MAX_SAVE_S),
  });
}

function urgentService(world: World, number: number): JobSpec {
  return jobSpec({
    id: jobId(number),
    class: 'urgent',
    kind: 'service',
    priority: 'production',
    tasks: 1,
    cpus: 8 + world.random(9),
    memoryGb: 1,
    spot: false,
    zone: SERVICE_ZONE,
    estimateS: 0,
  });
}

function startUserAt(world: World, atMs: number, spec: JobSpec): void {
  const cancelAtMs = atMs + MIN_SERVICE_MS + world.random(SERVICE_SPREAD_MS);
  world.time.after(atMs, () => {
    world.startUser(spec, cancelAtMs);
  });
}

/** Until the faults end, responses to the heartbeats of machines in the services' zone arrive late. */
function delayResponses(world: World): void {
  const { faults, time, workers } = world;
  for (const { id, zone } of workers.values())
    if (zone === SERVICE_ZONE) faults.responseDelaysMs.set(id, world.random(MAX_RESPONSE_DELAY_MS));
  time.after(FAULTS_END_MS - time.now, () => {
    faults.responseDelaysMs.clear();
  });
}
