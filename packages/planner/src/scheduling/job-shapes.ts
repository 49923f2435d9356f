/**
 * Detects that nothing more can be placed in a pass. It checks the shapes of the waiting jobs instead of each
 * job.
 *
 * @module
 */

import type { JobView } from '../cluster-snapshot.js';
import type { MachineQueue } from './machine-queue.js';
import { fitsQuota } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';
import type { JobShape } from './types.js';
import { isMachineAllowed } from './types.js';

/** Adds a waiting job to the jobs of its shape. */
export function addToShape(pass: SchedulingPass, job: JobView): void {
  pass.focus.set(job);
  const isGuaranteed = pass.guaranteedJobs.has(job);
  const key = shapeKey(job, isGuaranteed);
  let shape = pass.jobShapes.get(key);
  if (shape === undefined) {
    shape = {
      exampleJob: job,
      waitingCount: 0,
      startIndex: pass.startIndex(job.spec, null),
      startIndexCursor: 0,
      canPreempt: pass.preemptionIndex.canPreempt(job, isGuaranteed),
    };
    pass.jobShapes.set(key, shape);
  }
  shape.waitingCount += 1;
  pass.shapeOf.set(job, shape);
}

function shapeKey({ spec }: JobView, isGuaranteed: boolean): string {
  const types = spec.types === null ? '' : spec.types.join(',');
  return `${spec.kind}|${spec.team}|${spec.priority}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.spot}|${spec.zone ?? ''}|${types}|${isGuaranteed}`;
}

/** Removes a job that no longer waits from the jobs of its shape. */
export function removeFromShape(pass: SchedulingPass, job: JobView): void {
  const shape = pass.shapeOf.get(job);
  if (shape !== undefined) shape.waitingCount -= 1;
}

/**
 * Whether no waiting task can start now or preempt others. Free resources and limits only shrink during a pass,
 * so the order of the remaining jobs no longer affects the plan.
 */
export function isExhausted(pass: SchedulingPass): boolean {
  if (pass.options.exhaustive === true) return false;
  for (const [key, shape] of pass.jobShapes) {
    const { spec } = shape.exampleJob;
    const quota = pass.findQuota(spec.team);
    const isWithinLimit = quota !== undefined && fitsQuota(spec, 1, quota);
    if (shape.waitingCount > 0 && isWithinLimit && (shape.canPreempt || canStartNow(pass, shape)))
      return false;
    // A shape that cannot start now cannot start later in the pass either.
    if (shape.waitingCount === 0 || !isWithinLimit || !shape.canPreempt) pass.jobShapes.delete(key);
  }
  return true;
}

/** Whether some queue can start a task of this shape now, or soon enough for placing it ahead. */
function canStartNow(pass: SchedulingPass, shape: JobShape): boolean {
  const { startIndex, exampleJob } = shape;
  const latestStartS = pass.placeAheadS(exampleJob);
  while (shape.startIndexCursor < startIndex.size) {
    const position = shape.startIndexCursor;
    if ((startIndex.earliestStartsS[position] as number) > latestStartS) return false;
    const queue = pass.queues[startIndex.queueIndexes[position] as number] as MachineQueue;
    pass.queueVisits += 1;
    const canStart = queue.earliestStart(exampleJob.spec) <= latestStartS;
    if (canStart && isMachineAllowed(exampleJob, queue.machine)) return true;
    shape.startIndexCursor += 1;
  }
  return false;
}
