/**
 * The outcomes of users' calls about jobs, independent of the protocol that carries them.
 *
 * @module
 */
import type { JobStatus } from '@spurbridge/wire';

/** The outcome of a submission, a status request or a cancellation. */
export type JobOutcome =
  /** A new job was accepted. */
  | { readonly outcome: 'created'; readonly status: JobStatus }
  /** The job is known; this is its status after the call. */
  | { readonly outcome: 'known'; readonly status: JobStatus }
  /** The request cannot be understood. */
  | { readonly outcome: 'malformed'; readonly error: string }
  /** There is no such job. */
  | { readonly outcome: 'not-found'; readonly error: string }
  /** The job can never run, so its rejection is final. */
  | { readonly outcome: 'rejected'; readonly error: string }
  /** The request cannot be decided at present; the user may retry it after `retryAfterS` seconds. */
  | { readonly outcome: 'unavailable'; readonly error: string; readonly retryAfterS: number };

/** The outcome of a call about a job that does not exist. */
export const JOB_NOT_FOUND: JobOutcome = { outcome: 'not-found', error: 'no such job' };

const RETRY_AFTER_S = 1;

/** The outcome of a call that cannot be decided at present; `error` is the reason. */
export function jobUnavailable(error: string): JobOutcome {
  return { outcome: 'unavailable', error, retryAfterS: RETRY_AFTER_S };
}
