/**
 * Assigns the tasks of an evaluated job: starts what can start now, keeps places in the queues for the rest, and preempts others
 * where the job cannot wait.
 *
 * @module
 */

import { assignGang } from './assign-gang.js';
import { preemptFor } from './preemption.js';
import { fitsQuota, takeQuota } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';
import type { JobEvaluation, TaskAssignment } from './types.js';

const NO_ASSIGNMENTS: ReadonlySet<TaskAssignment> = new Set();

/** What became of the assignments of an evaluation. */
interface AssignmentOutcome {
  /** Assignments that start later. */
  readonly delayed: readonly TaskAssignment[];
  /** The last assignments, which the team's limit does not allow. */
  readonly limitedCount: number;
}

/** Applies an evaluation to the queues, and starts what can start now. */
export function assignJob(pass: SchedulingPass, evaluation: JobEvaluation): void {
  if (evaluation.job.spec.kind === 'gang') {
    assignGang(pass, evaluation);
    return;
  }
  const deferred = deferSlowStarts(pass, evaluation);
  const outcome = startWithinLimit(pass, evaluation, deferred);
  // What the limit keeps back must not hold a place in any queue.
  if (outcome.limitedCount === 0) pass.applyEvaluation(evaluation);
  else pass.applyAllButLast(evaluation, outcome.limitedCount);
  recordUnplacedTasks(pass, evaluation, outcome);
  if (outcome.limitedCount === 0) preemptForLateTasks(pass, evaluation, outcome.delayed);
}

/**
 * A replica that could start now, but would fetch its image for longer than its objective allows, waits a moment where room can be
 * made for it on a machine with the image.
 */
function deferSlowStarts(
  pass: SchedulingPass,
  { job, assignments }: JobEvaluation,
): ReadonlySet<TaskAssignment> {
  const { spec, ageS, toleratedWaitS } = job;
  if (spec.kind !== 'service' || ageS >= toleratedWaitS) return NO_ASSIGNMENTS;
  const tooSlow = assignments.filter(({ startS, endS }) => startS <= 0 && endS > toleratedWaitS);
  if (tooSlow.length === 0) return NO_ASSIGNMENTS;
  const deferredCount = preemptFor(
    pass,
    job,
    tooSlow.map(({ endS }) => endS),
  );
  tooSlow.sort((first, second) => second.endS - first.endS);
  return new Set(tooSlow.slice(0, deferredCount));
}

/** Starts what can start now; tasks that start later take their part of the limit as well, in the order of the plan. */
function startWithinLimit(
  pass: SchedulingPass,
  { job, assignments }: JobEvaluation,
  deferred: ReadonlySet<TaskAssignment>,
): AssignmentOutcome {
  const { spec } = job;
  const quota = pass.remainingQuota(spec.team);
  const latestStartS = pass.placeAheadS(job);
  const delayed: TaskAssignment[] = [];
  let limitedCount = 0;
  for (const assignment of assignments) {
    if (!fitsQuota(spec, 1, quota)) limitedCount += 1;
    else if (deferred.has(assignment)) takeQuota(spec, quota);
    else if (assignment.startS <= latestStartS) pass.start(job, assignment, quota);
    else {
      takeQuota(spec, quota);
      delayed.push(assignment);
    }
  }
  return { delayed, limitedCount };
}

function recordUnplacedTasks(
  pass: SchedulingPass,
  { job, unplacedCount }: JobEvaluation,
  { delayed, limitedCount }: AssignmentOutcome,
): void {
  // Pending tasks beyond those that were evaluated.
  const furtherCount = limitedCount === 0 ? job.pendingCount - job.pendingTasks.length : 0;
  const waitingCount = delayed.length + Math.max(0, unplacedCount + furtherCount);
  let startsInS = unplacedCount > 0 ? Infinity : 0;
  for (const { startS } of delayed) startsInS = Math.max(startsInS, startS);
  pass.recordUnplaced(job, waitingCount, startsInS, true);
  pass.recordUnplaced(job, limitedCount, Infinity, false);
}

/** Preempts others for tasks that would start later than is tolerated, or never. */
function preemptForLateTasks(
  pass: SchedulingPass,
  { job, unplacedCount }: JobEvaluation,
  delayed: readonly TaskAssignment[],
): void {
  const endsS: number[] = [];
  for (const { startS, endS } of delayed) if (startS > job.toleratedWaitS) endsS.push(endS);
  for (let count = 0; count < unplacedCount; count += 1) endsS.push(Infinity);
  if (endsS.length > 0) preemptFor(pass, job, endsS);
}
