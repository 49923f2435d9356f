/**
 * Days on which some users send amounts at the ends of what the protocol allows: tiny ones, huge ones, and ones in a
 * wrong unit. Jobs are restricted to some machine types, zones or purchase options, and ordinary jobs run beside them.
 *
 * @module
 */
import type { JobKind, JobSpec } from '@spurbridge/wire';
import { injectCombinedFaults } from './combined-faults.js';
import { ZONES, jobId, jobSpec, machineType } from './fixtures.js';
import { pick } from './random-choice.js';
import { FAULTS_END_MS } from './random-faults.js';
import { smallWorld } from './small-world.js';
import type { WorldOptions } from './world-options.js';
import type { World } from './world.js';

/** The smallest positive double, and nearly the largest one. */
const TINY = 5e-324;
const HUGE = 1.7e308;

/** Run times of a minute to an hour in nanoseconds, microseconds and milliseconds, and the ends of the range. */
const ESTIMATES_S = [0, TINY, 1e-9, 3.6e6, 6e7, 3.6e9, 6e10, 1e12, 3.6e12, 1e15, 1e18, 1e200, HUGE] as const;
const IMAGE_SIZES_GB = [0, TINY, 1e-9, 1] as const;
/** Sizes in kilobytes or bytes, and the end of the range: no machine ever has such an image. */
const ENDLESS_IMAGE_SIZES_GB = [1e6, 1e9, 1e15, HUGE] as const;
const DEADLINES_S = [null, 0, TINY, 1e-9, 6e5, 6e11, 1e200, HUGE] as const;
const CHECKPOINT_INTERVALS_S = [0, TINY, 2, 2e9, HUGE] as const;
const SAVE_TIMES_S = [0, TINY, 1] as const;
/** Tasks that need such a time to save never end once they are preempted. */
const ENDLESS_SAVE_TIMES_S = [1e9, 1e200, HUGE] as const;
const SMALL_CPUS = [0, TINY, 1e-9, 0.5] as const;
const SMALL_MEMORY_GB = [0, TINY, 1e-9, 0.1] as const;

const MACHINE_TYPES = [machineType('s4', 4), machineType('m16', 16), machineType('l8', 8)];
const TYPE_RESTRICTIONS = [null, ['s4'], ['m16'], ['l8'], ['m16', 'l8']] as const;
const CAPACITY = 2;
const TEAMS = [
  { name: 'red', cpus: 60, cpusMax: 160, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 30, cpusMax: 80, gpus: 0, gpusMax: 0 },
];

const FILLING_JOB_COUNT = 4;
const ORDINARY_JOB_COUNT = 10;
const EXTREME_JOB_COUNT = 8;
const FIRST_JOB_MS = 25_000;
const JOB_SPREAD_MS = 70_000;
const CANCELLATION_SPREAD_MS = 20_000;
const MIN_RUN_MS = 1000;
const RUN_SPREAD_MS = 10_000;
const KINDS = ['array', 'array', 'array', 'gang', 'service'] as const;
const PRIORITIES = ['production', 'high', 'normal', 'low'] as const;

/** A fleet of three machine types in three zones, whose tasks run for seconds whatever their owners estimate. */
export function extremeAmountWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  return smallWorld(seed, {
    teams: TEAMS,
    types: MACHINE_TYPES,
    capacity: CAPACITY,
    taskRunMs: (job, task) =>
      MIN_RUN_MS + ((Number(job.id.slice(3)) * 7919 + task * 104_729) % RUN_SPREAD_MS),
    ...overrides,
  });
}

/** Starts the jobs; half of the days have two faults, whose names are returned. */
export function startExtremeAmountDay(world: World): string[] {
  for (let number = 0; number < FILLING_JOB_COUNT; number += 1) world.startUser(fillingJob(number), null);
  for (let number = 0; number < ORDINARY_JOB_COUNT; number += 1)
    startUser(world, ordinaryJob(world, FILLING_JOB_COUNT + number));
  for (let number = 0; number < EXTREME_JOB_COUNT; number += 1)
    startUser(world, extremeJob(world, FILLING_JOB_COUNT + ORDINARY_JOB_COUNT + number));
  return world.random(2) === 0 ? injectCombinedFaults(world, 2) : [];
}

/** An array for which machines of every type are rented before the other jobs arrive. */
function fillingJob(number: number): JobSpec {
  const types = TYPE_RESTRICTIONS[number] ?? null;
  return jobSpec({
    id: jobId(number),
    class: 'filling',
    tasks: 12,
    cpus: 4,
    memoryGb: 1,
    types,
    estimateS: 12,
  });
}

function ordinaryJob(world: World, number: number): JobSpec {
  const kind = pick(world, KINDS);
  return jobSpec({
    id: jobId(number),
    class: `ordinary ${kind}`,
    kind,
    team: world.random(3) === 0 ? 'blue' : 'red',
    priority: pick(world, PRIORITIES),
    tasks: 1 + world.random(kind === 'array' ? 8 : 3),
    cpus: 1 + world.random(4),
    memoryGb: 1,
    image: `img-${world.random(3)}`,
    types: pick(world, TYPE_RESTRICTIONS),
    zone: world.random(3) === 0 ? pick(world, ZONES) : null,
    spread: kind === 'service',
    spot: kind !== 'service' && world.random(2) === 0,
    estimateS: kind === 'service' ? 0 : 1 + world.random(10),
  });
}

/** An ordinary job in which about half of the amounts are replaced. */
function extremeJob(world: World, number: number): JobSpec {
  const ordinary = ordinaryJob(world, number);
  const draw = <Amount>(usual: Amount, extremes: readonly Amount[]): Amount =>
    world.random(2) === 0 ? usual : pick(world, extremes);
  return {
    ...ordinary,
    class: `extreme ${ordinary.kind}`,
    image: `img-${number}`,
    cpus: world.random(4) === 0 ? pick(world, SMALL_CPUS) : ordinary.cpus,
    memoryGb: draw(ordinary.memoryGb, SMALL_MEMORY_GB),
    imageGb: world.random(5) === 0 ? pick(world, ENDLESS_IMAGE_SIZES_GB) : draw(1, IMAGE_SIZES_GB),
    estimateS: isRunToCompletion(ordinary.kind) ? pick(world, ESTIMATES_S) : draw(0, ESTIMATES_S),
    checkpointS: draw(0, CHECKPOINT_INTERVALS_S),
    saveS: world.random(5) === 0 ? pick(world, ENDLESS_SAVE_TIMES_S) : draw(0, SAVE_TIMES_S),
    deadlineS: draw<number | null>(null, DEADLINES_S),
  };
}

function isRunToCompletion(kind: JobKind): boolean {
  return kind !== 'service';
}

/** Services, and jobs that cannot end, are cancelled before the faults end. */
function startUser(world: World, spec: JobSpec): void {
  const atMs = FIRST_JOB_MS + world.random(JOB_SPREAD_MS);
  const isCancelled = !isRunToCompletion(spec.kind) || mayNeverEnd(spec) || world.random(6) === 0;
  const cancelAtMs = isCancelled
    ? Math.max(atMs, FAULTS_END_MS - world.random(CANCELLATION_SPREAD_MS))
    : null;
  world.time.after(atMs, () => {
    world.startUser(spec, cancelAtMs);
  });
}

function mayNeverEnd({ imageGb, saveS, checkpointS }: JobSpec): boolean {
  const isSaveEndless = checkpointS > 0 && saveS >= Math.min(...ENDLESS_SAVE_TIMES_S);
  return isSaveEndless || imageGb >= Math.min(...ENDLESS_IMAGE_SIZES_GB);
}
