/**
 * What the phases of a recovery work with.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import type { FencingToken, NodeId } from '@spurbridge/wire';
import type { EpochNumber } from '../epoch/epoch-record.js';
import type { EpochReplica } from '../replica/merge.js';

/** Time before a failed request, or a failed attempt, is repeated. */
export const RETRY_MS = 150;

/** Time between two looks at what other controllers write. */
export const POLL_INTERVAL_MS = 100;

/** A recovery whose initiator has done nothing for this long is begun again by another controller. */
export const STALL_TIMEOUT_MS = 6000;

/** Structured log of a recovery. */
export interface RecoveryLog {
  /** Logs a message with fields. */
  info(fields: object, message: string): void;
}

/** What a controller knows at the moment, and can contribute to a recovery. */
export interface LocalRecoveryState {
  /** Number of the epoch that its replica belongs to; `NO_EPOCH` without a replica. */
  readonly replicaEpoch: EpochNumber;
  /** Highest epoch number that it has seen, in the store or from a peer. */
  readonly highestKnownEpoch: number;
  /** Id of the deployment; null while it is not known. */
  readonly deployment: string | null;
  /** Token floor of the epoch that its replica belongs to. */
  readonly tokenFloor: number;
  /** Token under which this process led last; 0 if it never did. */
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

/** Peers that were heard from lately. */
export interface ReachablePeers {
  readonly peers: readonly NodeId[];
  /** Highest number of an epoch that one of them is in; 0 without any. */
  readonly highestEpoch: number;
}

/** What a recovery works with. */
export interface StoreRecoveryDependencies {
  /** The store as it is, without any validation of its responses. */
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  /** Returns ids that are never returned again; random ones by default. */
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

/** Waits before the next attempt. Returns null, which stands for an attempt that has not led to an open epoch. */
export async function pauseBeforeRetry(clock: Clock, ms = RETRY_MS): Promise<null> {
  await clock.sleep(ms);
  return null;
}
