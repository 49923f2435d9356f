/**
 * The dependencies that a process provides to its recoverable store.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import type { NodeId } from '@spurbridge/wire';
import type { RecoveryLog } from './phases/recovery-dependencies.js';
import type { SnapshotSource } from './snapshot-source.js';

/** The dependencies of a `RecoverableStore`. */
export interface RecoverableStoreDependencies {
  /** The store without any validation of its responses. */
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  /** Returns globally unique ids; random ones by default. */
  readonly newId?: () => string;
  readonly node: NodeId;
  /** Number of controllers, this one included. */
  readonly nodes: number;
  /** Maximum size of a value in KiB, and number of mutations in a transaction. */
  readonly limits: { readonly valueKb: number; readonly txnOps: number };
  readonly log: RecoveryLog;
  /**
   * Counts the machines that the cloud lists as running; null if it does not respond. Only called if no epoch is found.
   */
  readonly countRunningMachines: () => Promise<number | null>;
  /** Called after each change of the store's integrity. */
  readonly onIntegrityChanged: () => void;
  /** Called after the replica has changed. */
  readonly onReplicaChanged?: () => void;
  /** Source of snapshots, if operators keep any. */
  readonly snapshots?: SnapshotSource;
}
