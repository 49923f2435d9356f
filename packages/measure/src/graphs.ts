/**
 * Measurements of task graphs in the simulated world: fairness, orders of cotasks, failovers, throughput and memory.
 *
 * @module
 */
import type { FailoverResult, Throughput } from './graphs-parts.js';
import { graphTeamShare, measureFailovers, measureMemory, measureThroughput } from './graphs-parts.js';
import type { Order, OrderTimes } from './orders.js';
import { longTailedTrace, simulateOrder } from './orders.js';
import { runPartsInParallel } from './parallel.js';

const SEEDS = 10;
const GUARANTEED_SHARE = 0.5;
/** Arriving work as a share of the machines' capacity. */
const LOADS = [0.7, 0.9, 1.1, 1.4] as const;
const ORDERS: readonly Order[] = ['paper', 'first-come', 'shortest-task'];
const SMALL_GRAPH = 10_000;
const LARGE_GRAPH = 100_000;

/** One part of the measurement. Fairness and orders ignore `tasks`. */
export interface GraphsPart {
  readonly kind: 'fairness' | 'recovery' | 'scale' | 'orders' | 'memory';
  readonly seed: number;
  readonly tasks: number;
}

/** Mean times by load, in the order of LOADS, and by order, in the order of ORDERS. */
type TimesByLoad = readonly (readonly OrderTimes[])[];

function simulateOrders(seed: number): TimesByLoad {
  return LOADS.map((load) => {
    const trace = longTailedTrace(seed, load);
    return ORDERS.map((order) => simulateOrder(trace, order));
  });
}

/** Runs one part. */
export async function graphsPart(part: GraphsPart): Promise<unknown> {
  switch (part.kind) {
    case 'fairness':
      return graphTeamShare(part.seed);
    case 'recovery':
      return measureFailovers(part.seed, part.tasks);
    case 'scale':
      return measureThroughput(part.tasks);
    case 'memory':
      return measureMemory(part.tasks);
    case 'orders':
      return simulateOrders(part.seed);
  }
}

/** Means over all seeds for one load. */
function summarizeOrders(timesBySeed: readonly TimesByLoad[], load: number, loadIndex: number): object {
  const mean = (order: Order, field: keyof OrderTimes): number => {
    const timeOf = (times: TimesByLoad): number => times[loadIndex]?.[ORDERS.indexOf(order)]?.[field] ?? NaN;
    return timesBySeed.reduce((sum, times) => sum + timeOf(times), 0) / timesBySeed.length;
  };
  const byOrder = (field: keyof OrderTimes) => ({
    paper: mean('paper', field),
    firstCome: mean('first-come', field),
    shortestTask: mean('shortest-task', field),
  });
  const cotaskS = byOrder('cotaskS');
  return {
    load,
    cotaskS,
    graphS: byOrder('graphS'),
    cotaskRatioToFirstCome: cotaskS.paper / cotaskS.firstCome,
  };
}

function allParts(): GraphsPart[] {
  const seeds = Array.from({ length: SEEDS }, (_, i) => i + 1);
  const part = (kind: GraphsPart['kind'], seed = 1, tasks = 0): GraphsPart => ({ kind, seed, tasks });
  return [
    part('recovery', 1, 20_000),
    part('scale', 1, LARGE_GRAPH),
    part('scale', 1, SMALL_GRAPH),
    ...seeds.map((seed) => part('fairness', seed)),
    ...seeds.map((seed) => part('orders', seed)),
    part('memory', 1, SMALL_GRAPH),
    part('memory', 1, LARGE_GRAPH),
  ];
}

/** Runs all parts and summarizes their results. */
export async function measureGraphs(printLine: (line: string) => void): Promise<Record<string, unknown>> {
  const parts = allParts();
  const results = await runPartsInParallel('graphs', parts, printLine);
  const of = <Result>(kind: GraphsPart['kind']): Result[] =>
    results.filter((_, i) => parts[i]?.kind === kind) as Result[];
  const shares = of<number>('fairness');
  const times = of<TimesByLoad>('orders');
  const throughputs = of<Throughput>('scale');
  const shareError = (share: number): number => Math.abs(share - GUARANTEED_SHARE) / GUARANTEED_SHARE;
  return {
    simulated: true,
    guaranteedShare: GUARANTEED_SHARE,
    graphTeamShares: shares.map((share) => Number(share.toFixed(4))),
    worstShareError: Math.max(...shares.map(shareError)),
    orders: LOADS.map((load, i) => summarizeOrders(times, load, i)),
    recovery: of<FailoverResult>('recovery')[0],
    scale: {
      small: throughputs.find(({ tasks }) => tasks === SMALL_GRAPH),
      large: throughputs.find(({ tasks }) => tasks === LARGE_GRAPH),
    },
    memory: of('memory'),
  };
}
