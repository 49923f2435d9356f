/**
 * The admission state of deferrable jobs.
 *
 * @module
 */
import type { JobId } from '@spurbridge/wire';

/** `undecided`: not evaluated yet. `waiting`: deferred. `admitted`: scheduled like any other job. */
export type AdmissionState = 'undecided' | 'waiting' | 'admitted';

/** Admission states of deferrable jobs until they start or end. A job without an entry is admitted. */
export class AdmissionStates {
  private readonly states = new Map<JobId, AdmissionState>();

  get(job: JobId): AdmissionState | undefined {
    return this.states.get(job);
  }

  set(job: JobId, state: AdmissionState): void {
    this.states.set(job, state);
  }

  /** @returns whether the job was there */
  remove(job: JobId): boolean {
    return this.states.delete(job);
  }

  has(job: JobId): boolean {
    return this.states.has(job);
  }

  /** Whether the job may be scheduled. */
  isAdmitted(job: JobId): boolean {
    const state = this.states.get(job);
    return state === undefined || state === 'admitted';
  }

  /** Jobs that are not admitted, in the order in which they were added. */
  notAdmitted(): JobId[] {
    return [...this.states.keys()].filter((job) => !this.isAdmitted(job));
  }

  /** How many jobs are deferred. */
  get waitingCount(): number {
    return [...this.states.values()].filter((state) => state === 'waiting').length;
  }
}
