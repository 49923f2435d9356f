/**
 * Treats all machines as one pool of a resource, for bounds and estimates of when work can be done without
 * visiting single machines.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { MachineQueue } from './machine-queue.js';
import type { ResourceDimension } from './resources.js';
import { MIN_RUN_S } from './resources.js';

/** A start later than this, in seconds from now, counts as never. */
const HORIZON_S = 4096;
/**
 * Bucket length in seconds. Amounts are counted at the start of the bucket in which they become free, never
 * later, so that the pool yields lower bounds.
 */
const GRAIN_S = 0.25;
/** The number of buckets; what becomes free later is counted in the last one. */
const GRAIN_COUNT = 4096;
/** The number of bisection steps in the search for a start. */
const BISECTION_STEPS = 8;

/**
 * The amount of a resource that becomes free over time, summed over all queues: a bound that no single queue
 * can beat.
 */
export class ResourcePool {
  /** The times at which amounts become free, in seconds from now, ascending. */
  private readonly timesS: number[] = [0];
  /** The amount that is free from each of these times on if nothing takes any. */
  private readonly freeAmounts: number[] = [0];
  /** How much work (amount times seconds) the pool can have done by each of these times. */
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

  /** The earliest time at which this amount is free together if nothing takes any; Infinity for never. */
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
   * The earliest time by which this amount can have been started if each part of it is used for `runS`
   * seconds and is free again afterwards. The bound by work alone assumes starts before anything is free, and
   * machines for a burst were requested a minute late.
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
