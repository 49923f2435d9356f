import { Heap } from '../heap.js';
import type { JobView, Snapshot } from '../snapshot.js';
import { bound, classify, drainS, exhausted, holds, leave } from './bounds.js';
import { evaluate } from './evaluate.js';
import { Ground } from './ground.js';
import { meanWait, misses, tierOf, withBeginnings } from './order.js';
import { settle } from './settle.js';
import type { Evaluation, Plan, PlanOptions } from './types.js';

export { withinGuarantee } from './guarantees.js';
export { allows, fetchSeconds } from './types.js';
export type { Plan, PlanOptions, Start, Stop, Unmet } from './types.js';

/**
 * Who waits as long as everybody does is not starved: that is who waits for so many times the time in which all that waits could be
 * done. With a fixed time alone a burst was served in the order of its arrival, each job at the last moment and none in time.
 */
const STARVED_AFTER = 2;

interface Rest {
  readonly bound: number;
  readonly job: JobView;
  /** The evaluation that the bound comes from, or null when the bound is only a bound. */
  readonly known: Evaluation | null;
}

function isStarved(g: Ground, job: JobView): boolean {
  return job.begins === true || meanWait(job) > g.starvationS;
}

/** All that a job asks for, in CPU seconds by its owner's estimate. */
function work({ spec, estimateS }: JobView): number {
  return spec.tasks * spec.cpus * estimateS;
}

function planAll(g: Ground): Plan {
  const waiting = g.s.jobs.filter((j) => j.startable && j.pending.length > 0);
  for (const j of waiting) classify(g, j);
  g.starvationS = Math.max(g.s.starvationS, drainS(g, waiting) * STARVED_AFTER);
  const tiers = new Map<number, JobView[]>();
  for (const j of waiting) {
    const tier = tierOf(j, g.guaranteed.has(j));
    const list = tiers.get(tier);
    if (list === undefined) tiers.set(tier, [j]);
    else list.push(j);
  }
  for (const t of [...tiers.keys()].sort((a, b) => a - b)) planTier(g, tiers.get(t) ?? []);
  return { starts: g.starts, heads: g.heads, stops: g.stops, unmet: g.unmet, steps: g.steps };
}

/**
 * Under overload the paper's order alone makes every job late in turn. A job that would miss its next
 * milestone goes behind those that can still meet it, and so on to its last; it comes back to the
 * front once it has waited several times as long, so that nothing waits for ever.
 */
function planTier(g: Ground, jobs: readonly JobView[]): void {
  let group: readonly JobView[] = jobs;
  for (let level = 0; group.length > 0; level += 1) group = planGroup(g, group, level);
}

/** The paper's loop: starved first, otherwise the smallest estimated completion first. */
function planGroup(g: Ground, group: readonly JobView[], level: number): JobView[] {
  // What cannot meet its milestone at the very best need not be looked at among those that may.
  const hopeless = (j: JobView): boolean => g.options.exhaustive !== true && misses(j, bound(g, j), level);
  const later: JobView[] = group.filter(hopeless);
  const jobs = later.length === 0 ? group : group.filter((j) => !hopeless(j));
  const take = (e: Evaluation): void => {
    if (misses(e.job, e.completionS, level)) later.push(e.job);
    else {
      settle(g, e);
      const kind = g.kindOf.get(e.job);
      if (kind !== undefined) kind.left -= 1;
    }
  };
  const starved = jobs.filter((j) => isStarved(g, j));
  // Of those that have to begin the largest first: the order reaches the others sooner by itself.
  starved.sort(
    (a, b) =>
      Number(b.begins === true) - Number(a.begins === true) ||
      (a.begins === true ? work(b) - work(a) : 0) ||
      meanWait(b) - meanWait(a) ||
      a.order - b.order,
  );
  for (const [i, j] of starved.entries()) {
    if (exhausted(g)) {
      leave(g, [...starved.slice(i), ...jobs.filter((x) => !isStarved(g, x)), ...later]);
      return [];
    }
    take(evaluate(g, j));
  }
  // Placing only ever delays the others, so an old estimate, or what the pool of all machines could
  // do at best, is a lower bound: the smallest is recomputed until it stays the smallest, which
  // picks as the paper's full recomputation would.
  if (g.options.exhaustive === true) {
    planPlainly(
      g,
      jobs.filter((j) => !isStarved(g, j)),
      take,
    );
    return later;
  }
  const rest = new Heap<Rest>((a, b) => a.bound - b.bound || a.job.order - b.job.order);
  for (const job of jobs) if (!isStarved(g, job)) rest.push({ bound: bound(g, job), job, known: null });
  for (let first = rest.pop(); first !== undefined; first = rest.pop()) {
    if (exhausted(g)) {
      const left = [first.job];
      for (let r = rest.pop(); r !== undefined; r = rest.pop()) left.push(r.job);
      leave(g, [...left, ...later]);
      return [];
    }
    if (first.known !== null && holds(g, first.known)) {
      take(first.known);
      continue;
    }
    const known = evaluate(g, first.job);
    const again = { bound: known.completionS, job: first.job, known };
    const next = rest.peek();
    if (next === undefined || rest.before(again, next)) take(known);
    else rest.push(again);
  }
  return later;
}

/** The paper's words: every waiting cotask's completion anew after each placement. */
function planPlainly(g: Ground, jobs: readonly JobView[], take: (e: Evaluation) => void): void {
  const rest = new Set(jobs);
  while (rest.size > 0) {
    let best: Evaluation | null = null;
    for (const e of [...rest].map((j) => evaluate(g, j)))
      if (
        best === null ||
        e.completionS < best.completionS ||
        (e.completionS === best.completionS && e.job.order < best.job.order)
      )
        best = e;
    if (best === null) return;
    rest.delete(best.job);
    take(best);
  }
}

export function plan(snapshot: Snapshot, options: PlanOptions = {}): Plan {
  return planAll(new Ground(withBeginnings(snapshot), options));
}
