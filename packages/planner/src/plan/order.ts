import { LARGEST_START_S } from '@spurbridge/model';
import type { JobView, Snapshot } from '../snapshot.js';
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

/** A job that none of has begun by this share of the time in which the largest have to begin is starved of its first task. */
const BEGIN_SHARE = 0.6;

/**
 * Where there is more work than room, the smallest completion first leaves the largest jobs waiting for ever, and a mean of
 * waiting says so of all at once. To begin, a job needs one task only: that is planned by itself, ahead of what is not
 * starved, and the others in their order.
 */
export function withBeginnings(s: Snapshot): Snapshot {
  const mustBegin = (j: JobView): boolean =>
    j.spec.kind === 'array' &&
    j.ageS > LARGEST_START_S * BEGIN_SHARE &&
    j.startable &&
    j.pendingCount > 1 &&
    j.pendingCount === j.spec.tasks;
  if (!s.jobs.some(mustBegin)) return s;
  const jobs = s.jobs.flatMap((j): JobView[] => {
    if (!mustBegin(j)) return [j];
    const waitS = meanWait(j);
    const part = (pending: readonly number[], count: number): JobView => ({
      ...j,
      pending,
      pendingCount: count,
      unfinished: count,
      summedWaitS: waitS * count,
    });
    const first = { ...part(j.pending.slice(0, 1), 1), begins: true };
    // Where its others may be depends on where this one is: they are planned once it has its place.
    if (j.spec.oneZone || j.spec.spread) return [first];
    return [first, part(j.pending.slice(1), j.pendingCount - 1)];
  });
  return { ...s, jobs };
}

/** Whether the job would miss the milestone of this level, complete or started. */
export function misses(job: JobView, completionS: number, level: number): boolean {
  if (job.begins === true) return false;
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
