/**
 * Errors of the configuration package.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** A change that would make the configuration invalid. Nothing has been written. */
export class InvalidChangeError extends SpurbridgeError {
  /**
   * @param field - path of the invalid field, such as `teams.red.cpus`
   * @param reason - what was expected, or which bound is exceeded
   */
  constructor(
    readonly field: string,
    reason: string,
  ) {
    super('CONFIGURATION_CHANGE_INVALID', `${field}: ${reason}`);
  }
}

/** The stored records belong to different versions: they were read while a change was being written. */
export class InconsistentRecordsError extends SpurbridgeError {
  /** @param key - key of the record whose version is not the one that the head record names */
  constructor(readonly key: string) {
    super('CONFIGURATION_RECORDS_INCONSISTENT', `${key}: expected the version that the head record names`);
  }
}

/** No node responded, or none of them could reach the key-value store. */
export class NoNodeAvailableError extends SpurbridgeError {
  constructor() {
    super('CONFIGURATION_NO_NODE_AVAILABLE', 'no node responded, or none could reach the state service');
  }
}

/** The change was based on a version that is no longer the newest. */
export class StaleVersionError extends SpurbridgeError {
  /** @param newestVersion - the version that a new attempt has to be based on */
  constructor(readonly newestVersion: number) {
    super(
      'CONFIGURATION_VERSION_STALE',
      `version ${newestVersion} is the newest: review it and submit the changes again`,
    );
  }
}

/** A node rejected the change; the message names the invalid field. */
export class ChangeRejectedError extends SpurbridgeError {
  constructor(message: string) {
    super('CONFIGURATION_CHANGE_REJECTED', message);
  }
}
