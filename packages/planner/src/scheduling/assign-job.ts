/**
 * Assigns the tasks of an evaluated job: starts what can start now, reserves places in the queues for the
 * rest, and preempts other tasks if the job cannot wait.
 *
 * @module
 */

import { assignGang } from './assign-gang.js';
import { preemptFor } from './preemption.js';
import { fitsQuota, takeQuota } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';
import type { JobEvaluation, TaskAssignment } from './types.js';

const NO_ASSIGNMENTS: ReadonlySet<TaskAssignment> = new Set();

/** The result of applying an evaluation's assignments. */
interface AssignmentOutcome {
  /** Assignments that start later. */
  readonly delayed: readonly TaskAssignment[];
  /** The number of assignments, the last ones, that exceed the team's limit. */
  readonly limitedCount: number;
}

/** Applies an evaluation to the queues, and starts the tasks that can start now. */
export function assignJob(pass: SchedulingPass, evaluation: JobEvaluation): void {
  pass.focus.set(evaluation.job);
  if (evaluation.job.spec.kind === 'gang') {
    assignGang(pass, evaluation);
    return;
  }
  const deferred = deferSlowStarts(pass, evaluation);
  const outcome = startWithinLimit(pass, evaluation, deferred);
  // Tasks beyond the team's limit must not reserve places in the queues.
  if (outcome.limitedCount === 0) pass.applyEvaluation(evaluation);
  else pass.applyAllButLast(evaluation, outcome.limitedCount);
  recordUnplacedTasks(pass, evaluation, outcome);
  if (outcome.limitedCount === 0) preemptForLateTasks(pass, evaluation, outcome.delayed);
}

/**
 * Delays a replica that could start now but would fetch its image for longer than its objective allows, if
 * preemption can free resources for it on a machine that has the image.
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

/**
 * Starts the tasks that can start now. Tasks that start later also count against the team's limit, in the
 * order of the plan.
 */
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
  // Pending tasks that were not evaluated because of the limit per plan.
  const furtherCount = limitedCount === 0 ? job.pendingCount - job.pendingTasks.length : 0;
  const waitingCount = delayed.length + Math.max(0, unplacedCount + furtherCount);
  let startsInS = unplacedCount > 0 ? Infinity : 0;
  for (const { startS } of delayed) startsInS = Math.max(startsInS, startS);
  pass.recordUnplaced(job, waitingCount, startsInS, true);
  pass.recordUnplaced(job, limitedCount, Infinity, false);
}

/** Preempts other tasks for those that would start later than tolerated, or never. */
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
