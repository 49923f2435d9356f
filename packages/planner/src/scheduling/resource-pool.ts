/**
 * Treats all machines as one pool of a resource. The pool yields bounds and estimates of when work can be done,
 * without visiting single machines.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { MachineQueue } from './machine-queue.js';
import type { ResourceDimension } from './resources.js';
import { MIN_RUN_S } from './resources.js';

/** The search for a start stops at this many seconds from now; a later start counts as never. */
const HORIZON_S = 4096;
/**
 * Bucket length in seconds. Amounts are counted at the start of the bucket in which they become free, so that
 * the pool yields lower bounds.
 */
const BUCKET_S = 0.25;
/** The index of the last bucket; amounts that become free later are counted in it. */
const LAST_BUCKET = 4096;
/** The number of bisection steps in the search for a start. */
const BISECTION_STEPS = 8;

/**
 * The amount of a resource that becomes free over time, summed over all queues. No single queue can have more
 * free resources than the pool.
 */
export class ResourcePool {
  /** The times at which amounts become free, in seconds from now, ascending. */
  private readonly timesS: number[] = [0];
  /** The amount that is free from each of these times on if no task takes any. */
  private readonly freeAmounts: number[] = [0];
  /** The work (amount times seconds) that the pool can have done by each of these times. */
  private readonly suppliedWork: number[] = [0];

  constructor(queues: readonly MachineQueue[], dimension: ResourceDimension) {
    const releases = new Float64Array(LAST_BUCKET + 1);
    for (const queue of queues) queue.addReleasesTo(releases, dimension, BUCKET_S);
    this.freeAmounts[0] = releases[0] as number;
    for (let bucket = 1; bucket <= LAST_BUCKET; bucket += 1) {
      const amount = releases[bucket] as number;
      if (amount !== 0) this.addRelease(bucket * BUCKET_S, amount);
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

  /** The earliest time at which this amount is free at the same time if no task takes any; Infinity for never. */
  earliestFreeS(amount: number): number {
    return this.timesS[indexOfAtLeast(this.freeAmounts, amount - EPSILON)] ?? Infinity;
  }

  /** The earliest time by which the pool can have done this much work. */
  earliestDoneS(work: number): number {
    const index = Math.max(0, indexOfAtLeast(this.suppliedWork, work) - 1);
    const amount = this.freeAmounts[index] as number;
    const remainingWork = work - (this.suppliedWork[index] as number);
    if (remainingWork <= 0) return this.timesS[index] as number;
    return amount <= 0 ? Infinity : (this.timesS[index] as number) + remainingWork / amount;
  }

  /**
   * The earliest time by which tasks of this total amount can have started if each uses its resources for
   * `runS` seconds and then frees them. A bound from the total work alone assumes starts before any resources
   * are free; with it, machines for a burst were requested a minute late.
   */
  earliestStartedS(amount: number, runS: number): number {
    const wanted = amount - EPSILON;
    if (this.startedBy(0, amount, runS) >= wanted) return 0;
    let upperS = 1;
    while (this.startedBy(upperS, amount, runS) < wanted) {
      upperS *= 2;
      if (upperS > HORIZON_S) return Infinity;
    }
    let lowerS = upperS / 2;
    for (let step = 0; step < BISECTION_STEPS; step += 1) {
      const middleS = (lowerS + upperS) / 2;
      if (this.startedBy(middleS, amount, runS) < wanted) lowerS = middleS;
      else upperS = middleS;
    }
    return upperS;
  }

  /** The amount that can have been started by a time; the sum stops once it reaches `enough`. */
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

/**
 * The index of the first of these ascending values that is at least `wanted`; their number if there is none.
 */
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
