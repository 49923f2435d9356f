import type { JobView } from '../snapshot.js';
import { PRIORITY_ORDER } from '../snapshot.js';

/** A job past its last milestone by this factor is no longer put behind the others. */
export const PATIENT = 5;

/**
 * By priority, then what a team is guaranteed before what it borrows, then services before the order. Nobody is placed before
 * work that it would be stopped for: a service of low priority took the room that was made for an array of higher priority, was
 * stopped for it and took it again, every second.
 */
export function tierOf(j: JobView, guaranteed: boolean): number {
  return PRIORITY_ORDER[j.spec.priority] * 4 + (guaranteed ? 0 : 2) + (j.spec.kind === 'service' ? 0 : 1);
}

/** Whether the job would miss the milestone of this level, complete or started. */
export function misses(job: JobView, completionS: number, level: number): boolean {
  const milestoneS = job.milestonesS[level];
  const last = job.milestonesS.at(-1);
  if (milestoneS === undefined || last === undefined || job.ageS > last * PATIENT) return false;
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
export function meanWait(job: JobView): number {
  return job.summedWaitS / Math.max(1, job.pendingCount);
}
