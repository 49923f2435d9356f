export { RecoverableStore } from './recoverable-store.js';
export type { RecoverableStoreDependencies } from './recoverable-store.js';
export type { SnapshotReplica, SnapshotSource } from './snapshot-source.js';
export { Replica } from './replica/replica.js';
export type { ReplicaEntry } from './replica/replica.js';
export { mergeReplicas } from './replica/merge.js';
export { StoreRecovery, isTombstone } from './phases/store-recovery.js';
export type { EpochReplica } from './replica/merge.js';
export type { IntegrityState } from './store-integrity.js';
export * from './epoch/epoch-record.js';
export {
  compress,
  sha256Hex,
  encodePages,
  markerKey,
  contributionKeyPrefix,
  readContributions,
} from './phases/contribution-codec.js';
export type { Contribution, ContributionMarker } from './phases/contribution-codec.js';
