/**
 * Errors of the planner.
 *
 * @module
 */

import type { JobId } from '@spurbridge/wire';
import { SpurbridgeError } from '@spurbridge/wire';

/** A plan failed on one job. Without that job, the others can be planned. */
export class JobPlanningError extends SpurbridgeError {
  constructor(
    readonly job: JobId,
    cause: unknown,
  ) {
    super('JOB_PLANNING_FAILED', `the plan failed on job ${job}: ${describe(cause)}`, { cause });
  }
}

function describe(cause: unknown): string {
  return cause instanceof Error ? (cause.stack ?? cause.message) : String(cause);
}
