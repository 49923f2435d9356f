/**
 * Errors of the snapshot package.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** A file is not a snapshot, is damaged, or has a format that this version cannot read. */
export class SnapshotFormatError extends SpurbridgeError {
  constructor(message: string, options?: ErrorOptions) {
    super('SNAPSHOT_FORMAT_INVALID', message, options);
  }
}

/** A snapshot could not be taken from the key-value store, or could not be restored to it. */
export class SnapshotToolError extends SpurbridgeError {
  constructor(message: string) {
    super('SNAPSHOT_TOOL_FAILED', message);
  }
}
