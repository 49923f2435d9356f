/**
 * An index of the queues by the earliest start of a task of a given size, so that a job need not visit all
 * machines.
 *
 * @module
 */

import type { JobSpec } from '@spurbridge/wire';
import type { MachineQueue } from './machine-queue.js';
import type { ResourceRequest } from './resources.js';

/** The smallest request in CPUs of each size class. */
const CPU_CLASS_BOUNDS = [0, 0.5, 1, 1.5, 2, 3, 4, 5, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256];
/** An index is rebuilt after this many stale visits plus `STALE_VISITS_PER_QUEUE` for each queue in it. */
const MIN_STALE_VISITS = 64;
const STALE_VISITS_PER_QUEUE = 4;

/** A class of tasks of similar size; `request` is the lower bound of their sizes. */
export interface SizeClass {
  readonly key: string;
  readonly request: ResourceRequest;
}

/** The size class of a job's tasks. */
export function sizeClassOf(spec: JobSpec): SizeClass {
  let cpus = 0;
  for (const bound of CPU_CLASS_BOUNDS) if (bound <= spec.cpus) cpus = bound;
  const gpus = spec.gpus >= 1 ? 1 : 0;
  return { key: `${cpus}/${gpus}`, request: { cpus, gpus, memoryGb: 0 } };
}

/**
 * The queues, ordered by the earliest start of the smallest task of a size class. During a pass, placing
 * tasks can only delay later starts, so a start stays a lower bound for the rest of the pass. A search for the
 * best queue can stop as soon as this bound is worse than the best queue found.
 */
export class EarliestStartIndex {
  /** The indexes of the queues in the pass, in this order. */
  readonly queueIndexes: Int32Array;
  /**
   * For each position, the lower bound of the start of any task of the class in that queue, in seconds from
   * now.
   */
  readonly earliestStartsS: Float64Array;
  /** The number of queues in which such a task can ever start. */
  readonly size: number;
  /** The number of visits of queues that had changed since the index was built. */
  private staleVisits = 0;
  private readonly indexedQueues: readonly MachineQueue[];

  /**
   * @param request - the request of the smallest task of the class.
   * @param queuesByPreference - the indexes of the queues to include; queues with equal starts keep this
   * order.
   * @param bucketS - the bucket length in seconds; starts in the same bucket count as equal.
   */
  constructor(
    queues: readonly MachineQueue[],
    request: ResourceRequest,
    queuesByPreference: readonly number[],
    bucketS: number,
  ) {
    const startsS = new Float64Array(queues.length);
    const indexesByBucket = new Map<number, number[]>();
    for (const index of queuesByPreference) {
      const startS = (queues[index] as MachineQueue).earliestStart(request);
      if (startS === Infinity) continue;
      const bucket = Math.floor(startS / bucketS);
      startsS[index] = bucket * bucketS;
      const sameBucket = indexesByBucket.get(bucket);
      if (sameBucket === undefined) indexesByBucket.set(bucket, [index]);
      else sameBucket.push(index);
    }
    const buckets = [...indexesByBucket.keys()].sort((first, second) => first - second);
    const indexes = buckets.flatMap((bucket) => indexesByBucket.get(bucket) ?? []);
    this.size = indexes.length;
    this.queueIndexes = Int32Array.from(indexes);
    this.earliestStartsS = Float64Array.from(indexes, (index) => startsS[index] as number);
    this.indexedQueues = indexes.map((index) => queues[index] as MachineQueue);
  }

  /** Records a visit of the queue at a position; `queue` is its present version. */
  recordVisit(position: number, queue: MachineQueue): void {
    if (this.indexedQueues[position] !== queue) this.staleVisits += 1;
  }

  /** Whether enough visits were stale that rebuilding the index pays off. */
  get isStale(): boolean {
    return this.staleVisits > MIN_STALE_VISITS + STALE_VISITS_PER_QUEUE * this.size;
  }
}
