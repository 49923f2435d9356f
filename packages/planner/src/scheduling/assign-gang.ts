/**
 * Assigns the tasks of a gang, which start together or not at all.
 *
 * @module
 */

import { preemptFor } from './preemption.js';
import { fitsQuota } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';
import type { JobEvaluation } from './types.js';

/** Starts the whole gang, or reserves its places in the queues and preempts other tasks for all of it. */
export function assignGang(pass: SchedulingPass, evaluation: JobEvaluation): void {
  const { job, assignments, unplacedCount } = evaluation;
  const { pendingTasks, pendingCount } = job;
  const quota = pass.remainingQuota(job.spec.team);
  const isComplete = pendingTasks.length === pendingCount && unplacedCount === 0;
  const isAssignable = isComplete && fitsQuota(job.spec, pendingTasks.length, quota);
  if (!isAssignable || assignments.some(({ startS }) => startS > 0)) {
    delayGang(pass, evaluation, isAssignable);
    return;
  }
  for (const assignment of assignments) pass.start(job, assignment, quota);
  pass.applyEvaluation(evaluation);
}

function delayGang(pass: SchedulingPass, evaluation: JobEvaluation, isAssignable: boolean): void {
  const { job, assignments, unplacedCount } = evaluation;
  const { spec, pendingTasks, estimateS, toleratedWaitS } = job;
  const [first] = assignments;
  const zone = spec.oneZone && first !== undefined ? pass.queueOrder.zoneOf(first.queueIndex) : null;
  const delayed = assignments.filter(({ startS }) => startS > 0);
  if (isAssignable) {
    // Waiting gangs reserve places in the queues like any other cotask. When only starved gangs did, all waiting
    // gangs were planned on the same machines, and no machines were requested for them until they were late.
    pass.applyEvaluation(evaluation);
    const late = delayed.filter(({ endS }) => endS - estimateS > toleratedWaitS);
    if (late.length > 0)
      preemptFor(
        pass,
        job,
        late.map(({ endS }) => endS),
        zone,
      );
  }
  // Scale out only for the tasks that cannot start now; the others fit on existing machines.
  const startsInS = unplacedCount > 0 ? Infinity : Math.max(...assignments.map(({ startS }) => startS));
  const isWithinLimit = fitsQuota(spec, pendingTasks.length, pass.remainingQuota(spec.team));
  pass.recordUnplaced(job, unplacedCount + delayed.length, startsInS, isWithinLimit, zone);
}
