import { BinaryHeap } from '../heap.js';
import type { JobView, ClusterSnapshot } from '../cluster-snapshot.js';
import {
  completionLowerBound,
  countJobShape,
  estimateDrainS,
  isExhausted,
  isStillValid,
  estimateUnplaced,
} from './completion-bounds.js';
import { evaluate } from './evaluate.js';
import { SchedulingPass } from './scheduling-pass.js';
import { meanWaitS, missesMilestone, priorityTier, splitOverdueFirstTasks } from './job-order.js';
import { assignJob } from './assign-job.js';
import type { JobEvaluation, SchedulingPlan, PlanOptions } from './types.js';

export { jobsWithinGuarantee } from './quota-guarantee.js';
export { isMachineAllowed, imageFetchS } from './types.js';
export type { SchedulingPlan, PlanOptions, TaskStart, TaskPreemption, UnplacedDemand } from './types.js';

/**
 * Who waits as long as everybody does is not starved: that is who waits for so many times the time in which all that waits could be
 * done. With a fixed time alone a burst was served in the order of its arrival, each job at the last moment and none in time.
 */
const STARVATION_DRAIN_FACTOR = 2;

interface RankedJob {
  readonly bound: number;
  readonly job: JobView;
  /** The evaluation that the bound comes from, or null when the bound is only a bound. */
  readonly known: JobEvaluation | null;
}

function isStarved(g: SchedulingPass, job: JobView): boolean {
  return job.isOverdueFirstTask === true || meanWaitS(job) > g.starvationThresholdS;
}

/** All that a job asks for, in CPU seconds by its owner's estimate. */
function totalCpuSeconds({ spec, estimateS }: JobView): number {
  return spec.tasks * spec.cpus * estimateS;
}

function runPass(g: SchedulingPass): SchedulingPlan {
  const waiting = g.snapshot.jobs.filter((j) => j.isStartable && j.pendingTasks.length > 0);
  for (const j of waiting) countJobShape(g, j);
  g.starvationThresholdS = Math.max(
    g.snapshot.starvationThresholdS,
    estimateDrainS(g, waiting) * STARVATION_DRAIN_FACTOR,
  );
  const tiers = new Map<number, JobView[]>();
  for (const j of waiting) {
    const tier = priorityTier(j, g.guaranteedJobs.has(j));
    const list = tiers.get(tier);
    if (list === undefined) tiers.set(tier, [j]);
    else list.push(j);
  }
  for (const t of [...tiers.keys()].sort((a, b) => a - b)) planTier(g, tiers.get(t) ?? []);
  return {
    starts: g.starts,
    queuedStarts: g.queuedStarts,
    preemptions: g.preemptions,
    unplacedDemand: g.unplacedDemand,
    queueVisits: g.queueVisits,
  };
}

/**
 * Under overload the paper's order alone makes every job late in turn. A job that would miss its next
 * milestone goes behind those that can still meet it, and so on to its last; it comes back to the
 * front once it has waited several times as long, so that nothing waits for ever.
 */
function planTier(g: SchedulingPass, jobs: readonly JobView[]): void {
  let group: readonly JobView[] = jobs;
  for (let level = 0; group.length > 0; level += 1) group = planGroup(g, group, level);
}

/** The paper's loop: starved first, otherwise the smallest estimated completion first. */
function planGroup(g: SchedulingPass, group: readonly JobView[], level: number): JobView[] {
  // What cannot meet its milestone at the very best need not be looked at among those that may.
  const hopeless = (j: JobView): boolean =>
    g.options.exhaustive !== true && missesMilestone(j, completionLowerBound(g, j), level);
  const later: JobView[] = group.filter(hopeless);
  const jobs = later.length === 0 ? group : group.filter((j) => !hopeless(j));
  const take = (e: JobEvaluation): void => {
    if (missesMilestone(e.job, e.completionS, level)) later.push(e.job);
    else {
      assignJob(g, e);
      const kind = g.shapeOf.get(e.job);
      if (kind !== undefined) kind.waitingCount -= 1;
    }
  };
  const starved = jobs.filter((j) => isStarved(g, j));
  // Of those that have to begin the largest first: the order reaches the others sooner by itself.
  starved.sort(
    (a, b) =>
      Number(b.isOverdueFirstTask === true) - Number(a.isOverdueFirstTask === true) ||
      (a.isOverdueFirstTask === true ? totalCpuSeconds(b) - totalCpuSeconds(a) : 0) ||
      meanWaitS(b) - meanWaitS(a) ||
      a.submissionOrder - b.submissionOrder,
  );
  for (const [i, j] of starved.entries()) {
    if (isExhausted(g)) {
      estimateUnplaced(g, [...starved.slice(i), ...jobs.filter((x) => !isStarved(g, x)), ...later]);
      return [];
    }
    take(evaluate(g, j));
  }
  // Placing only ever delays the others, so an old estimate, or what the pool of all machines could
  // do at best, is a lower bound: the smallest is recomputed until it stays the smallest, which
  // picks as the paper's full recomputation would.
  if (g.options.exhaustive === true) {
    planExhaustively(
      g,
      jobs.filter((j) => !isStarved(g, j)),
      take,
    );
    return later;
  }
  const rest = new BinaryHeap<RankedJob>(
    (a, b) => a.bound - b.bound || a.job.submissionOrder - b.job.submissionOrder,
  );
  for (const job of jobs)
    if (!isStarved(g, job)) rest.push({ bound: completionLowerBound(g, job), job, known: null });
  for (let first = rest.pop(); first !== undefined; first = rest.pop()) {
    if (isExhausted(g)) {
      const left = [first.job];
      for (let r = rest.pop(); r !== undefined; r = rest.pop()) left.push(r.job);
      estimateUnplaced(g, [...left, ...later]);
      return [];
    }
    if (first.known !== null && isStillValid(g, first.known)) {
      take(first.known);
      continue;
    }
    const known = evaluate(g, first.job);
    const again = { bound: known.completionS, job: first.job, known };
    const next = rest.peek();
    if (next === undefined || rest.isBefore(again, next)) take(known);
    else rest.push(again);
  }
  return later;
}

/** The paper's words: every waiting cotask's completion anew after each placement. */
function planExhaustively(
  g: SchedulingPass,
  jobs: readonly JobView[],
  take: (e: JobEvaluation) => void,
): void {
  const rest = new Set(jobs);
  while (rest.size > 0) {
    let best: JobEvaluation | null = null;
    for (const e of [...rest].map((j) => evaluate(g, j)))
      if (
        best === null ||
        e.completionS < best.completionS ||
        (e.completionS === best.completionS && e.job.submissionOrder < best.job.submissionOrder)
      )
        best = e;
    if (best === null) return;
    rest.delete(best.job);
    take(best);
  }
}

export function planTasks(snapshot: ClusterSnapshot, options: PlanOptions = {}): SchedulingPlan {
  return runPass(new SchedulingPass(splitOverdueFirstTasks(snapshot), options));
}
