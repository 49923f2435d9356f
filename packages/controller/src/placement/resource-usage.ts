/**
 * The resources that quotas limit.
 *
 * @module
 */
import type { JobSpec } from '@spurbridge/wire';

/** An amount of the resources that quotas limit. */
export interface ResourceUsage {
  cpus: number;
  gpus: number;
}

/** A usage of zero. */
export function noUsage(): ResourceUsage {
  return { cpus: 0, gpus: 0 };
}

/** Adds what `taskCount` tasks of a job use; a negative count subtracts it. */
export function addTaskUsage(usage: ResourceUsage, spec: JobSpec, taskCount: number): void {
  usage.cpus += spec.cpus * taskCount;
  usage.gpus += spec.gpus * taskCount;
}

/** Returns the usage stored under the key, after adding a usage of zero if there is none. */
export function usageOf<K>(usages: Map<K, ResourceUsage>, key: K): ResourceUsage {
  let usage = usages.get(key);
  if (usage === undefined) {
    usage = noUsage();
    usages.set(key, usage);
  }
  return usage;
}
