/**
 * Measures data losses of the key-value store, summarized by size of the fleet, kind of loss and surviving replicas.
 *
 * @module
 */
import { DDSketch } from '@datadog/sketches-js';
import { runPartsInParallel } from './parallel.js';
import type { SurvivingReplicas, LossPart, LossResult } from './store-data-loss-part.js';
import { GENERATED_DAYS_PER_PART } from './store-data-loss-part.js';

const SIZES = [100, 800, 3200] as const;
const LARGEST_SIZE = 3200;
const LOSSES = ['nothing', 'emptied', 'rolled back 20 s', 'tasks gone'] as const;
const SURVIVING_REPLICAS: readonly SurvivingReplicas[] = [
  'all nodes',
  'all but the leader',
  'a snapshot',
  'workers',
];
const GENERATED_DAYS = 200;
const FIRST_GENERATED_SEED = 1000;
const MEDIAN_ACCURACY = 0.005;

type NumericField = {
  [Field in keyof LossResult]-?: LossResult[Field] extends number | null ? Field : never;
}[keyof LossResult];

function isMeasured(machines: number, loss: LossPart['loss'], left: SurvivingReplicas): boolean {
  if (loss === 'nothing' && left !== 'all nodes') return false;
  return machines !== LARGEST_SIZE || (loss !== 'tasks gone' && left !== 'workers');
}

function largeParts(): LossPart[] {
  const parts: LossPart[] = [];
  for (const machines of SIZES)
    for (const loss of LOSSES)
      for (const left of SURVIVING_REPLICAS) {
        if (!isMeasured(machines, loss, left)) continue;
        for (const seed of machines === LARGEST_SIZE ? [1] : [1, 2, 3])
          parts.push({ machines, loss, left, seed });
      }
  // The longest parts run first, so that the processors finish at about the same time.
  return parts.reverse();
}

function generatedParts(): LossPart[] {
  return Array.from({ length: GENERATED_DAYS / GENERATED_DAYS_PER_PART }, (_, i) => ({
    machines: 10,
    loss: 'emptied' as const,
    left: 'all nodes' as const,
    seed: FIRST_GENERATED_SEED + i * GENERATED_DAYS_PER_PART,
    drawn: true,
  }));
}

function addCounts(totals: Record<string, number>, counts: Readonly<Record<string, number>>): void {
  for (const [name, count] of Object.entries(counts)) totals[name] = (totals[name] ?? 0) + count;
}

function summarizeGroup(
  machines: number,
  loss: string,
  left: SurvivingReplicas,
  group: readonly LossResult[],
): unknown {
  const valuesOf = (field: NumericField): number[] =>
    group.map((result) => result[field]).filter((value) => value !== null);
  const median = (field: NumericField): number | null => {
    const sketch = new DDSketch({ relativeAccuracy: MEDIAN_ACCURACY });
    const values = valuesOf(field);
    for (const value of values) sketch.accept(value);
    return values.length === 0 ? null : Number(sketch.getValueAtQuantile(0.5).toPrecision(3));
  };
  const worst = (field: NumericField): number | null => {
    const values = valuesOf(field);
    return values.length === 0 ? null : Math.max(...values);
  };
  const medianAndWorst = (field: NumericField) => [median(field), worst(field)];
  const rulesBroken: Record<string, number> = {};
  for (const result of group) addCounts(rulesBroken, result.rulesBroken);
  return {
    machines,
    loss,
    left,
    noticedMs: medianAndWorst('noticedMs'),
    soundMs: medianAndWorst('soundMs'),
    firstStartMs: medianAndWorst('firstStartMs'),
    writtenMs: medianAndWorst('writtenMs'),
    replicaTimeLost: worst('replicaTimeLost'),
    startsOfDone: worst('startsOfDone'),
    jobsLost: worst('jobsLost'),
    rulesBroken,
    requestsPerS: median('requestsPerS'),
    changesPerS: median('changesPerS'),
    records: median('records'),
    copyBytes: median('copyBytes'),
    snapshot: group[0]?.snapshot,
  };
}

function summaries(results: readonly LossResult[]): unknown[] {
  const table: unknown[] = [];
  for (const machines of SIZES)
    for (const left of SURVIVING_REPLICAS)
      for (const loss of LOSSES) {
        const group = results.filter(
          (result) => result.machines === machines && result.left === left && result.loss === loss,
        );
        if (group.length > 0) table.push(summarizeGroup(machines, loss, left, group));
      }
  return table;
}

/** Simulates all losses and the generated days. Returns the medians and the worst values for each kind of loss. */
export async function measureStoreDataLoss(printLine: (line: string) => void): Promise<unknown> {
  const large = largeParts();
  const results = await runPartsInParallel('state-loss', [...large, ...generatedParts()], printLine);
  const drawnDays: Record<string, number> = {};
  for (const counts of results.slice(large.length) as Record<string, number>[]) addCounts(drawnDays, counts);
  return { simulated: true, table: summaries(results.slice(0, large.length) as LossResult[]), drawnDays };
}
