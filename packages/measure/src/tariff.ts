import { DDSketch } from '@datadog/sketches-js';
import type { NightResult } from './night.js';
import { playNight } from './night.js';
import { clairvoyantCost, decisionMs, ourCost, smallNight } from './optimum.js';
import { parallel } from './parallel.js';

const SEEDS = 10;
const JOBS = 2000;
const SMALL_NIGHTS = 40;

export interface Pair {
  readonly seed: number;
  readonly on: boolean;
}

/** One night in a process of its own. */
export async function tariffPart(p: Pair): Promise<NightResult> {
  return playNight({ seed: p.seed, jobs: JOBS, deferral: p.on });
}

function percentile(values: readonly number[], q: number): number {
  const sketch = new DDSketch({ relativeAccuracy: 0.002 });
  for (const v of values) sketch.accept(v);
  return sketch.getValueAtQuantile(q);
}

const sum = (values: readonly number[]): number => values.reduce((a, b) => a + b, 0);

/** Ten nights with and without deferral, small nights against a clairvoyant, the time of a decision. */
export async function measureTariff(say: (line: string) => void): Promise<Record<string, unknown>> {
  const pairs = Array.from({ length: SEEDS * 2 }, (_, i) => ({ seed: 1 + (i >> 1), on: i % 2 === 0 }));
  const results = (await parallel('tariff', pairs, say)) as NightResult[];
  let missedByDeferral = 0;
  let missedWithout = 0;
  for (let i = 0; i < results.length; i += 2) {
    const [on, off] = [results[i] as NightResult, results[i + 1] as NightResult];
    const metOff = new Map(off.ends.map((e) => [e.id, e.met]));
    missedWithout += off.ends.filter((e) => !e.met).length;
    missedByDeferral += on.ends.filter((e) => !e.met && metOff.get(e.id) === true).length;
  }
  const on = results.filter((_, i) => i % 2 === 0);
  const off = results.filter((_, i) => i % 2 === 1);
  const waits = (of: readonly NightResult[], q: number): number =>
    percentile(
      of.flatMap((r) => r.urgentWaitsS),
      q,
    );
  const over = (of: readonly NightResult[], s: number): number => {
    const all = of.flatMap((r) => r.urgentWaitsS);
    return all.filter((x) => x > s).length / all.length;
  };
  const ratios: number[] = [];
  let lateSmall = 0;
  for (let seed = 1; seed <= SMALL_NIGHTS; seed += 1) {
    const night = smallNight(seed);
    const best = clairvoyantCost(night);
    // A night that not even a clairvoyant can finish in time says nothing.
    if (Number.isNaN(best)) continue;
    const ours = ourCost(night);
    ratios.push(ours.cost / best);
    lateSmall += ours.late;
  }
  return {
    simulated: true,
    nights: SEEDS,
    deferrableJobs: sum(on.map((r) => r.ends.length)),
    missedByDeferral,
    missedWithout,
    costRatio: sum(on.map((r) => r.deferrableCost)) / sum(off.map((r) => r.deferrableCost)),
    costRatioOfAll: sum(on.map((r) => r.cost)) / sum(off.map((r) => r.cost)),
    toOptimum: sum(ratios) / ratios.length,
    toOptimumWorst: Math.max(...ratios),
    smallNights: ratios.length,
    lateInSmallNights: lateSmall,
    urgentWaitRatio: waits(on, 0.99) / waits(off, 0.99),
    urgentWaitP99S: { on: waits(on, 0.99), off: waits(off, 0.99) },
    urgentWaitP50S: { on: waits(on, 0.5), off: waits(off, 0.5) },
    urgentOver2S: { on: over(on, 2), off: over(off, 2), of: sum(on.map((r) => r.urgentWaitsS.length)) },
    brokenRules: sum(results.map((r) => r.broken)),
    decisionMsFor10000: decisionMs(10_000),
  };
}
