/**
 * Measures the deferral of jobs to cheap times: simulated nights with and without it, a comparison of its costs with a
 * clairvoyant optimum, and the time of a decision.
 *
 * @module
 */
import { DDSketch } from '@datadog/sketches-js';
import type { NightResult } from './night.js';
import { simulateNight } from './night.js';
import { clairvoyantCost, decisionMs, onlineCost, smallNight } from './optimum.js';
import { runPartsInParallel } from './parallel.js';

const SEEDS = 10;
const JOBS = 2000;
const SMALL_NIGHTS = 40;

/** One night of a pair. */
export interface TariffPart {
  readonly seed: number;
  /** Whether deferral is on. */
  readonly on: boolean;
}

interface MissedDeadlines {
  readonly missedByDeferral: number;
  readonly missedWithout: number;
}

interface OptimumComparison {
  readonly toOptimum: number;
  readonly toOptimumWorst: number;
  readonly smallNights: number;
  readonly lateInSmallNights: number;
}

interface OnAndOff {
  readonly on: number;
  readonly off: number;
}

interface UrgentWaits {
  readonly urgentWaitRatio: number;
  readonly urgentWaitP99S: OnAndOff;
  readonly urgentWaitP50S: OnAndOff;
  readonly urgentOver2S: OnAndOff & { readonly of: number };
}

/** Simulates one night. */
export async function tariffPart(part: TariffPart): Promise<NightResult> {
  return simulateNight({ seed: part.seed, jobs: JOBS, deferral: part.on });
}

function percentile(values: readonly number[], quantile: number): number {
  const sketch = new DDSketch({ relativeAccuracy: 0.002 });
  for (const value of values) sketch.accept(value);
  return sketch.getValueAtQuantile(quantile);
}

const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/** Counts the deadlines that are missed only with deferral, and those that are missed without it. */
function countMissedDeadlines(results: readonly NightResult[]): MissedDeadlines {
  let missedByDeferral = 0;
  let missedWithout = 0;
  for (let i = 0; i < results.length; i += 2) {
    const [on, off] = [results[i] as NightResult, results[i + 1] as NightResult];
    const metOff = new Map(off.ends.map((end) => [end.id, end.met]));
    missedWithout += off.ends.filter((end) => !end.met).length;
    missedByDeferral += on.ends.filter((end) => !end.met && metOff.get(end.id) === true).length;
  }
  return { missedByDeferral, missedWithout };
}

/** Compares the costs of small nights with those of a clairvoyant schedule. */
function compareWithOptimum(): OptimumComparison {
  const ratios: number[] = [];
  let lateInSmallNights = 0;
  for (let seed = 1; seed <= SMALL_NIGHTS; seed += 1) {
    const night = smallNight(seed);
    const best = clairvoyantCost(night);
    // Nights whose jobs cannot all finish in time even with a clairvoyant schedule are not comparable.
    if (Number.isNaN(best)) continue;
    const online = onlineCost(night);
    ratios.push(online.cost / best);
    lateInSmallNights += online.late;
  }
  return {
    toOptimum: sum(ratios) / ratios.length,
    toOptimumWorst: Math.max(...ratios),
    smallNights: ratios.length,
    lateInSmallNights,
  };
}

function urgentWaits(on: readonly NightResult[], off: readonly NightResult[]): UrgentWaits {
  const onS = on.flatMap((result) => result.urgentWaitsS);
  const offS = off.flatMap((result) => result.urgentWaitsS);
  const both = (figure: (waitsS: readonly number[]) => number) => ({ on: figure(onS), off: figure(offS) });
  const p99S = both((waitsS) => percentile(waitsS, 0.99));
  return {
    urgentWaitRatio: p99S.on / p99S.off,
    urgentWaitP99S: p99S,
    urgentWaitP50S: both((waitsS) => percentile(waitsS, 0.5)),
    urgentOver2S: { ...both((waitsS) => shareOver(waitsS, 2)), of: onS.length },
  };
}

function shareOver(waitsS: readonly number[], limitS: number): number {
  return waitsS.filter((waitS) => waitS > limitS).length / waitsS.length;
}

/** Measures ten nights with and without deferral, small nights against the optimum, and the time of a decision. */
export async function measureTariff(printLine: (line: string) => void): Promise<Record<string, unknown>> {
  const parts: TariffPart[] = Array.from({ length: SEEDS * 2 }, (_, i) => ({
    seed: 1 + (i >> 1),
    on: i % 2 === 0,
  }));
  const results = (await runPartsInParallel('tariff', parts, printLine)) as NightResult[];
  const on = results.filter((_, i) => i % 2 === 0);
  const off = results.filter((_, i) => i % 2 === 1);
  const total = (nights: readonly NightResult[], field: 'cost' | 'deferrableCost' | 'broken'): number =>
    sum(nights.map((night) => night[field]));
  return {
    simulated: true,
    nights: SEEDS,
    deferrableJobs: sum(on.map((night) => night.ends.length)),
    ...countMissedDeadlines(results),
    costRatio: total(on, 'deferrableCost') / total(off, 'deferrableCost'),
    costRatioOfAll: total(on, 'cost') / total(off, 'cost'),
    ...compareWithOptimum(),
    ...urgentWaits(on, off),
    brokenRules: total(results, 'broken'),
    decisionMsFor10000: decisionMs(10_000),
  };
}
