import type { JobSpec } from '@spurbridge/wire';
import type { JobView } from '../cluster-snapshot.js';
import { evaluate } from './evaluate.js';
import type { SchedulingPass } from './scheduling-pass.js';
import { ResourcePool, pooledDimensions } from './resource-pool.js';
import { canPreempt } from './preemption.js';
import type { ResourceDimension, MachineQueue } from './machine-queue.js';
import { assignJob } from './assign-job.js';
import type { JobEvaluation, JobShape } from './types.js';
import { EPSILON } from '@spurbridge/model';
import { isMachineAllowed } from './types.js';

/** Counts the job among those that are alike. */
export function countJobShape(g: SchedulingPass, job: JobView): void {
  const { spec } = job;
  const guaranteed = g.guaranteedJobs.has(job);
  const types = spec.types === null ? '' : spec.types.join(',');
  const key = `${spec.kind}|${spec.team}|${spec.priority}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.spot}|${spec.zone ?? ''}|${types}|${guaranteed}`;
  let kind = g.jobShapes.get(key);
  if (kind === undefined) {
    kind = {
      exampleJob: job,
      waitingCount: 0,
      startIndex: g.startIndex(spec, null),
      startIndexCursor: 0,
      canPreempt: canPreempt(g, job, guaranteed),
    };
    g.jobShapes.set(key, kind);
  }
  kind.waitingCount += 1;
  g.shapeOf.set(job, kind);
}

/**
 * Whether nothing that still waits could start now or be made room for. Room only shrinks while
 * planning, so the rest of the order changes nothing any more.
 */
export function isExhausted(g: SchedulingPass): boolean {
  if (g.options.exhaustive === true) return false;
  for (const [key, k] of g.jobShapes) {
    const { spec } = k.exampleJob;
    const room = g.remainingQuota.get(spec.team);
    const within = room !== undefined && spec.cpus <= room.cpus + EPSILON && spec.gpus <= room.gpus + EPSILON;
    if (k.waitingCount > 0 && within && (k.canPreempt || canStartNow(g, k))) return false;
    // Neither room nor limits grow again.
    if (k.waitingCount === 0 || !within || !k.canPreempt) g.jobShapes.delete(key);
  }
  return true;
}

export function canStartNow(g: SchedulingPass, k: JobShape): boolean {
  const headS = g.placeAheadS(k.exampleJob);
  const { startIndex: order } = k;
  for (
    ;
    k.startIndexCursor < order.size && (order.earliestStartsS[k.startIndexCursor] as number) <= headS;
    k.startIndexCursor += 1
  ) {
    const q = g.queues[order.queueIndexes[k.startIndexCursor] as number] as MachineQueue;
    g.queueVisits += 1;
    if (q.earliestStart(k.exampleJob.spec) <= headS && isMachineAllowed(k.exampleJob, q.machine)) return true;
  }
  return false;
}

/** When all the work that waits could be done, if it were spread evenly over what comes free, in seconds. */
export function estimateDrainS(g: SchedulingPass, jobs: readonly JobView[]): number {
  let work = 0;
  for (const { spec, pendingCount, estimateS } of jobs)
    if (spec.kind !== 'service') work += spec.cpus * pendingCount * Math.max(estimateS, 0.5);
  return work === 0 ? 0 : resourcePool(g, 'cpus').earliestDoneS(work);
}

function resourcePool(g: SchedulingPass, of: ResourceDimension): ResourcePool {
  let pool = g.resourcePools.get(of);
  if (pool === undefined) {
    pool = new ResourcePool(g.queues, of);
    g.resourcePools.set(of, pool);
  }
  return pool;
}

/** No sooner than this can the job complete. */
export function completionLowerBound(g: SchedulingPass, job: JobView): number {
  if (job.spec.kind === 'service') return 0;
  const { spec } = job;
  const runS = Math.max(job.estimateS, 0.5);
  let completionS = 0;
  for (const of of pooledDimensions(spec)) {
    const pool = resourcePool(g, of);
    const work = spec[of] * job.pendingTasks.length * runS;
    completionS = Math.max(completionS, pool.earliestFreeS(spec[of]) + runS, pool.earliestDoneS(work));
  }
  completionS -= EPSILON;
  return completionS * Math.max(1, job.pendingCount / job.pendingTasks.length);
}

/** Whether an evaluation would come out the same now: no queue that it chose has changed since. */
export function isStillValid(g: SchedulingPass, e: JobEvaluation): boolean {
  if (e.passRevision === g.revision) return true;
  if (e.job.spec.kind === 'service') return false;
  for (const [at, q] of e.changedQueues) if (g.queues[at] !== q.before) return false;
  return true;
}

/** Jobs of which nothing can start now: when they would is estimated from the pool of all machines. */
export function estimateUnplaced(g: SchedulingPass, jobs: readonly JobView[]): void {
  const pools = { cpus: new ResourcePool(g.queues, 'cpus'), gpus: new ResourcePool(g.queues, 'gpus') };
  const taken = { cpus: 0, gpus: 0 };
  const work = { cpus: 0, gpus: 0 };
  for (const job of jobs) {
    const { spec } = job;
    const kind = g.shapeOf.get(job);
    if (kind !== undefined) kind.waitingCount -= 1;
    // What only some machines may take is no matter of the pool.
    if (isMachineBound(spec)) {
      assignJob(g, evaluate(g, job));
      continue;
    }
    const room = g.remainingQuota.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const runS = Math.max(job.estimateS, 0.5);
    let within = job.pendingCount;
    for (const of of pooledDimensions(spec))
      if (spec[of] > 0) within = Math.min(within, Math.floor(room[of] / spec[of] + EPSILON));
    within = Math.max(0, within);
    let startsInS = g.queues.length === 0 ? Infinity : 0;
    for (const of of pooledDimensions(spec)) {
      room[of] -= within * spec[of];
      taken[of] += within * spec[of];
      work[of] += within * spec[of] * runS;
      if (taken[of] <= 0) continue;
      const meanS = work[of] / taken[of];
      startsInS = Math.max(
        startsInS,
        pools[of].earliestFreeS(spec[of]),
        pools[of].earliestStartedS(taken[of], meanS),
      );
    }
    if (within > 0) {
      g.recordUnplaced(job, within, startsInS, true);
    }
    const limited = job.pendingCount - within;
    if (limited > 0) g.recordUnplaced(job, limited, Infinity, false);
  }
}

/** Whether it depends on which machines come free, not only on how much of them. */
function isMachineBound(s: JobSpec): boolean {
  return s.kind !== 'array' || !s.spot || s.zone !== null || s.types !== null || s.oneZone || s.spread;
}
