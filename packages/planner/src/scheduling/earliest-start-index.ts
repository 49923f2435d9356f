import type { JobSpec } from '@spurbridge/wire';
import type { MachineQueue } from './machine-queue.js';

/** Tasks are sorted into classes of at least this many CPUs. */
const CPU_CLASS_BOUNDS = [0, 0.5, 1, 1.5, 2, 3, 4, 5, 6, 8, 12, 16, 24, 32, 48, 64, 96, 128, 192, 256];

/** The class of a task: no task in it is smaller than its sample. */
export function sizeClass(spec: JobSpec): {
  readonly key: string;
  readonly cpus: number;
  readonly gpus: number;
} {
  let cpus = 0;
  for (const c of CPU_CLASS_BOUNDS) if (c <= spec.cpus) cpus = c;
  const gpus = spec.gpus >= 1 ? 1 : 0;
  return { key: `${cpus}/${gpus}`, cpus, gpus };
}

/**
 * Queues in the order of when the smallest task of a class could start in them. Placing only takes room away, so a start
 * found at one time bounds all later ones from below, and whoever looks for the best few queues may stop where the bound
 * is worse than what he has: a plan need not look at all machines for each job.
 */
export class EarliestStartIndex {
  readonly queueIndexes: Int32Array;
  /** For each place in the order: no task of the class starts in that queue before this, in seconds. */
  readonly earliestStartsS: Float64Array;
  /** How many queues may start such a task ever. */
  readonly size: number;
  /** Places looked at whose queue had changed since. */
  staleVisits = 0;
  private readonly indexedQueues: readonly MachineQueue[];

  /** `indices` are in the order by which equal choices are made; so are starts that are equal to `grainS`. */
  constructor(
    queues: readonly MachineQueue[],
    cpus: number,
    gpus: number,
    indices: readonly number[],
    grainS: number,
  ) {
    const need = { cpus, gpus, memoryGb: 0 };
    const starts = new Float64Array(queues.length);
    const byGrain = new Map<number, number[]>();
    for (const i of indices) {
      const s = (queues[i] as MachineQueue).earliestStart(need);
      if (s === Infinity) continue;
      const grain = Math.floor(s / grainS);
      starts[i] = grain * grainS;
      const alike = byGrain.get(grain);
      if (alike === undefined) byGrain.set(grain, [i]);
      else alike.push(i);
    }
    const able = [...byGrain.keys()].sort((a, b) => a - b).flatMap((grain) => byGrain.get(grain) ?? []);
    this.size = able.length;
    this.queueIndexes = Int32Array.from(able);
    this.earliestStartsS = Float64Array.from(able, (i) => starts[i] as number);
    this.indexedQueues = able.map((i) => queues[i] as MachineQueue);
  }

  /** Notes that a place was looked at, and whether its queue is not any more what it was. */
  recordVisit(place: number, now: MachineQueue): void {
    if (this.indexedQueues[place] !== now) this.staleVisits += 1;
  }

  /** Whether too much is looked at in vain: the order is worth being made anew. */
  get isStale(): boolean {
    return this.staleVisits > 64 + 4 * this.size;
  }
}
