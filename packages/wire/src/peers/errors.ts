/**
 * Errors of the protocol between controller nodes.
 *
 * @module
 */
import { SpurbridgeError } from '../errors.js';

/**
 * A peer sent bytes that are not a valid frame, or a message that this version cannot read. The connection cannot be
 * used any further.
 */
export class PeerMessageError extends SpurbridgeError {
  constructor(message: string) {
    super('PEER_MESSAGE_MALFORMED', message);
  }
}
