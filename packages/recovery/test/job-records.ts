/**
 * Generated job records for the tests of replicas and contributions.
 *
 * @module
 */
import fc from 'fast-check';
import { encodeJob } from '@spurbridge/model';
import type { WallClockMs } from '@spurbridge/model';
import { jobSpec } from '@spurbridge/testkit';
import type { JobId, KeyValue, Version } from '@spurbridge/wire';

/** Phase of a job's record. */
export type JobPhase = 'active' | 'done' | 'cancelled';

/** The properties in which generated job records differ. */
export interface GeneratedJob {
  readonly number: number;
  readonly phase: JobPhase;
  readonly version: number;
}

/** Generates up to 13 jobs with different ids. */
export const generatedJobs = fc.uniqueArray(
  fc.record({
    number: fc.integer({ min: 0, max: 12 }),
    phase: fc.constantFrom('active' as const, 'done' as const, 'cancelled' as const),
    version: fc.integer({ min: 1, max: 50 }),
  }),
  { selector: (job) => job.number },
);

/** Returns the id of the job with this number. */
export function jobIdOf(number: number): JobId {
  return `wk-${String(number).padStart(6, '0')}` as JobId;
}

/** Returns the value of a job's record. */
export function jobRecord(number: number, phase: JobPhase): Record<string, unknown> {
  return encodeJob({
    spec: jobSpec({ id: jobIdOf(number) }),
    phase,
    submittedAt: 5 as WallClockMs,
    chunkSize: 256,
  });
}

/** Returns the records of jobs as the store lists them. */
export function jobKeyValues(jobs: readonly GeneratedJob[]): KeyValue[] {
  return jobs.map((job) => ({
    key: `j/${jobIdOf(job.number)}`,
    value: jobRecord(job.number, job.phase),
    version: job.version as Version,
  }));
}
