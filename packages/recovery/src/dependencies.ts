/**
 * What a recoverable store is given by its process.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import type { NodeId } from '@spurbridge/wire';
import type { RecoveryLog } from './phases/recovery-dependencies.js';
import type { SnapshotSource } from './snapshot-source.js';

/** What a recoverable store works with. */
export interface RecoverableStoreDependencies {
  /** The store as it is, without any validation of its responses. */
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  /** Returns ids that are never returned again; random ones by default. */
  readonly newId?: () => string;
  readonly node: NodeId;
  /** Number of controllers, this one included. */
  readonly nodes: number;
  /** Maximum size of a value in KiB, and number of mutations in a transaction. */
  readonly limits: { readonly valueKb: number; readonly txnOps: number };
  readonly log: RecoveryLog;
  /** Counts the machines that the cloud lists as running; null without an answer. Only called where no epoch is found. */
  readonly countRunningMachines: () => Promise<number | null>;
  /** Called after each change of the store's integrity. */
  readonly onIntegrityChanged: () => void;
  /** Called after the replica has changed. */
  readonly onReplicaChanged?: () => void;
  /** Snapshots, if operators keep any. */
  readonly snapshots?: SnapshotSource;
}
