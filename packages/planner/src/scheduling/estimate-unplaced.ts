/**
 * Estimates the starts of jobs of which no task can start now. Fleet planning uses these estimates; the order
 * of the jobs no longer affects the plan.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { JobSpec } from '@spurbridge/wire';
import type { JobView } from '../cluster-snapshot.js';
import { assignJob } from './assign-job.js';
import { evaluate } from './evaluate.js';
import { removeFromShape } from './job-shapes.js';
import { ResourcePool } from './resource-pool.js';
import { neededDimensions, plannedRunS } from './resources.js';
import type { Quota } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';

/** Records jobs as unplaced, in their order, with start estimates from the pools of all machines. */
export function estimateUnplaced(pass: SchedulingPass, jobs: readonly JobView[]): void {
  const estimate = new PooledEstimate(pass);
  for (const job of jobs) {
    pass.focus.set(job);
    removeFromShape(pass, job);
    // These jobs can use only some of the machines that become free, so an estimate from the pools would be too
    // early.
    if (isMachineBound(job.spec)) assignJob(pass, evaluate(pass, job));
    else recordPooled(pass, job, estimate);
  }
}

/** Whether the job's start depends on which machines become free, and not only on how many resources do. */
function isMachineBound(spec: JobSpec): boolean {
  return (
    spec.kind !== 'array' ||
    !spec.spot ||
    spec.zone !== null ||
    spec.types !== null ||
    spec.oneZone ||
    spec.spread
  );
}

function recordPooled(pass: SchedulingPass, job: JobView, estimate: PooledEstimate): void {
  const quota = pass.remainingQuota(job.spec.team);
  const countWithinLimit = countTasksWithin(job, quota);
  const startsInS = estimate.add(job, countWithinLimit, quota);
  pass.recordUnplaced(job, countWithinLimit, startsInS, true);
  pass.recordUnplaced(job, job.pendingCount - countWithinLimit, Infinity, false);
}

/** How many of a job's pending tasks fit into the remaining quota. */
function countTasksWithin({ spec, pendingCount }: JobView, quota: Quota): number {
  let count = pendingCount;
  for (const dimension of neededDimensions(spec))
    if (spec[dimension] > 0)
      count = Math.min(count, Math.floor(quota[dimension] / spec[dimension] + EPSILON));
  return Math.max(0, count);
}

/** Estimates starts as if the jobs used the pools of all machines one after another. */
class PooledEstimate {
  private readonly pools: { readonly cpus: ResourcePool; readonly gpus: ResourcePool };
  /** The resources requested by all jobs added so far, and their total work. */
  private readonly taken = { cpus: 0, gpus: 0 };
  private readonly work = { cpus: 0, gpus: 0 };
  private readonly hasQueues: boolean;

  constructor({ queues }: SchedulingPass) {
    this.pools = { cpus: new ResourcePool(queues, 'cpus'), gpus: new ResourcePool(queues, 'gpus') };
    this.hasQueues = queues.length > 0;
  }

  /**
   * Adds tasks of a job, subtracts them from the quota and returns the seconds until the last of them starts.
   */
  add({ spec, estimateS }: JobView, taskCount: number, quota: Quota): number {
    const runS = plannedRunS(estimateS);
    let startsInS = this.hasQueues ? 0 : Infinity;
    for (const dimension of neededDimensions(spec)) {
      const amount = taskCount * spec[dimension];
      quota[dimension] -= amount;
      this.taken[dimension] += amount;
      this.work[dimension] += amount * runS;
      const taken = this.taken[dimension];
      if (taken <= 0) continue;
      const pool = this.pools[dimension];
      const meanRunS = this.work[dimension] / taken;
      startsInS = Math.max(
        startsInS,
        pool.earliestFreeS(spec[dimension]),
        pool.earliestStartedS(taken, meanRunS),
      );
    }
    return startsInS;
  }
}
