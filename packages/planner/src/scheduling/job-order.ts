/**
 * The order of jobs in a scheduling pass: priority tiers, milestones and starvation.
 *
 * @module
 */

import { LARGEST_JOB_START_S } from '@spurbridge/model';
import type { ClusterSnapshot, JobView } from '../cluster-snapshot.js';
import { PRIORITY_RANK } from '../cluster-snapshot.js';
import type { JobFocus } from '../job-focus.js';

/** A job older than its last milestone by this factor is no longer placed behind the others. */
const LONG_OVERDUE_FACTOR = 5;
/** An array's start is overdue at this share of the time within which the largest jobs have to start. */
const OVERDUE_START_SHARE = 0.6;

/** The number of tiers per priority: guaranteed or borrowed quota, each for services and for other jobs. */
const TIERS_PER_PRIORITY = 4;
const BORROWED_QUOTA_OFFSET = 2;
const NON_SERVICE_OFFSET = 1;

/**
 * The tier of a job; lower tiers are planned first: by priority, then guaranteed before borrowed quota, then
 * services before other jobs. No job is placed before work that may preempt it. With another order, a service
 * of low priority took the resources freed for an array of higher priority, was preempted for it and took them
 * again, every second.
 */
export function priorityTier({ spec }: JobView, isGuaranteed: boolean): number {
  return (
    PRIORITY_RANK[spec.priority] * TIERS_PER_PRIORITY +
    (isGuaranteed ? 0 : BORROWED_QUOTA_OFFSET) +
    (spec.kind === 'service' ? 0 : NON_SERVICE_OFFSET)
  );
}

/**
 * The mean wait of a job's pending tasks in seconds. The paper sums the waits of a cotask's tasks, so a very
 * large array exceeds the starvation threshold within seconds and is placed before every small job. The mean
 * does not depend on the job's size.
 */
export function meanWaitS(job: JobView): number {
  return job.totalWaitS / Math.max(1, job.pendingCount);
}

/**
 * Splits off the first task of every array whose start is overdue (`OVERDUE_START_SHARE`), and plans it before
 * all jobs that are not starved. Under permanent overload, placing the job with the earliest completion first
 * never starts the largest jobs, and the mean wait exceeds the starvation threshold for all jobs at the same time. One
 * running task is enough for a job to count as started.
 */
export function splitOverdueFirstTasks(snapshot: ClusterSnapshot, focus: JobFocus): ClusterSnapshot {
  const isSplit = snapshot.jobs.some((job) => {
    focus.set(job);
    return hasOverdueStart(job);
  });
  if (!isSplit) return snapshot;
  return { ...snapshot, jobs: snapshot.jobs.flatMap(splitFirstTask) };
}

function hasOverdueStart(job: JobView): boolean {
  return (
    job.spec.kind === 'array' &&
    job.ageS > LARGEST_JOB_START_S * OVERDUE_START_SHARE &&
    job.isStartable &&
    job.pendingCount > 1 &&
    job.pendingCount === job.spec.tasks
  );
}

function splitFirstTask(job: JobView): JobView[] {
  if (!hasOverdueStart(job)) return [job];
  const { pendingTasks, pendingCount, spec } = job;
  const first: JobView = { ...partOf(job, pendingTasks.slice(0, 1), 1), isOverdueFirstTask: true };
  // The zones of the other tasks depend on that of the first: they are planned once it is placed.
  if (spec.oneZone || spec.spread) return [first];
  return [first, partOf(job, pendingTasks.slice(1), pendingCount - 1)];
}

/** A part of a job's tasks, with a proportional part of the wait. */
function partOf(job: JobView, pendingTasks: readonly number[], count: number): JobView {
  const totalWaitS = meanWaitS(job) * count;
  return { ...job, pendingTasks, pendingCount: count, unfinishedCount: count, totalWaitS };
}

/** Whether the job is so far past its last milestone that it is no longer placed behind the others. */
export function isLongOverdue({ ageS, completionMilestonesS }: JobView): boolean {
  const lastMilestoneS = completionMilestonesS.at(-1);
  return lastMilestoneS !== undefined && ageS > lastMilestoneS * LONG_OVERDUE_FACTOR;
}

/** Whether the job would neither complete nor start by its milestones of this level. */
export function missesMilestone(job: JobView, completionS: number, level: number): boolean {
  if (job.isOverdueFirstTask === true) return false;
  const milestoneS = job.completionMilestonesS[level];
  if (milestoneS === undefined || isLongOverdue(job)) return false;
  if (job.ageS + completionS <= milestoneS) return false;
  // A job that is too long to complete in time may still start in time. When long gangs were placed after all
  // other jobs, they missed both milestones.
  const startMilestoneS = job.startMilestonesS[level];
  return startMilestoneS === undefined || job.ageS + completionS - job.estimateS > startMilestoneS;
}

/**
 * The order of starved jobs: overdue first tasks of the largest jobs first; then by longest wait, then by
 * submission.
 */
export function compareStarved(first: JobView, second: JobView): number {
  const isFirstOverdue = first.isOverdueFirstTask === true;
  const isSecondOverdue = second.isOverdueFirstTask === true;
  return (
    Number(isSecondOverdue) - Number(isFirstOverdue) ||
    // The largest job first, because jobs that are not starved are placed by earliest completion, which favors small
    // jobs.
    (isFirstOverdue ? totalCpuSeconds(second) - totalCpuSeconds(first) : 0) ||
    meanWaitS(second) - meanWaitS(first) ||
    first.submissionOrder - second.submissionOrder
  );
}

/** The estimated work of all tasks of a job. */
function totalCpuSeconds({ spec, estimateS }: JobView): number {
  return spec.tasks * spec.cpus * estimateS;
}
