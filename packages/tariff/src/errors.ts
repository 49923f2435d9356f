/**
 * Errors of deferral.
 *
 * @module
 */
import type { JobId } from '@spurbridge/wire';
import { SpurbridgeError } from '@spurbridge/wire';

/** A job's deferral was to be changed although it has ended. */
export class DeferralEndedError extends SpurbridgeError {
  constructor(
    readonly job: JobId,
    readonly state: string,
  ) {
    super('DEFERRAL_ENDED', `${job} is ${state} already`);
  }
}
