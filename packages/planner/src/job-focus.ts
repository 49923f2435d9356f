/**
 * Attributes an error in a plan to the job that was being planned.
 *
 * @module
 */

import type { JobId } from '@spurbridge/wire';
import { JobPlanningError } from './errors.js';

/** Which job a plan is working on. */
export class JobFocus {
  private job: JobId | null = null;

  /** To be called whenever the plan turns to another job. */
  set({ spec }: { readonly spec: { readonly id: JobId } }): void {
    this.job = spec.id;
  }

  /** Runs the plan; an error that it throws is attributed to the job that it was working on, if there was any. */
  run<Result>(plan: () => Result): Result {
    try {
      return plan();
    } catch (error) {
      if (this.job === null || error instanceof JobPlanningError) throw error;
      throw new JobPlanningError(this.job, error);
    }
  }
}
