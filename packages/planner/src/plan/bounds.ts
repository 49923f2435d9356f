import type { JobSpec } from '@spurbridge/wire';
import type { JobView } from '../snapshot.js';
import { evaluate } from './evaluate.js';
import type { Ground } from './ground.js';
import { Pool, pooled } from './pool.js';
import { mayPreempt } from './preempt.js';
import type { Pooled, Queue } from './queue.js';
import { settle } from './settle.js';
import type { Evaluation, Kind } from './types.js';
import { EPSILON } from '@spurbridge/model';
import { allows } from './types.js';

/** Counts the job among those that are alike. */
export function classify(g: Ground, job: JobView): void {
  const { spec } = job;
  const guaranteed = g.guaranteed.has(job);
  const types = spec.types === null ? '' : spec.types.join(',');
  const key = `${spec.kind}|${spec.team}|${spec.priority}|${spec.cpus}|${spec.gpus}|${spec.memoryGb}|${spec.spot}|${spec.zone ?? ''}|${types}|${guaranteed}`;
  let kind = g.kinds.get(key);
  if (kind === undefined) {
    kind = {
      sample: job,
      left: 0,
      order: g.sized(spec, null),
      cursor: 0,
      mayPreempt: mayPreempt(g, job, guaranteed),
    };
    g.kinds.set(key, kind);
  }
  kind.left += 1;
  g.kindOf.set(job, kind);
}

/**
 * Whether nothing that still waits could start now or be made room for. Room only shrinks while
 * planning, so the rest of the order changes nothing any more.
 */
export function exhausted(g: Ground): boolean {
  if (g.options.exhaustive === true) return false;
  for (const [key, k] of g.kinds) {
    const { spec } = k.sample;
    const room = g.room.get(spec.team);
    const within = room !== undefined && spec.cpus <= room.cpus + EPSILON && spec.gpus <= room.gpus + EPSILON;
    if (k.left > 0 && within && (k.mayPreempt || startsNow(g, k))) return false;
    // Neither room nor limits grow again.
    if (k.left === 0 || !within || !k.mayPreempt) g.kinds.delete(key);
  }
  return true;
}

export function startsNow(g: Ground, k: Kind): boolean {
  const headS = g.headS(k.sample);
  const { order } = k;
  for (; k.cursor < order.size && (order.fromS[k.cursor] as number) <= headS; k.cursor += 1) {
    const q = g.queues[order.at[k.cursor] as number] as Queue;
    g.steps += 1;
    if (q.earliestStart(k.sample.spec) <= headS && allows(k.sample, q.machine)) return true;
  }
  return false;
}

/** When all the work that waits could be done, if it were spread evenly over what comes free, in seconds. */
export function drainS(g: Ground, jobs: readonly JobView[]): number {
  let work = 0;
  for (const { spec, pendingCount, estimateS } of jobs)
    if (spec.kind !== 'service') work += spec.cpus * pendingCount * Math.max(estimateS, 0.5);
  return work === 0 ? 0 : poolOf(g, 'cpus').doneAt(work);
}

function poolOf(g: Ground, of: Pooled): Pool {
  let pool = g.pools.get(of);
  if (pool === undefined) {
    pool = new Pool(g.queues, of);
    g.pools.set(of, pool);
  }
  return pool;
}

/** No sooner than this can the job complete. */
export function bound(g: Ground, job: JobView): number {
  if (job.spec.kind === 'service') return 0;
  const { spec } = job;
  const runS = Math.max(job.estimateS, 0.5);
  let completionS = 0;
  for (const of of pooled(spec)) {
    const pool = poolOf(g, of);
    const work = spec[of] * job.pending.length * runS;
    completionS = Math.max(completionS, pool.freeAt(spec[of]) + runS, pool.doneAt(work));
  }
  completionS -= EPSILON;
  return completionS * Math.max(1, job.pendingCount / job.pending.length);
}

/** Whether an evaluation would come out the same now: no queue that it chose has changed since. */
export function holds(g: Ground, e: Evaluation): boolean {
  if (e.epoch === g.epoch) return true;
  if (e.job.spec.kind === 'service') return false;
  for (const [at, q] of e.changed) if (g.queues[at] !== q.before) return false;
  return true;
}

/** Jobs of which nothing can start now: when they would is estimated from the pool of all machines. */
export function leave(g: Ground, jobs: readonly JobView[]): void {
  const pools = { cpus: new Pool(g.queues, 'cpus'), gpus: new Pool(g.queues, 'gpus') };
  const taken = { cpus: 0, gpus: 0 };
  const work = { cpus: 0, gpus: 0 };
  for (const job of jobs) {
    const { spec } = job;
    const kind = g.kindOf.get(job);
    if (kind !== undefined) kind.left -= 1;
    // What only some machines may take is no matter of the pool.
    if (isBound(spec)) {
      settle(g, evaluate(g, job));
      continue;
    }
    const room = g.room.get(spec.team) ?? { cpus: 0, gpus: 0 };
    const runS = Math.max(job.estimateS, 0.5);
    let within = job.pendingCount;
    for (const of of pooled(spec))
      if (spec[of] > 0) within = Math.min(within, Math.floor(room[of] / spec[of] + EPSILON));
    within = Math.max(0, within);
    let startsInS = g.queues.length === 0 ? Infinity : 0;
    for (const of of pooled(spec)) {
      room[of] -= within * spec[of];
      taken[of] += within * spec[of];
      work[of] += within * spec[of] * runS;
      if (taken[of] <= 0) continue;
      const meanS = work[of] / taken[of];
      startsInS = Math.max(startsInS, pools[of].freeAt(spec[of]), pools[of].startedAt(taken[of], meanS));
    }
    if (within > 0) {
      g.waits(job, within, startsInS, true);
    }
    const limited = job.pendingCount - within;
    if (limited > 0) g.waits(job, limited, Infinity, false);
  }
}

/** Whether it depends on which machines come free, not only on how much of them. */
function isBound(s: JobSpec): boolean {
  return s.kind !== 'array' || !s.spot || s.zone !== null || s.types !== null || s.oneZone || s.spread;
}
