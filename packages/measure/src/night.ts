/**
 * One simulated night with or without deferral, with the same jobs and faults in both cases.
 *
 * @module
 */
import type { Logger } from '@spurbridge/controller';
import type { TariffOptions } from '@spurbridge/tariff';
import { DEFAULT_TARIFF_OPTIONS, deferralControllerFactory } from '@spurbridge/tariff';
import { SimTariffFeed, World, ZONES, machineType } from '@spurbridge/testkit';
import type { JobSpec } from '@spurbridge/wire';
import type { JobEnd } from './night-jobs.js';
import { DEFERRABLE_CLASS, NightJobs } from './night-jobs.js';
import { NIGHT_MS, WALL_START_MS, scheduleTariff } from './night-tariff.js';

const TYPES = [machineType('m16', 16), machineType('l32', 32)];
const TEAMS = [
  { name: 'red', cpus: 260, cpusMax: 400, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 120, cpusMax: 240, gpus: 0, gpusMax: 0 },
];
/** One out of this number of deferrable jobs runs twice as long as estimated. */
const OVERRUN_EVERY = 3;
const OVERRUN_FACTOR = 2;
const FAILOVER_AT_MS = 4_500_000;
const MACHINES_LOST_AT_MS = 6_500_000;
const MACHINES_LOST = 2;
/** Simulated time after the night for running tasks to finish. */
const AFTER_NIGHT_MS = 600_000;

/** Options of a simulated night. */
export interface NightOptions {
  readonly seed: number;
  /** Number of deferrable jobs. */
  readonly jobs: number;
  readonly deferral: boolean;
  readonly log?: Logger;
}

/** Result of a simulated night. */
export interface NightResult {
  readonly ends: readonly JobEnd[];
  /** Cost of all runs of deferrable jobs. */
  readonly deferrableCost: number;
  /** Cost of all runs. */
  readonly cost: number;
  /** Seconds from submission to start of each service replica and urgent task. */
  readonly urgentWaitsS: readonly number[];
  /** Number of rule violations. */
  readonly broken: number;
  readonly feedRequests: number;
}

function taskRunMs(job: JobSpec, task: number): number {
  const jobNumber = Number(job.id.slice(3));
  const overruns = job.class === DEFERRABLE_CLASS && jobNumber % OVERRUN_EVERY === 0;
  return job.estimateS * (overruns ? OVERRUN_FACTOR : 1) * (700 + ((task * 7919 + jobNumber * 31) % 600));
}

function createNight(night: NightOptions): { world: World; feed: SimTariffFeed } {
  const options: TariffOptions = { ...DEFAULT_TARIFF_OPTIONS, classes: [DEFERRABLE_CLASS] };
  let feed: SimTariffFeed | null = null;
  const feedOn = (network: World['network']): SimTariffFeed => (feed ??= new SimTariffFeed(network));
  const world = new World({
    seed: night.seed,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 4,
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 250, writeRps: 50, valueKb: 16, txnOps: 12 },
    wallClockStartMs: WALL_START_MS,
    userPollMs: 60_000,
    ...(night.log === undefined ? {} : { log: night.log }),
    taskRunMs,
    leaderComponents: (host, network) => {
      if (!night.deferral) return [];
      const source = feedOn(network).source(host);
      return [deferralControllerFactory({ ...options, feed: { source, seed: night.seed, silentS: 1800 } })];
    },
  });
  return { world, feed: feedOn(world.network) };
}

/** Schedules a failover while hundreds of jobs are deferred, and a loss of machines in the cheap window. */
function scheduleFaults(world: World): void {
  world.time.after(FAILOVER_AT_MS, () => {
    for (let i = 0; i < 3; i += 1)
      if (world.nodes[i]?.controller.leadership.holdsValidLease() === true) world.crash(i);
  });
  world.time.after(MACHINES_LOST_AT_MS, () => {
    const alive = [...world.workers.values()].filter((worker) => worker.alive);
    for (const worker of alive.slice(0, MACHINES_LOST)) worker.die();
  });
}

/** Simulates one night. */
export async function simulateNight(night: NightOptions): Promise<NightResult> {
  const { world, feed } = createNight(night);
  scheduleTariff(world, feed);
  scheduleFaults(world);
  const jobs = new NightJobs(world);
  jobs.submitAll(night.jobs);
  world.checker.onRunEnded = jobs.onRunEnded;
  await world.runUntil(NIGHT_MS + AFTER_NIGHT_MS);
  return {
    ends: jobs.ends(),
    deferrableCost: jobs.deferrableCost,
    cost: jobs.cost,
    urgentWaitsS: [...jobs.urgentWaitsS.values()],
    broken: world.checker.violations.length,
    feedRequests: feed.requests,
  };
}
