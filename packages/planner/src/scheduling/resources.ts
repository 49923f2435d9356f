/**
 * Amounts of resources and quotas within one scheduling pass.
 *
 * @module
 */

import { EPSILON, plannedDurationS } from '@spurbridge/model';
import type { JobSpec } from '@spurbridge/wire';

/** The resources, apart from memory, that bound when a job can be done. */
export type ResourceDimension = 'cpus' | 'gpus';

/** The resources that a task requests. */
export interface ResourceRequest {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** The remaining part of a team's limit. */
export interface Quota {
  cpus: number;
  gpus: number;
}

/** Lower bound of a task's estimated run time in seconds. */
export const MIN_RUN_S = 0.5;

/** The run time of a task that plans calculate with, in seconds: neither too short nor too long for their sums. */
export function plannedRunS(estimateS: number): number {
  return Math.max(MIN_RUN_S, plannedDurationS(estimateS));
}

const CPUS_ONLY: readonly ResourceDimension[] = ['cpus'];
const CPUS_AND_GPUS: readonly ResourceDimension[] = ['cpus', 'gpus'];

/** The resources of which the job requests any. */
export function neededDimensions(spec: JobSpec): readonly ResourceDimension[] {
  return spec.gpus > 0 ? CPUS_AND_GPUS : CPUS_ONLY;
}

/** Whether this number of the job's tasks fits into the remaining quota. */
export function fitsQuota(spec: JobSpec, taskCount: number, quota: Quota): boolean {
  return spec.cpus * taskCount <= quota.cpus + EPSILON && spec.gpus * taskCount <= quota.gpus + EPSILON;
}

/** Subtracts one task of the job from the remaining quota. */
export function takeQuota(spec: JobSpec, quota: Quota): void {
  quota.cpus -= spec.cpus;
  quota.gpus -= spec.gpus;
}
