/**
 * The ranking of the queues in which the next task of a job could be placed. A queue is always named by its index,
 * and its cost is only compared: however large a cost is, it cannot turn one queue into another.
 *
 * @module
 */

import type { QueueEstimates } from './scheduling-pass.js';

/** Ranks queues by cost, then by the number of the job's tasks in them if these are balanced, then by preference. */
export class QueueRanking {
  /** Compares two queues by their indexes; negative if the first is better. Never 0 for different queues. */
  readonly compare = (first: number, second: number): number => {
    const { costBuckets, taskCounts } = this.estimates;
    const firstCost = costBuckets[first] as number;
    const secondCost = costBuckets[second] as number;
    // Not their difference, which is no number if both are infinite.
    if (firstCost !== secondCost) return firstCost < secondCost ? -1 : 1;
    const byTasks = this.isBalanced ? (taskCounts[first] as number) - (taskCounts[second] as number) : 0;
    return byTasks || (this.preferenceRanks[first] as number) - (this.preferenceRanks[second] as number);
  };

  constructor(
    private readonly estimates: QueueEstimates,
    /** The position of each queue in the order of preference. */
    private readonly preferenceRanks: Int32Array,
    /** Whether the job's tasks are balanced over the queues. */
    private readonly isBalanced: boolean,
  ) {}

  /** Whether a queue that has no task of the job yet, and costs at least `costBucket`, is worse than another one. */
  isWorseAtLeast(queueIndex: number, costBucket: number, other: number): boolean {
    const otherCost = this.estimates.costBuckets[other] as number;
    if (costBucket !== otherCost) return costBucket > otherCost;
    if (this.isBalanced && (this.estimates.taskCounts[other] as number) > 0) return false;
    return (this.preferenceRanks[queueIndex] as number) > (this.preferenceRanks[other] as number);
  }
}
