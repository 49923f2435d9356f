/**
 * The queues in which the next task of a job could be placed, the best on top. A queue is always named by its index, and
 * its cost is only compared: however large a cost is, it cannot turn one queue into another.
 *
 * @module
 */

import type { QueueEstimates } from './scheduling-pass.js';

/**
 * A binary heap of queue indexes, ordered by the estimated cost of the queues, then by the number of the job's tasks in
 * them if these are balanced, then by preference. A cost or a number of tasks may change only while its queue is on top,
 * before `replaceTop`. It compares without calling a comparator, since every evaluation of a job fills such heaps.
 */
export class QueueHeap {
  private readonly queues: number[] = [];
  private readonly costBuckets: Float64Array;
  private readonly taskCounts: Int32Array;

  constructor(
    estimates: QueueEstimates,
    /** The position of each queue in the order of preference. */
    private readonly preferenceRanks: Int32Array,
    /** Whether the job's tasks are balanced over the queues. */
    private readonly isBalanced: boolean,
  ) {
    this.costBuckets = estimates.costBuckets;
    this.taskCounts = estimates.taskCounts;
  }

  /** The best queue; undefined when the heap is empty. */
  peek(): number | undefined {
    return this.queues[0];
  }

  /** Whether the first queue is better than the second. */
  isBetter(first: number, second: number): boolean {
    const firstCost = this.costBuckets[first] as number;
    const secondCost = this.costBuckets[second] as number;
    if (firstCost !== secondCost) return firstCost < secondCost;
    if (this.isBalanced) {
      const byTasks = (this.taskCounts[first] as number) - (this.taskCounts[second] as number);
      if (byTasks !== 0) return byTasks < 0;
    }
    return (this.preferenceRanks[first] as number) < (this.preferenceRanks[second] as number);
  }

  /** Whether a queue that has no task of the job yet, and costs at least `costBucket`, is worse than the best one. */
  isWorseThanTop(queue: number, costBucket: number): boolean {
    const best = this.queues[0];
    if (best === undefined) return false;
    const bestCost = this.costBuckets[best] as number;
    if (costBucket !== bestCost) return costBucket > bestCost;
    if (this.isBalanced && (this.taskCounts[best] as number) > 0) return false;
    return (this.preferenceRanks[queue] as number) > (this.preferenceRanks[best] as number);
  }

  /** Adds a queue. */
  push(queue: number): void {
    const { queues } = this;
    let index = queues.push(queue) - 1;
    while (index > 0) {
      const parentIndex = (index - 1) >> 1;
      const parent = queues[parentIndex] as number;
      if (!this.isBetter(queue, parent)) break;
      queues[index] = parent;
      index = parentIndex;
    }
    queues[index] = queue;
  }

  /** Restores the order after the estimate of the best queue has changed, or replaces that queue. */
  replaceTop(queue: number): void {
    const { queues } = this;
    const size = queues.length;
    let index = 0;
    for (;;) {
      let childIndex = index * 2 + 1;
      if (childIndex >= size) break;
      let child = queues[childIndex] as number;
      const right = queues[childIndex + 1];
      if (right !== undefined && this.isBetter(right, child)) {
        childIndex += 1;
        child = right;
      }
      if (!this.isBetter(child, queue)) break;
      queues[index] = child;
      index = childIndex;
    }
    queues[index] = queue;
  }

  /** Removes the best queue; an empty heap stays empty. */
  pop(): void {
    const last = this.queues.pop();
    if (last !== undefined && this.queues.length > 0) this.replaceTop(last);
  }
}
