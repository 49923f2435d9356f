/**
 * Amounts of resources and quotas within one scheduling pass.
 *
 * @module
 */

import { EPSILON } from '@spurbridge/model';
import type { JobSpec } from '@spurbridge/wire';

/** The resources that bound when a job can be done, beside memory. */
export type ResourceDimension = 'cpus' | 'gpus';

/** What a task requests. */
export interface ResourceRequest {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** What remains of a team's limit. */
export interface Quota {
  cpus: number;
  gpus: number;
}

/** No task is estimated to run for less than this. */
export const MIN_RUN_S = 0.5;

const CPUS_ONLY: readonly ResourceDimension[] = ['cpus'];
const CPUS_AND_GPUS: readonly ResourceDimension[] = ['cpus', 'gpus'];

/** The resources that a job needs at all. */
export function neededDimensions(spec: JobSpec): readonly ResourceDimension[] {
  return spec.gpus > 0 ? CPUS_AND_GPUS : CPUS_ONLY;
}

/** Whether so many tasks of the job fit into what remains of its team's limit. */
export function fitsQuota(spec: JobSpec, taskCount: number, quota: Quota): boolean {
  return spec.cpus * taskCount <= quota.cpus + EPSILON && spec.gpus * taskCount <= quota.gpus + EPSILON;
}

/** Takes one task of the job from what remains of its team's limit. */
export function takeQuota(spec: JobSpec, quota: Quota): void {
  quota.cpus -= spec.cpus;
  quota.gpus -= spec.gpus;
}
