/**
 * Days on which machines fail every task for a few seconds, while each job is bound to the zone of one machine. The
 * machine on which a job has failed is the only one that fits it.
 *
 * @module
 */
import { injectCombinedFaults } from './combined-faults.js';
import { jobId, jobSpec, machineType } from './fixtures.js';
import { FAULTS_END_MS } from './random-faults.js';
import { smallWorld } from './small-world.js';
import type { WorldOptions } from './world-options.js';
import type { World } from './world.js';

const ZONES = ['a', 'b', 'c', 'd'];
const MACHINE_TYPES = [{ ...machineType('m16', 16), zones: ZONES }];
const TEAM = { name: 'red', cpus: 16, cpusMax: 90, gpus: 0, gpusMax: 0 };

const JOB_COUNT = 8;
const FIRST_JOB_MS = 30_000;
const MAX_ESTIMATE_S = 12;
const FAULTY_PERIODS = 8;
const FIRST_FAULTY_MS = 28_000;
const FAULTY_SPREAD_MS = 60_000;
const MIN_FAULTY_MS = 2000;
const FAULTY_LENGTH_SPREAD_MS = 12_000;

/** A fleet of one on-demand machine in each zone. */
export function faultyMachineWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  return smallWorld(seed, {
    teams: [TEAM],
    types: MACHINE_TYPES,
    zones: ZONES,
    capacity: 1,
    ...overrides,
  });
}

/** Starts the jobs and lets machines fail; half of the days have two other faults, whose names are returned. */
export function startFaultyMachineDay(world: World): string[] {
  for (let number = 0; number < JOB_COUNT; number += 1) startJob(world, number);
  for (let count = 0; count < FAULTY_PERIODS; count += 1) scheduleFaultyPeriod(world);
  return world.random(2) === 0 ? injectCombinedFaults(world, 2) : [];
}

function startJob(world: World, number: number): void {
  const isGang = world.random(4) === 0;
  const spec = jobSpec({
    id: jobId(number),
    class: isGang ? 'gang' : 'array',
    kind: isGang ? 'gang' : 'array',
    tasks: 1 + world.random(3),
    cpus: 4,
    memoryGb: 1,
    spot: false,
    zone: ZONES[world.random(ZONES.length)] ?? null,
    estimateS: 1 + world.random(MAX_ESTIMATE_S),
  });
  world.time.after(FIRST_JOB_MS + world.random(FAULTY_SPREAD_MS), () => {
    world.startUser(spec, null);
  });
}

function scheduleFaultyPeriod(world: World): void {
  const atMs = FIRST_FAULTY_MS + world.random(FAULTY_SPREAD_MS);
  const untilMs = Math.min(FAULTS_END_MS, atMs + MIN_FAULTY_MS + world.random(FAULTY_LENGTH_SPREAD_MS));
  const zone = ZONES[world.random(ZONES.length)];
  world.time.after(atMs, () => {
    const machine = [...world.workers.values()].find((worker) => worker.alive && worker.zone === zone);
    if (machine === undefined) return;
    machine.failsAllTasks = true;
    world.time.after(untilMs - atMs, () => {
      machine.failsAllTasks = false;
    });
  });
}
