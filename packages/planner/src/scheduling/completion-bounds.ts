/**
 * Lower bounds of completion times; they avoid evaluating every job after every placement.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { JobView } from '../cluster-snapshot.js';
import { neededDimensions, plannedRunS } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';
import type { JobEvaluation } from './types.js';

/** The earliest completion of the job in seconds from now, bounded by the pool of all machines. */
export function completionLowerBound(pass: SchedulingPass, job: JobView): number {
  pass.focus.set(job);
  const { spec, estimateS, pendingTasks, pendingCount } = job;
  if (spec.kind === 'service') return 0;
  const runS = plannedRunS(estimateS);
  let completionS = 0;
  for (const dimension of neededDimensions(spec)) {
    const pool = pass.resourcePool(dimension);
    const work = spec[dimension] * pendingTasks.length * runS;
    completionS = Math.max(completionS, pool.earliestFreeS(spec[dimension]) + runS, pool.earliestDoneS(work));
  }
  completionS -= EPSILON;
  return completionS * Math.max(1, pendingCount / pendingTasks.length);
}

/**
 * The time in seconds to complete all waiting work if it were spread evenly over the CPUs that become free.
 */
export function estimateDrainS(pass: SchedulingPass, jobs: readonly JobView[]): number {
  let work = 0;
  for (const job of jobs) {
    pass.focus.set(job);
    const { spec, pendingCount, estimateS } = job;
    if (spec.kind !== 'service') work += spec.cpus * pendingCount * plannedRunS(estimateS);
  }
  return work === 0 ? 0 : pass.resourcePool('cpus').earliestDoneS(work);
}

/** Whether an evaluation is still valid: no queue that it assigned tasks to has changed since. */
export function isStillValid(pass: SchedulingPass, evaluation: JobEvaluation): boolean {
  if (evaluation.passRevision === pass.revision) return true;
  if (evaluation.job.spec.kind === 'service') return false;
  for (const [queueIndex, change] of evaluation.changedQueues)
    if (pass.queues[queueIndex] !== change.before) return false;
  return true;
}
