/**
 * The order of jobs in a scheduling pass: priority tiers, milestones and starvation.
 *
 * @module
 */

import { LARGEST_JOB_START_S } from '@spurbridge/model';
import type { ClusterSnapshot, JobView } from '../cluster-snapshot.js';
import { PRIORITY_RANK } from '../cluster-snapshot.js';

/** A job that is older than its last milestone by this factor is not put behind the others any more. */
const LONG_OVERDUE_FACTOR = 5;
/** An array has an overdue start at this share of the time within which the largest jobs have to start. */
const OVERDUE_START_SHARE = 0.6;

/** The tiers of one priority: guaranteed and borrowed quota, and services and other jobs in each. */
const TIERS_PER_PRIORITY = 4;
const BORROWED_QUOTA_OFFSET = 2;
const NON_SERVICE_OFFSET = 1;

/**
 * The tier of a job, lower tiers first: by priority, then guaranteed before borrowed quota, then services before other jobs. No job
 * is placed before work that it would be preempted for: a service of low priority took the room that was made for an array of
 * higher priority, was preempted for it and took it again, every second.
 */
export function priorityTier({ spec }: JobView, isGuaranteed: boolean): number {
  return (
    PRIORITY_RANK[spec.priority] * TIERS_PER_PRIORITY +
    (isGuaranteed ? 0 : BORROWED_QUOTA_OFFSET) +
    (spec.kind === 'service' ? 0 : NON_SERVICE_OFFSET)
  );
}

/**
 * The mean wait of a job's pending tasks in seconds. The paper sums the waits of a cotask's tasks, by which a huge array passes the
 * starvation threshold within seconds and goes ahead of every small job; the mean does not depend on the size.
 */
export function meanWaitS(job: JobView): number {
  return job.totalWaitS / Math.max(1, job.pendingCount);
}

/**
 * Splits the first task from every array with an overdue start, to be planned by itself, ahead of what is not starved. Where there
 * is more work than the machines can take, the smallest completion first leaves the largest jobs waiting for ever, and the mean
 * wait says so of all jobs at once; but to start, a job needs one task only.
 */
export function splitOverdueFirstTasks(snapshot: ClusterSnapshot): ClusterSnapshot {
  if (!snapshot.jobs.some(hasOverdueStart)) return snapshot;
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

/** A part of a job's tasks, with its part of the wait. */
function partOf(job: JobView, pendingTasks: readonly number[], count: number): JobView {
  const totalWaitS = meanWaitS(job) * count;
  return { ...job, pendingTasks, pendingCount: count, unfinishedCount: count, totalWaitS };
}

/** Whether the job is so far past its last milestone that it is not put behind others any more. */
export function isLongOverdue({ ageS, completionMilestonesS }: JobView): boolean {
  const lastMilestoneS = completionMilestonesS.at(-1);
  return lastMilestoneS !== undefined && ageS > lastMilestoneS * LONG_OVERDUE_FACTOR;
}

/** Whether the job would neither be complete nor started by its milestones of this level. */
export function missesMilestone(job: JobView, completionS: number, level: number): boolean {
  if (job.isOverdueFirstTask === true) return false;
  const milestoneS = job.completionMilestonesS[level];
  if (milestoneS === undefined || isLongOverdue(job)) return false;
  if (job.ageS + completionS <= milestoneS) return false;
  // A job too long to be complete in time may still start in time: behind all others, long gangs missed that as well.
  const startMilestoneS = job.startMilestonesS[level];
  return startMilestoneS === undefined || job.ageS + completionS - job.estimateS > startMilestoneS;
}

/** The order among starved jobs: overdue first tasks first, the largest job first; then the longest wait, then submission. */
export function compareStarved(first: JobView, second: JobView): number {
  const isFirstOverdue = first.isOverdueFirstTask === true;
  const isSecondOverdue = second.isOverdueFirstTask === true;
  return (
    Number(isSecondOverdue) - Number(isFirstOverdue) ||
    // The order by completion reaches the smaller ones sooner by itself.
    (isFirstOverdue ? totalCpuSeconds(second) - totalCpuSeconds(first) : 0) ||
    meanWaitS(second) - meanWaitS(first) ||
    first.submissionOrder - second.submissionOrder
  );
}

/** The work of all tasks of a job by its estimate. */
function totalCpuSeconds({ spec, estimateS }: JobView): number {
  return spec.tasks * spec.cpus * estimateS;
}
