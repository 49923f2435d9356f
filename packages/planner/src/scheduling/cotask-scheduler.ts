/**
 * The paper's cotask scheduling: starved cotasks first, otherwise the one with the smallest minimum completion
 * time. Here the pending tasks of a job are a cotask. docs/design.md lists the differences from the paper.
 *
 * @module
 */

import type { ClusterSnapshot, JobView } from '../cluster-snapshot.js';
import { BinaryHeap } from '../heap.js';
import { JobFocus } from '../job-focus.js';
import { assignJob } from './assign-job.js';
import { completionLowerBound, estimateDrainS, isStillValid } from './completion-bounds.js';
import { estimateUnplaced } from './estimate-unplaced.js';
import { evaluate } from './evaluate.js';
import {
  compareStarved,
  meanWaitS,
  missesMilestone,
  priorityTier,
  splitOverdueFirstTasks,
} from './job-order.js';
import { addToShape, isExhausted, removeFromShape } from './job-shapes.js';
import { SchedulingPass } from './scheduling-pass.js';
import type { JobEvaluation, PlanOptions, SchedulingPlan } from './types.js';

/**
 * A job is starved only if it waits this many times longer than all waiting work would take. With a fixed
 * threshold, every job in a burst became starved, so the burst was served in the order of arrival and no job
 * was in time.
 */
const STARVATION_DRAIN_FACTOR = 2;

/** Applies an evaluation once its job has been selected. */
type Place = (evaluation: JobEvaluation) => void;

/**
 * Computes the plan of one scheduling pass; it has no side effects.
 *
 * @throws {JobPlanningError} when the plan fails on a job.
 */
export function planTasks(snapshot: ClusterSnapshot, options: PlanOptions = {}): SchedulingPlan {
  const focus = new JobFocus();
  return focus.run(() =>
    runPass(new SchedulingPass(splitOverdueFirstTasks(snapshot, focus), options, focus)),
  );
}

function runPass(pass: SchedulingPass): SchedulingPlan {
  const { snapshot } = pass;
  const waiting = snapshot.jobs.filter((job) => job.isStartable && job.pendingTasks.length > 0);
  for (const job of waiting) addToShape(pass, job);
  pass.starvationThresholdS = Math.max(
    snapshot.starvationThresholdS,
    estimateDrainS(pass, waiting) * STARVATION_DRAIN_FACTOR,
  );
  for (const jobs of groupByTier(pass, waiting)) planTier(pass, jobs);
  return pass.plan;
}

/** The jobs of each tier, in the order of the tiers. */
function groupByTier(pass: SchedulingPass, jobs: readonly JobView[]): readonly (readonly JobView[])[] {
  const jobsByTier = new Map<number, JobView[]>();
  for (const job of jobs) {
    const tier = priorityTier(job, pass.guaranteedJobs.has(job));
    const sameTier = jobsByTier.get(tier);
    if (sameTier === undefined) jobsByTier.set(tier, [job]);
    else sameTier.push(job);
  }
  return [...jobsByTier.entries()].sort(([first], [second]) => first - second).map(([, tier]) => tier);
}

/**
 * Plans one tier by levels of milestones. Under overload, the paper's order (smallest completion time first)
 * makes every job late, one after another. So a job that would miss its first milestone is placed after those
 * that can still meet theirs, and likewise for each later milestone. A job that is long overdue is no longer
 * placed after the others, so that no job waits forever.
 */
function planTier(pass: SchedulingPass, jobs: readonly JobView[]): void {
  let group = jobs;
  for (let level = 0; group.length > 0; level += 1) group = planMilestoneLevel(pass, group, level);
}

/** Plans the jobs that can meet their milestone of this level, and returns the others. */
function planMilestoneLevel(
  pass: SchedulingPass,
  group: readonly JobView[],
  level: number,
): readonly JobView[] {
  const postponed: JobView[] = [];
  const starved: JobView[] = [];
  const others: JobView[] = [];
  for (const job of group) {
    if (isCertainToMiss(pass, job, level)) postponed.push(job);
    else if (isStarved(pass, job)) starved.push(job);
    else others.push(job);
  }
  const place: Place = (evaluation) => {
    if (missesMilestone(evaluation.job, evaluation.completionS, level)) postponed.push(evaluation.job);
    else placeJob(pass, evaluation);
  };
  const unplacedStarved = placeStarved(pass, starved, place);
  const unplaced =
    unplacedStarved.length > 0 ? [...unplacedStarved, ...others] : placeByCompletion(pass, others, place);
  if (unplaced.length === 0) return postponed;
  estimateUnplaced(pass, [...unplaced, ...postponed]);
  return [];
}

/**
 * Whether even the lower bound of the job's completion misses its milestone of this level. Such a job is not
 * evaluated on this level.
 */
function isCertainToMiss(pass: SchedulingPass, job: JobView, level: number): boolean {
  return pass.options.exhaustive !== true && missesMilestone(job, completionLowerBound(pass, job), level);
}

function isStarved(pass: SchedulingPass, job: JobView): boolean {
  return job.isOverdueFirstTask === true || meanWaitS(job) > pass.starvationThresholdS;
}

function placeJob(pass: SchedulingPass, evaluation: JobEvaluation): void {
  assignJob(pass, evaluation);
  removeFromShape(pass, evaluation.job);
}

/** Places starved jobs in their order; returns the remaining jobs once no further task can start. */
function placeStarved(pass: SchedulingPass, jobs: JobView[], place: Place): readonly JobView[] {
  jobs.sort(compareStarved);
  for (const [index, job] of jobs.entries()) {
    if (isExhausted(pass)) return jobs.slice(index);
    place(evaluate(pass, job));
  }
  return [];
}

/**
 * Places jobs by completion time, smallest first; returns the remaining jobs once no further task can start.
 */
function placeByCompletion(pass: SchedulingPass, jobs: readonly JobView[], place: Place): readonly JobView[] {
  if (pass.options.exhaustive !== true) return placeByBounds(pass, jobs, place);
  placeExhaustively(pass, jobs, place);
  return [];
}

/** A job with a lower bound of its completion time. */
interface RankedJob {
  /** Lower bound of the completion, in seconds from now. */
  readonly completionBoundS: number;
  readonly job: JobView;
  /** The evaluation that yields the bound; null if the pool of all machines yields it. */
  readonly evaluation: JobEvaluation | null;
}

function compareRanked(first: RankedJob, second: RankedJob): number {
  return (
    first.completionBoundS - second.completionBoundS || first.job.submissionOrder - second.job.submissionOrder
  );
}

/**
 * Placing a job can only delay the others, so an earlier evaluation, or the bound from the pool of all
 * machines, is a lower bound of a job's completion. The job with the smallest bound is evaluated. It is placed
 * if its completion is still the smallest; otherwise it returns to the heap with its new bound. This selects
 * the same job as evaluating all of them.
 */
function placeByBounds(pass: SchedulingPass, jobs: readonly JobView[], place: Place): readonly JobView[] {
  const ranked = new BinaryHeap<RankedJob>(compareRanked);
  for (const job of jobs)
    ranked.push({ completionBoundS: completionLowerBound(pass, job), job, evaluation: null });
  for (let first = ranked.pop(); first !== undefined; first = ranked.pop()) {
    if (isExhausted(pass)) return [first.job, ...drainJobs(ranked)];
    if (first.evaluation !== null && isStillValid(pass, first.evaluation)) {
      place(first.evaluation);
      continue;
    }
    const evaluation = evaluate(pass, first.job);
    const exact = { completionBoundS: evaluation.completionS, job: first.job, evaluation };
    const next = ranked.peek();
    if (next === undefined || ranked.isBefore(exact, next)) place(evaluation);
    else ranked.push(exact);
  }
  return [];
}

/** Removes and returns the jobs of a heap in their order. */
function drainJobs(ranked: BinaryHeap<RankedJob>): JobView[] {
  const jobs: JobView[] = [];
  for (let next = ranked.pop(); next !== undefined; next = ranked.pop()) jobs.push(next.job);
  return jobs;
}

/** The loop as published in the paper: evaluates every waiting cotask again after each placement. */
function placeExhaustively(pass: SchedulingPass, jobs: readonly JobView[], place: Place): void {
  const waiting = new Set(jobs);
  while (waiting.size > 0) {
    const first = firstToComplete([...waiting].map((job) => evaluate(pass, job)));
    if (first === null) return;
    waiting.delete(first.job);
    place(first);
  }
}

function firstToComplete(evaluations: readonly JobEvaluation[]): JobEvaluation | null {
  let first: JobEvaluation | null = null;
  for (const evaluation of evaluations) {
    const isFirst =
      first === null ||
      evaluation.completionS < first.completionS ||
      (evaluation.completionS === first.completionS &&
        evaluation.job.submissionOrder < first.job.submissionOrder);
    if (isFirst) first = evaluation;
  }
  return first;
}
