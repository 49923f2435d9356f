/**
 * The dependencies that the phases of a recovery share.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import type { FencingToken, NodeId } from '@spurbridge/wire';
import type { EpochNumber } from '../epoch/epoch-record.js';
import type { EpochReplica } from '../replica/merge.js';

/** Delay before a failed request or a failed attempt is repeated. */
export const RETRY_MS = 150;

/** Interval at which the progress of other controllers is polled. */
export const POLL_INTERVAL_MS = 100;

/** A recovery whose initiator has made no progress for this long is restarted by another controller. */
export const STALL_TIMEOUT_MS = 6000;

/** Structured log of a recovery. */
export interface RecoveryLog {
  /** Logs a message with fields. */
  info(fields: object, message: string): void;
}

/** The state of a controller that it can contribute to a recovery. */
export interface LocalRecoveryState {
  /** Number of the epoch that its replica belongs to; `NO_EPOCH` without a replica. */
  readonly replicaEpoch: EpochNumber;
  /** Highest epoch number that it has seen, in the store or from a peer. */
  readonly highestKnownEpoch: number;
  /** Id of the deployment; null while it is not known. */
  readonly deployment: string | null;
  /** Token floor of the epoch that its replica belongs to. */
  readonly tokenFloor: number;
  /** Highest fencing token that this process gave to workers as the leader; 0 if it never led. */
  readonly lastLedToken: FencingToken;
  /** Highest token that it has seen. */
  readonly highestSeenToken: FencingToken;
  /** Whether it had followed its epoch without a gap. */
  readonly continuous: boolean;
  /** Highest lease id that it was granted. */
  readonly highestLeaseId: number;
  /** Its replica, if it has one, and a snapshot, if there is one. */
  readonly replicas: readonly EpochReplica[];
}

/** Peers whose status is recent. */
export interface ReachablePeers {
  readonly peers: readonly NodeId[];
  /** Highest epoch number among them; 0 without any. */
  readonly highestEpoch: number;
}

/** The dependencies of a recovery. */
export interface StoreRecoveryDependencies {
  /** The store without any validation of its responses. */
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  /** Returns globally unique ids; random ones by default. */
  readonly newId?: () => string;
  readonly node: NodeId;
  /** Number of controllers, this one included. */
  readonly nodes: number;
  /** Maximum size of a value in KiB. */
  readonly valueKb: number;
  readonly log: RecoveryLog;
  readonly localState: () => LocalRecoveryState;
  readonly reachablePeers: () => ReachablePeers;
  /** Called with the number of each epoch that is seen in the store. */
  readonly onEpochObserved: (epoch: number) => void;
  /** Called when this controller begins to take part in an epoch. */
  readonly onEpochJoined: (epoch: number) => void;
}

/** Waits before the next attempt. Returns null, the result of an attempt that has not led to an open epoch. */
export async function pauseBeforeRetry(clock: Clock, ms = RETRY_MS): Promise<null> {
  await clock.sleep(ms);
  return null;
}
