/**
 * Errors that recovery of the key-value store throws.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** A controller's contribution to a recovery cannot be decoded: it is incomplete, damaged or not in the known format. */
export class ContributionFormatError extends SpurbridgeError {
  /**
   * @param part - The part of the contribution that was being decoded.
   * @param expected - What the format requires there.
   * @param received - What was found instead.
   */
  constructor(part: string, expected: string, received: string, options?: ErrorOptions) {
    super('CONTRIBUTION_MALFORMED', `${part}: expected ${expected}, received ${received}`, options);
  }
}
