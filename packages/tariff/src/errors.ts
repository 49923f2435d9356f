/**
 * Errors of deferral.
 *
 * @module
 */
import type { JobId } from '@spurbridge/wire';
import { SpurbridgeError } from '@spurbridge/wire';

/** A change of a deferral that has ended was attempted. */
export class DeferralEndedError extends SpurbridgeError {
  constructor(
    readonly job: JobId,
    readonly state: string,
  ) {
    super('DEFERRAL_ENDED', `${job}: the deferral has already ended in the state ${state}`);
  }
}
