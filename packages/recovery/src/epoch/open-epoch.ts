/**
 * An open epoch as a controller reads it before it begins to work in it.
 *
 * @module
 */
import type { Compare, KeyValue, Revision } from '@spurbridge/wire';
import type { PendingRepair } from '../replica/repair-overlay.js';
import type { Epoch } from './epoch-record.js';

/** The whole content of the store in an open epoch. */
export interface OpenEpoch {
  readonly epoch: Epoch;
  /** The comparison that every commit of the epoch contains. */
  readonly fence: Compare;
  /** Records that the store itself holds; those that a pending repair replaces are left out. */
  readonly records: readonly KeyValue[];
  /** Records that the contribution pages hold, and that are to be written back. */
  readonly pendingRepairs: readonly PendingRepair[];
  /** Keys of contributions and of tombstones, which are deleted once everything is written back. */
  readonly obsoleteKeys: readonly string[];
  /** Revision of the first response; reading the store may take several requests. */
  readonly revision: Revision;
  /** Revision of the last response: no record can have a later version. */
  readonly latestRevision: Revision;
  /** Whether this controller contributed to the recovery, and so has followed the epoch from its opening. */
  readonly tookPartInRecovery: boolean;
}
