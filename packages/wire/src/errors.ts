/**
 * The base class of all errors that spurbridge throws itself.
 *
 * @module
 */

/** An error with a machine-readable code; the message states what was expected, what was received and where. */
export class SpurbridgeError extends Error {
  constructor(
    /** Stable and in upper case with underscores, such as `SNAPSHOT_FORMAT_INVALID`. */
    readonly code: string,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = new.target.name;
  }
}
