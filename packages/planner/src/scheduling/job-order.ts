import { LARGEST_JOB_START_S } from '@spurbridge/model';
import type { JobView, ClusterSnapshot } from '../cluster-snapshot.js';
import { PRIORITY_RANK } from '../cluster-snapshot.js';

/** A job past its last milestone by this factor is no longer put behind the others. */
export const OVERDUE_FACTOR = 5;

/**
 * By priority, then what a team is guaranteed before what it borrows, then services before the order. Nobody is placed before
 * work that it would be stopped for: a service of low priority took the room that was made for an array of higher priority, was
 * stopped for it and took it again, every second.
 */
export function priorityTier(j: JobView, guaranteed: boolean): number {
  return PRIORITY_RANK[j.spec.priority] * 4 + (guaranteed ? 0 : 2) + (j.spec.kind === 'service' ? 0 : 1);
}

/** A job that none of has begun by this share of the time in which the largest have to begin is starved of its first task. */
const OVERDUE_START_SHARE = 0.6;

/**
 * Where there is more work than room, the smallest completion first leaves the largest jobs waiting for ever, and a mean of
 * waiting says so of all at once. To begin, a job needs one task only: that is planned by itself, ahead of what is not
 * starved, and the others in their order.
 */
export function splitOverdueFirstTasks(s: ClusterSnapshot): ClusterSnapshot {
  const mustBegin = (j: JobView): boolean =>
    j.spec.kind === 'array' &&
    j.ageS > LARGEST_JOB_START_S * OVERDUE_START_SHARE &&
    j.isStartable &&
    j.pendingCount > 1 &&
    j.pendingCount === j.spec.tasks;
  if (!s.jobs.some(mustBegin)) return s;
  const jobs = s.jobs.flatMap((j): JobView[] => {
    if (!mustBegin(j)) return [j];
    const waitS = meanWaitS(j);
    const part = (pending: readonly number[], count: number): JobView => ({
      ...j,
      pendingTasks: pending,
      pendingCount: count,
      unfinishedCount: count,
      totalWaitS: waitS * count,
    });
    const first = { ...part(j.pendingTasks.slice(0, 1), 1), isOverdueFirstTask: true };
    // Where its others may be depends on where this one is: they are planned once it has its place.
    if (j.spec.oneZone || j.spec.spread) return [first];
    return [first, part(j.pendingTasks.slice(1), j.pendingCount - 1)];
  });
  return { ...s, jobs };
}

/** Whether the job would miss the milestone of this level, complete or started. */
export function missesMilestone(job: JobView, completionS: number, level: number): boolean {
  if (job.isOverdueFirstTask === true) return false;
  const milestoneS = job.completionMilestonesS[level];
  const last = job.completionMilestonesS.at(-1);
  if (milestoneS === undefined || last === undefined || job.ageS > last * OVERDUE_FACTOR) return false;
  if (job.ageS + completionS <= milestoneS) return false;
  // A job too long to be complete in time may still start in time: put behind all others, long gangs
  // missed that as well.
  const startS = job.startMilestonesS[level];
  return startS === undefined || job.ageS + completionS - job.estimateS > startS;
}

/**
 * The paper sums the waiting of a cotask's tasks, which lets a huge array pass the threshold within
 * seconds and go ahead of every small job; the mean does not depend on the size.
 */
export function meanWaitS(job: JobView): number {
  return job.totalWaitS / Math.max(1, job.pendingCount);
}
