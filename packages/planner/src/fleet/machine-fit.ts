/**
 * How much of a machine tasks take, determined by the resource that runs out first.
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

/** Used in place of a request of zero, and as tolerance for rounding errors in sums of decimals. */
const TINY_AMOUNT = 1e-9;

/** How many of the job's tasks fit into free resources. */
export function countFittingTasks(spec: JobSpec, free: Resources): number {
  return Math.min(
    Math.floor(free.cpus / Math.max(spec.cpus, TINY_AMOUNT) + TINY_AMOUNT),
    Math.floor(free.memoryGb / Math.max(spec.memoryGb, TINY_AMOUNT) + TINY_AMOUNT),
    spec.gpus > 0 ? Math.floor(free.gpus / spec.gpus + TINY_AMOUNT) : Infinity,
  );
}

/**
 * The CPU equivalent of a task: its dominant share of a machine multiplied by the machine's CPUs, the least
 * over all types that it fits. Its requested CPUs alone would be too low where accelerators or memory run out
 * first.
 */
export function effectiveCpus(spec: JobSpec, types: readonly MachineType[]): number {
  let least = Infinity;
  for (const type of types)
    if (fitsMachineType(spec, type)) least = Math.min(least, dominantShare(spec, type) * type.cpus);
  return least === Infinity ? spec.cpus : least;
}

/** The largest share of any of the machine's resources that a request takes. */
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
