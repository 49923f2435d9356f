/**
 * The outcomes of a worker's heartbeat, independent of the protocol that carries them.
 *
 * @module
 */
import type { FencingToken, NodeId, WorkerCommand } from '@spurbridge/wire';

/** The heartbeat is accepted: its response renews the worker's lease and carries commands. */
export interface HeartbeatAccepted {
  readonly outcome: 'accepted';
  readonly fencingToken: FencingToken;
  readonly commands: readonly WorkerCommand[];
}

/** The worker should send its heartbeats to another controller. */
export interface HeartbeatRedirected {
  readonly outcome: 'redirected';
  readonly node: NodeId;
}

/** No controller can accept the heartbeat at present; the worker retries. */
export interface HeartbeatUnavailable {
  readonly outcome: 'unavailable';
}

/** The outcome of a heartbeat for the worker that sent it. */
export type HeartbeatOutcome = HeartbeatAccepted | HeartbeatRedirected | HeartbeatUnavailable;

/** A heartbeat that the leader has accepted. */
export interface LeaderHeartbeatAccepted extends HeartbeatAccepted {
  /** The token of the leader's election, which the token for the worker may exceed. */
  readonly electionToken: FencingToken;
  /** Milliseconds for which the controller that forwarded it may renew the worker's lease without the leader. */
  readonly delegatedLeaseMs: number;
}

/** The outcome of a heartbeat at the leader. */
export type LeaderHeartbeatOutcome = LeaderHeartbeatAccepted | HeartbeatUnavailable;

/** The shared `unavailable` outcome, which has no data. */
export const HEARTBEAT_UNAVAILABLE: HeartbeatUnavailable = { outcome: 'unavailable' };
