/**
 * The base class of all errors that spurbridge throws itself.
 *
 * @module
 */

/** An error with a code that programs can test for; the message says what was expected, what came instead and where. */
export class SpurbridgeError extends Error {
  constructor(
    /** Stable and in upper case with underscores, such as `SNAPSHOT_DAMAGED`. */
    readonly code: string,
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
    this.name = new.target.name;
  }
}
