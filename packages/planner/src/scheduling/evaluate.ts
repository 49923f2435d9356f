import type { JobView } from '../cluster-snapshot.js';
import { NumberHeap } from '../heap.js';
import type { SchedulingPass } from './scheduling-pass.js';
import { COST_GRAIN_S } from './scheduling-pass.js';
import type { MachineQueue } from './machine-queue.js';
import type { EarliestStartIndex } from './earliest-start-index.js';
import type { TaskAssignment, JobEvaluation } from './types.js';
import { isMachineAllowed, imageFetchS } from './types.js';

/** A service that takes a whole task's place on a machine is worth waiting this long to avoid. */
const FRAGMENT_S = 2;
/** A service that would serve later than its aim rather takes a whole task's place. */
const MISS_S = 3;
/** Where money counts, work that may use spot machines takes them even if it ends this much later. */
const DEAR_S = 4;
/**
 * Room for a gang is taken to come free later than estimated, the more so the longer it has waited: gangs
 * had waited 50 to 100 s for machines that hold their image, always about to be free, beside empty ones.
 */
const GANG_DOUBT_S = 5;
const GANG_DOUBT_AGE_S = 15;
/** More than the tasks of one job that a plan puts on one machine. */
const USES = 1024;

/** Queues that are looked at in turn. */
interface Front {
  readonly heap: NumberHeap;
  readonly order: EarliestStartIndex;
  /** The next place in the order that was not looked at. */
  next: number;
}

/** Where each task would go, and when the job would complete; changes nothing. */
export function evaluate(g: SchedulingPass, job: JobView): JobEvaluation {
  const spec = job.spec;
  if (spec.oneZone) {
    let best: JobEvaluation | null = null;
    const held = job.placedZones[0];
    const zones = held !== undefined ? [held] : [...new Set(g.snapshot.machines.map((m) => m.zone))];
    for (const zone of zones) {
      const e = evaluateIn(g, job, zone);
      if (best === null || e.unplacedCount < best.unplacedCount || e.completionS < best.completionS) best = e;
    }
    if (best !== null) return best;
  }
  return evaluateIn(g, job, null);
}

/** Estimates the start and end of a task in a queue; false when it never fits there. */
export function estimate(g: SchedulingPass, job: JobView, at: number, q: MachineQueue): boolean {
  const { spec } = job;
  const m = q.machine;
  g.queueVisits += 1;
  const startS = q.earliestStart(spec);
  if (startS === Infinity) return false;
  const service = spec.kind === 'service';
  const busy = startS + imageFetchS(job, m);
  // A service never completes: what counts for it is when it serves.
  const endS = service ? busy : busy + Math.max(job.estimateS, 0.5) * m.slowness;
  let costS = endS + (g.snapshot.isCostAware && spec.spot && !m.spot ? DEAR_S : 0);
  if (spec.kind === 'gang') {
    // A gang waits for the slowest of its places, and estimates of what runs there are off.
    if (startS > 0) costS += GANG_DOUBT_S + startS * (1 + job.ageS / GANG_DOUBT_AGE_S);
  }
  if (service) {
    if (g.snapshot.typicalTask !== null) costS += q.slotsLost(spec, g.snapshot.typicalTask) * FRAGMENT_S;
    if (endS > job.toleratedWaitS) costS += MISS_S;
  }
  g.startsS[at] = startS;
  g.endsS[at] = endS;
  g.costBuckets[at] = Math.floor(costS / COST_GRAIN_S);
  return true;
}

export function evaluateIn(g: SchedulingPass, job: JobView, zone: string | null): JobEvaluation {
  const spec = job.spec;
  const service = spec.kind === 'service';
  const balanced = spec.spread || service;
  const changed = new Map<number, { before: MachineQueue; after: MachineQueue }>();
  const perZone = new Int32Array(g.zones.length);
  for (const z of job.placedZones) {
    const i = g.zones.indexOf(z);
    if (i >= 0) perZone[i] = (perZone[i] as number) + 1;
  }
  const zoneMost = spec.spread ? Math.ceil(spec.tasks / 2) : Infinity;
  const n = g.queues.length;
  const { taskCounts: uses, preferenceRanks: place } = g;
  // Cost, use and rank in one number, so that comparing machines is comparing numbers.
  const key = (at: number): number =>
    ((g.costBuckets[at] as number) * USES + (balanced ? (uses[at] as number) : 0)) * n +
    (place[at] as number);
  // One heap of machines for each zone where the zones are to be balanced, otherwise one for all.
  const zones = zone !== null ? [zone] : balanced ? g.zones : [null];
  const fronts = zones.map((z) => ({ heap: new NumberHeap(), order: g.startIndex(spec, z), next: 0 }));
  const frontOf = (at: number): Front =>
    fronts[zones.length > 1 ? (g.zoneIndexes[at] as number) : 0] as Front;
  const leastRunS = service ? 0 : Math.max(job.estimateS, 0.5) * g.leastSlowness;
  // Queues come into the heap only as far as their lower bound is no worse than what is on top of it.
  const fill = (f: Front): void => {
    const { heap, order } = f;
    while (f.next < order.size) {
      const top = heap.peek();
      const at = order.queueIndexes[f.next] as number;
      const least =
        Math.floor(((order.earliestStartsS[f.next] as number) + leastRunS) / COST_GRAIN_S) * USES * n;
      // The plain plan looks at all of them.
      if (top !== undefined && least + (place[at] as number) > top && g.options.exhaustive !== true) return;
      const q = g.queues[at] as MachineQueue;
      order.recordVisit(f.next, q);
      f.next += 1;
      const m = q.machine;
      if (!isMachineAllowed(job, m) || (job.excludedMachines.size > 0 && job.excludedMachines.has(m.id)))
        continue;
      uses[at] = 0;
      if (estimate(g, job, at, q)) heap.push(key(at));
    }
  };
  const choices: TaskAssignment[] = [];
  let completionS = 0;
  for (const task of job.pendingTasks) {
    let best = -1;
    let least = Infinity;
    for (const [i, f] of fronts.entries()) {
      // A zone that may take no more need not be looked at.
      if (balanced && zone === null && (perZone[i] as number) >= zoneMost) continue;
      fill(f);
      const top = f.heap.peek();
      if (top === undefined) continue;
      const at = g.queuesByPreference[top % n] as number;
      const inZone = perZone[g.zoneIndexes[at] as number] as number;
      if (inZone >= zoneMost) continue;
      if (best >= 0 && balanced) {
        const costs = Math.floor(top / (USES * n)) - Math.floor(least / (USES * n));
        const byZone = inZone - (perZone[g.zoneIndexes[best] as number] as number);
        if ((costs || byZone || top - least) >= 0) continue;
      }
      best = at;
      least = top;
    }
    if (best < 0) break;
    let q = changed.get(best);
    if (q === undefined) {
      const before = g.queues[best] as MachineQueue;
      q = { before, after: before.copy() };
      changed.set(best, q);
    }
    const startS = g.startsS[best] as number;
    const endS = g.endsS[best] as number;
    choices.push({ task, queueIndex: best, startS, endS });
    completionS = Math.max(completionS, endS);
    q.after.add(spec, startS, service ? Infinity : endS);
    uses[best] = (uses[best] as number) + 1;
    const z = g.zoneIndexes[best] as number;
    perZone[z] = (perZone[z] as number) + 1;
    const { heap } = frontOf(best);
    if (estimate(g, job, best, q.after)) heap.replaceTop(key(best));
    else heap.pop();
  }
  const unplaced = job.pendingTasks.length - choices.length;
  if (unplaced > 0) completionS = Infinity;
  else if (job.pendingCount > job.pendingTasks.length)
    completionS *= job.pendingCount / job.pendingTasks.length;
  return {
    job,
    completionS,
    assignments: choices,
    changedQueues: changed,
    unplacedCount: unplaced,
    passRevision: g.revision,
  };
}
