import type { JobSpec } from '@spurbridge/wire';
import type { ResourceDimension, MachineQueue } from './machine-queue.js';
import { EPSILON } from '@spurbridge/model';

/** Beyond this, when something starts is as good as never. */
const HORIZON_S = 4096;
/** What comes free is counted by this much of time, never later than it does: the pool bounds from below. */
const TIME_GRAIN_S = 0.25;
/** What comes free later than this is counted there. */
const GRAIN_COUNT = 4096;

/** A resource coming free over time, as one pool: what no queue can beat. */
export class ResourcePool {
  private readonly timesS: number[] = [0];
  private readonly freeAmounts: number[] = [0];
  /** How much of it, times seconds, the pool has given by each of these times. */
  private readonly suppliedWork: number[] = [0];

  constructor(queues: readonly MachineQueue[], of: ResourceDimension) {
    const grains = new Float64Array(GRAIN_COUNT + 1);
    for (const q of queues) q.addReleasesTo(of, grains, TIME_GRAIN_S);
    this.freeAmounts[0] = grains[0] as number;
    let last = 0;
    for (let i = 1; i <= GRAIN_COUNT; i += 1) {
      const amount = grains[i] as number;
      if (amount === 0) continue;
      const atS = i * TIME_GRAIN_S;
      const span = atS - (this.timesS[last] as number);
      this.suppliedWork.push((this.suppliedWork[last] as number) + span * (this.freeAmounts[last] as number));
      this.freeAmounts.push((this.freeAmounts[last] as number) + amount);
      this.timesS.push(atS);
      last += 1;
    }
  }

  /** When this much is free together at first, if nothing takes any. */
  earliestFreeS(amount: number): number {
    const i = firstAtLeast(this.freeAmounts, amount - EPSILON);
    return this.timesS[i] ?? Infinity;
  }

  /**
   * When this much can have been started, each part of it held for `runS`: what comes free may be taken
   * again after that. The bound by work alone let tasks start before anything was free for them, and a
   * burst was rented for a minute late.
   */
  earliestStartedS(amount: number, runS: number): number {
    const started = (atS: number): number => {
      let sum = 0;
      for (let t = atS; t >= 0 && sum < amount; t -= Math.max(runS, 0.5)) sum += this.amountAt(t);
      return sum;
    };
    const wanted = amount - EPSILON;
    if (started(0) >= wanted) return 0;
    let late = 1;
    while (started(late) < wanted) {
      late *= 2;
      if (late > HORIZON_S) return Infinity;
    }
    let early = late / 2;
    for (let i = 0; i < 8; i += 1) {
      const middle = (early + late) / 2;
      if (started(middle) < wanted) early = middle;
      else late = middle;
    }
    return late;
  }

  private amountAt(t: number): number {
    const i = firstAtLeast(this.timesS, t + EPSILON);
    return i === 0 ? 0 : (this.freeAmounts[i - 1] as number);
  }

  /** When the pool can have given this much work at the earliest. */
  earliestDoneS(work: number): number {
    const i = firstAtLeast(this.suppliedWork, work);
    const from = Math.max(0, i - 1);
    const amount = this.freeAmounts[from] as number;
    const rest = work - (this.suppliedWork[from] as number);
    if (rest <= 0) return this.timesS[from] as number;
    return amount <= 0 ? Infinity : (this.timesS[from] as number) + rest / amount;
  }
}

/** Index of the first of these rising values that is no less; their number when there is none. */
function firstAtLeast(values: readonly number[], wanted: number): number {
  let low = 0;
  let high = values.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((values[middle] as number) < wanted) low = middle + 1;
    else high = middle;
  }
  return low;
}

/** The resources that bound when a job can be done. */
export function pooledDimensions(s: JobSpec): readonly ResourceDimension[] {
  return s.gpus > 0 ? ['cpus', 'gpus'] : ['cpus'];
}
