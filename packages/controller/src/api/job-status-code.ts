/**
 * The HTTP status codes of users' calls about jobs.
 *
 * @module
 */
import type { JobOutcome } from '../jobs/job-outcome.js';

const STATUS_CODES = {
  created: 201,
  known: 200,
  malformed: 400,
  'not-found': 404,
  rejected: 422,
  unavailable: 503,
} as const satisfies Record<JobOutcome['outcome'], number>;

/** The status code of an outcome. This is the only place that knows these codes. */
export function jobStatusCode(outcome: JobOutcome): number {
  return STATUS_CODES[outcome.outcome];
}
