/**
 * How much of a machine tasks take: the resource that runs out first counts.
 *
 * @module
 */

import { fitsMachineType } from '@spurbridge/model';
import type { JobSpec, MachineType } from '@spurbridge/wire';

/** Amounts of the resources that tasks take. */
export interface Resources {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Stands for a request of nothing, and for the error of sums of decimals. */
const TINY_AMOUNT = 1e-9;

/** How many tasks of this size fit into free resources. */
export function countFittingTasks(spec: JobSpec, free: Resources): number {
  return Math.min(
    Math.floor(free.cpus / Math.max(spec.cpus, TINY_AMOUNT) + TINY_AMOUNT),
    Math.floor(free.memoryGb / Math.max(spec.memoryGb, TINY_AMOUNT) + TINY_AMOUNT),
    spec.gpus > 0 ? Math.floor(free.gpus / spec.gpus + TINY_AMOUNT) : Infinity,
  );
}

/**
 * What a task takes of the machines that it fits, in CPUs: where accelerators or memory run out first, its CPUs alone say too
 * little.
 */
export function effectiveCpus(spec: JobSpec, types: readonly MachineType[]): number {
  let least = Infinity;
  for (const type of types)
    if (fitsMachineType(spec, type)) least = Math.min(least, dominantShare(spec, type) * type.cpus);
  return least === Infinity ? spec.cpus : least;
}

/** The largest share that a request takes of any resource of a machine. */
export function dominantShare(request: Resources, type: MachineType): number {
  return Math.max(
    shareOf(request.cpus, type.cpus),
    shareOf(request.gpus, type.gpus),
    shareOf(request.memoryGb, type.memoryGb),
  );
}

function shareOf(requested: number, total: number): number {
  return requested > 0 ? requested / total : 0;
}
