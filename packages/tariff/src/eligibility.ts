/**
 * Which jobs may be deferred.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import type { JobSpec } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';

/** Whether a job may be deferred: it has a deadline and an estimate, is not urgent, and has not started. */
export function isDeferrable(job: Job, classes: readonly string[] | null): boolean {
  const { spec } = job;
  if (spec.kind === 'service' || spec.deadlineS === null || spec.estimateS <= 0) return false;
  if (isUrgent(spec)) return false;
  if (classes !== null && !classes.includes(spec.class)) return false;
  return job.state === 'active' && !mayHaveStarted(job);
}

/** Whether a job's priority excludes it from deferral. */
export function isUrgent(spec: JobSpec): boolean {
  return spec.priority === 'production' || spec.priority === 'high';
}

/** Whether a task of the job may ever have been started; such a job is never deferred. */
export function mayHaveStarted(job: Job): boolean {
  return job.doneCount > 0 || job.placements.size > 0 || job.chunks.some((chunk) => chunk.attemptsIssued > 0);
}

/** Whether the key-value store has a record of the job's tasks. */
export function hasTaskRecord(job: Job): boolean {
  return job.chunks.some((chunk) => chunk.version !== KEY_ABSENT);
}
