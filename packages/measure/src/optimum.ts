/**
 * Small nights on which the costs of the release decisions are compared with those of a clairvoyant optimum.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { DeferrableJob } from '@spurbridge/tariff';
import { decideReleases } from '@spurbridge/tariff';
import type { JobId } from '@spurbridge/wire';
import solver from 'javascript-lp-solver';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

const SLOT_S = 300;
const SLOTS = 24;
const CPUS = 12;
const JOBS = 14;
const STEP_S = 10;
/** Remaining work below this is a rounding error. */
const ROUNDING_CPU_S = 1e-6;
const DECISION_REPETITIONS = 21;

/** A job of one task. Times are in seconds from the start of the night. */
interface SmallJob {
  readonly id: JobId;
  readonly arrives: number;
  readonly due: number;
  readonly cpus: number;
  readonly runS: number;
}

/** The prices of the slots, and the jobs. */
export interface SmallNight {
  readonly prices: readonly number[];
  readonly jobs: readonly SmallJob[];
}

/** Generates two hours of five-minute prices and a few jobs that arrive in the first eight slots. */
export function smallNight(seed: number): SmallNight {
  const generator = xoroshiro128plus(seed);
  const below = (limit: number): number => uniformInt(generator, 0, limit - 1);
  const prices: number[] = [];
  while (prices.length < SLOTS) {
    const price = 4 + below(30);
    for (let left = 2 + below(4); left > 0 && prices.length < SLOTS; left -= 1) prices.push(price);
  }
  const jobs = Array.from({ length: JOBS }, (_, i): SmallJob => {
    const arrives = below(8);
    return {
      id: `wk-${String(i).padStart(3, '0')}` as JobId,
      arrives: arrives * SLOT_S,
      due: (arrives + 5 + below(SLOTS - arrives - 4)) * SLOT_S,
      cpus: 2 + below(5),
      runS: SLOT_S,
    };
  });
  return { prices, jobs };
}

/**
 * The minimum cost of a clairvoyant schedule, by a linear program over the work of each job in each slot. The program
 * may split a job and knows all arrivals, so no real schedule can be cheaper. NaN if not all jobs can finish in time.
 */
export function clairvoyantCost(night: SmallNight): number {
  const constraints: Record<string, { min?: number; max?: number; equal?: number }> = {};
  const variables: Record<string, Record<string, number>> = {};
  for (let slot = 0; slot < SLOTS; slot += 1) constraints[`slot${slot}`] = { max: CPUS * SLOT_S };
  for (const job of night.jobs) {
    constraints[`work${job.id}`] = { equal: job.cpus * job.runS };
    for (let slot = job.arrives / SLOT_S; slot < Math.min(SLOTS, job.due / SLOT_S); slot += 1) {
      const name = `${job.id}@${slot}`;
      constraints[`most${name}`] = { max: job.cpus * SLOT_S };
      variables[name] = {
        cost: night.prices[slot] as number,
        [`slot${slot}`]: 1,
        [`work${job.id}`]: 1,
        [`most${name}`]: 1,
      };
    }
  }
  const result = solver.Solve({ optimize: 'cost', opType: 'min', constraints, variables }) as {
    feasible: boolean;
    result: number;
  };
  return result.feasible ? result.result : NaN;
}

/** A released job and its remaining work. */
interface StartedJob {
  readonly job: SmallJob;
  leftCpuS: number;
}

/** Cost of the release decisions, and the number of jobs that finish late. */
export interface OnlineCost {
  readonly cost: number;
  readonly late: number;
}

/** Simulates release decisions every ten seconds without knowledge of future arrivals, and returns their cost. */
export function onlineCost(night: SmallNight): OnlineCost {
  const deferred = new Map(night.jobs.map((job) => [job.id, false]));
  let running: StartedJob[] = [];
  let cost = 0;
  let late = 0;
  for (let atS = 0; atS < SLOTS * SLOT_S * 2; atS += STEP_S) {
    release(night, atS, deferred, running);
    const price = night.prices[Math.floor(atS / SLOT_S)] ?? Math.max(...night.prices);
    let free = CPUS;
    for (const started of running) {
      const used = Math.min(free, started.job.cpus, started.leftCpuS / STEP_S);
      free -= used;
      started.leftCpuS -= used * STEP_S;
      cost += used * STEP_S * price;
      if (isFinished(started) && atS + STEP_S > started.job.due) late += 1;
    }
    running = running.filter((started) => !isFinished(started));
  }
  return { cost, late };
}

function isFinished(started: StartedJob): boolean {
  return started.leftCpuS <= ROUNDING_CPU_S;
}

/** Decides about all jobs that have arrived. Released ones move to `running`; the others are marked as deferred. */
function release(night: SmallNight, atS: number, deferred: Map<JobId, boolean>, running: StartedJob[]): void {
  const known = night.jobs.filter((job) => job.arrives <= atS && deferred.has(job.id));
  const load = {
    cpus: CPUS,
    backlogCpuS: running.reduce((sum, started) => sum + started.leftCpuS, 0),
    demandCpus: running.reduce((sum, started) => sum + started.job.cpus, 0),
  };
  const decisions = decideReleases({
    now: (atS * 1000) as WallClockMs,
    jobs: known.map((job) => deferrableJob(job, deferred.get(job.id) === true)),
    teams: [load],
    pool: { ...load },
    starts: night.prices.map((_, i) => (i * SLOT_S * 1000) as WallClockMs),
    until: (SLOTS * SLOT_S * 1000) as WallClockMs,
    prices: [Float64Array.from(night.prices)],
    minSaving: 0.01,
  });
  for (const decision of decisions) {
    const job = known.find((candidate) => candidate.id === decision.id) as SmallJob;
    if (decision.at <= atS * 1000) {
      deferred.delete(decision.id);
      running.push({ job, leftCpuS: job.cpus * job.runS });
    } else deferred.set(decision.id, true);
  }
}

function deferrableJob(job: SmallJob, isDeferred: boolean): DeferrableJob {
  return {
    id: job.id,
    deferred: isDeferred,
    team: 0,
    priceIndex: 0,
    cpus: job.cpus,
    workCpuS: job.cpus * job.runS,
    taskRunTimeS: job.runS,
    leadTimeS: 0,
    marginS: 0,
    finishBy: (job.due * 1000) as WallClockMs,
    startBy: null,
  };
}

/** Median time of one decision about this number of deferred jobs in milliseconds, with a tariff of 15-minute slots. */
export function decisionMs(jobs: number): number {
  const generator = xoroshiro128plus(1);
  const below = (limit: number): number => uniformInt(generator, 0, limit - 1);
  const starts = Array.from({ length: 48 }, (_, i) => (i * 900_000) as WallClockMs);
  const input = {
    now: 0 as WallClockMs,
    jobs: Array.from({ length: jobs }, (_, i): DeferrableJob => {
      const cpus = 2 + below(60);
      return {
        id: `wk-${i}` as JobId,
        deferred: true,
        team: below(4),
        priceIndex: below(4),
        cpus,
        workCpuS: cpus * 40,
        taskRunTimeS: 80,
        leadTimeS: 60,
        marginS: 150,
        finishBy: (1_800_000 + below(40_000_000)) as WallClockMs,
        startBy: null,
      };
    }),
    teams: Array.from({ length: 4 }, () => ({ cpus: 800, backlogCpuS: 50_000, demandCpus: 700 })),
    pool: { cpus: 2500, backlogCpuS: 200_000, demandCpus: 2400 },
    starts,
    until: 43_200_000 as WallClockMs,
    prices: Array.from({ length: 4 }, () => Float64Array.from(starts, () => 1 + below(10))),
    minSaving: 0.05,
  };
  const took = Array.from({ length: DECISION_REPETITIONS }, () => {
    const began = performance.now();
    decideReleases(input);
    return performance.now() - began;
  });
  return took.sort((a, b) => a - b)[DECISION_REPETITIONS >> 1] as number;
}
