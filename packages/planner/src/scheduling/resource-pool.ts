/**
 * All machines as one pool of a resource: bounds and estimates of when work can be done that need no look at single machines.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { MachineQueue } from './machine-queue.js';
import type { ResourceDimension } from './resources.js';
import { MIN_RUN_S } from './resources.js';

/** What would start later than this counts as never starting. */
const HORIZON_S = 4096;
/** What comes free is counted in buckets of this length, never later than it does: the pool is a lower bound. */
const GRAIN_S = 0.25;
/** What comes free after so many buckets is counted in the last one. */
const GRAIN_COUNT = 4096;
/** How often the interval of a start is halved to find it. */
const BISECTION_STEPS = 8;

/** A resource that comes free over time, over all queues together. No queue can be better than the pool. */
export class ResourcePool {
  /** Times at which something comes free, in seconds from now, rising. */
  private readonly timesS: number[] = [0];
  /** What is free from each of these times on, if nothing takes any. */
  private readonly freeAmounts: number[] = [0];
  /** How much work, as amount times seconds, the pool can have done by each of these times. */
  private readonly suppliedWork: number[] = [0];

  constructor(queues: readonly MachineQueue[], dimension: ResourceDimension) {
    const releases = new Float64Array(GRAIN_COUNT + 1);
    for (const queue of queues) queue.addReleasesTo(releases, dimension, GRAIN_S);
    this.freeAmounts[0] = releases[0] as number;
    for (let grain = 1; grain <= GRAIN_COUNT; grain += 1) {
      const amount = releases[grain] as number;
      if (amount !== 0) this.addRelease(grain * GRAIN_S, amount);
    }
  }

  private addRelease(timeS: number, amount: number): void {
    const last = this.timesS.length - 1;
    const spanS = timeS - (this.timesS[last] as number);
    const lastAmount = this.freeAmounts[last] as number;
    this.suppliedWork.push((this.suppliedWork[last] as number) + spanS * lastAmount);
    this.freeAmounts.push(lastAmount + amount);
    this.timesS.push(timeS);
  }

  /** When this much is free together for the first time if nothing takes any; Infinity for never. */
  earliestFreeS(amount: number): number {
    return this.timesS[indexOfAtLeast(this.freeAmounts, amount - EPSILON)] ?? Infinity;
  }

  /** When the pool can have done this much work at the earliest. */
  earliestDoneS(work: number): number {
    const index = Math.max(0, indexOfAtLeast(this.suppliedWork, work) - 1);
    const amount = this.freeAmounts[index] as number;
    const remainingWork = work - (this.suppliedWork[index] as number);
    if (remainingWork <= 0) return this.timesS[index] as number;
    return amount <= 0 ? Infinity : (this.timesS[index] as number) + remainingWork / amount;
  }

  /**
   * When this much can have been started if each part of it is used for `runS`: what comes free can be taken again after that. The
   * bound by work alone lets tasks start before anything is free for them, and machines for a burst were requested a minute late.
   */
  earliestStartedS(amount: number, runS: number): number {
    const wanted = amount - EPSILON;
    if (this.startedBy(0, amount, runS) >= wanted) return 0;
    let lateS = 1;
    while (this.startedBy(lateS, amount, runS) < wanted) {
      lateS *= 2;
      if (lateS > HORIZON_S) return Infinity;
    }
    let earlyS = lateS / 2;
    for (let step = 0; step < BISECTION_STEPS; step += 1) {
      const middleS = (earlyS + lateS) / 2;
      if (this.startedBy(middleS, amount, runS) < wanted) earlyS = middleS;
      else lateS = middleS;
    }
    return lateS;
  }

  /** How much can have been started by a time; the sum stops once it reaches `enough`. */
  private startedBy(timeS: number, enough: number, runS: number): number {
    const stepS = Math.max(runS, MIN_RUN_S);
    let started = 0;
    for (let atS = timeS; atS >= 0 && started < enough; atS -= stepS) started += this.freeAt(atS);
    return started;
  }

  private freeAt(timeS: number): number {
    const index = indexOfAtLeast(this.timesS, timeS + EPSILON);
    return index === 0 ? 0 : (this.freeAmounts[index - 1] as number);
  }
}

/** The index of the first of these rising values that is at least `wanted`; their number when there is none. */
function indexOfAtLeast(values: readonly number[], wanted: number): number {
  let low = 0;
  let high = values.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((values[middle] as number) < wanted) low = middle + 1;
    else high = middle;
  }
  return low;
}
