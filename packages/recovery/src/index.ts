/**
 * Recovery of the key-value store after a loss of data: replicas, epochs, audits and the store that controllers use.
 *
 * @module
 */
export { compress, sha256Hex } from './compression.js';
export type { RecoverableStoreDependencies } from './dependencies.js';
export * from './epoch/control-keys.js';
export * from './epoch/epoch-record.js';
export { fencingTokenAt, nextTokenFloor } from './epoch/fencing-tokens.js';
export { isTombstone } from './epoch/tombstone.js';
export { ContributionFormatError } from './errors.js';
export type { Contribution, ContributionMarker } from './phases/contribution-codec.js';
export {
  contributionKeyPrefix,
  encodeMarker,
  encodePages,
  markerKey,
  readContributions,
} from './phases/contribution-codec.js';
export type { LocalRecoveryState, StoreRecoveryDependencies } from './phases/recovery-dependencies.js';
export { StoreRecovery } from './phases/store-recovery.js';
export { RecoverableStore } from './recoverable-store.js';
export type { ReplicaSnapshot, StoreStatus } from './recoverable-store.js';
export type { EpochReplica, RecordRepair } from './replica/merge.js';
export { mergeReplicas } from './replica/merge.js';
export type { ReplicaEntry } from './replica/replica-entry.js';
export { Replica } from './replica/replica.js';
export type { SnapshotReplica, SnapshotSource } from './snapshot-source.js';
export type { IntegrityState } from './store-integrity.js';
