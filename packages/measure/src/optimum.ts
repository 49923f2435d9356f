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

interface SmallJob {
  readonly id: JobId;
  readonly arrives: number;
  readonly due: number;
  readonly cpus: number;
  readonly runS: number;
}

interface SmallNight {
  readonly prices: readonly number[];
  readonly jobs: readonly SmallJob[];
}

/** Two hours of five-minute prices and a few jobs that arrive in the first of them. */
export function smallNight(seed: number): SmallNight {
  const generator = xoroshiro128plus(seed);
  const below = (n: number): number => uniformInt(generator, 0, n - 1);
  const prices: number[] = [];
  while (prices.length < SLOTS) {
    const price = 4 + below(30);
    for (let n = 2 + below(4); n > 0 && prices.length < SLOTS; n -= 1) prices.push(price);
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
 * The least that a clairvoyant could pay: a linear program over what each job does in each slot. It may cut
 * a job into pieces and knows all arrivals, so that no real schedule can be cheaper.
 */
export function clairvoyantCost(n: SmallNight): number {
  const constraints: Record<string, { min?: number; max?: number; equal?: number }> = {};
  const variables: Record<string, Record<string, number>> = {};
  for (let s = 0; s < SLOTS; s += 1) constraints[`slot${s}`] = { max: CPUS * SLOT_S };
  for (const j of n.jobs) {
    constraints[`work${j.id}`] = { equal: j.cpus * j.runS };
    for (let s = j.arrives / SLOT_S; s < Math.min(SLOTS, j.due / SLOT_S); s += 1) {
      const name = `${j.id}@${s}`;
      constraints[`most${name}`] = { max: j.cpus * SLOT_S };
      variables[name] = {
        cost: n.prices[s] as number,
        [`slot${s}`]: 1,
        [`work${j.id}`]: 1,
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

/** What our decisions pay, made every ten seconds without knowledge of what is still to come. */
export function ourCost(n: SmallNight): { cost: number; late: number } {
  const waiting = new Map(n.jobs.map((j) => [j.id, false]));
  const running: { job: SmallJob; left: number }[] = [];
  let cost = 0;
  let late = 0;
  const stepS = 10;
  for (let at = 0; at < SLOTS * SLOT_S * 2; at += stepS) {
    const known = n.jobs.filter((j) => j.arrives <= at && waiting.has(j.id));
    const ahead = running.reduce((sum, r) => sum + r.left, 0);
    const wanted = running.reduce((sum, r) => sum + r.job.cpus, 0);
    const made = decideReleases({
      now: (at * 1000) as WallClockMs,
      jobs: known.map((j): DeferrableJob => ({
        id: j.id,
        deferred: waiting.get(j.id) === true,
        team: 0,
        priceIndex: 0,
        cpus: j.cpus,
        workCpuS: j.cpus * j.runS,
        taskRunTimeS: j.runS,
        leadTimeS: 0,
        marginS: 0,
        finishBy: (j.due * 1000) as WallClockMs,
        startBy: null,
      })),
      teams: [{ cpus: CPUS, backlogCpuS: ahead, demandCpus: wanted }],
      pool: { cpus: CPUS, backlogCpuS: ahead, demandCpus: wanted },
      starts: n.prices.map((_, i) => (i * SLOT_S * 1000) as WallClockMs),
      until: (SLOTS * SLOT_S * 1000) as WallClockMs,
      prices: [Float64Array.from(n.prices)],
      minSaving: 0.01,
    });
    for (const d of made) {
      const job = known.find((j) => j.id === d.id) as SmallJob;
      if (d.at <= at * 1000) {
        waiting.delete(d.id);
        running.push({ job, left: job.cpus * job.runS });
      } else waiting.set(d.id, true);
    }
    let free = CPUS;
    for (const r of running) {
      const used = Math.min(free, r.job.cpus, r.left / stepS);
      free -= used;
      r.left -= used * stepS;
      cost += used * stepS * (n.prices[Math.floor(at / SLOT_S)] ?? Math.max(...n.prices));
      if (r.left <= 1e-6 && at + stepS > r.job.due) late += 1;
    }
    for (let i = running.length - 1; i >= 0; i -= 1)
      if ((running[i] as { left: number }).left <= 1e-6) running.splice(i, 1);
  }
  return { cost, late };
}

/** Milliseconds of one decision about so many deferred jobs: the median of some, with a tariff of 15 minutes. */
export function decisionMs(jobs: number): number {
  const generator = xoroshiro128plus(1);
  const below = (n: number): number => uniformInt(generator, 0, n - 1);
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
  const took = Array.from({ length: 21 }, () => {
    const began = performance.now();
    decideReleases(input);
    return performance.now() - began;
  });
  return took.sort((a, b) => a - b)[10] as number;
}
