/**
 * The leader role of a controller as the other parts of the same process see it.
 *
 * @module
 */
import type { Heartbeat } from '@spurbridge/wire';
import type { LeaderHeartbeatOutcome } from '../heartbeats/heartbeat-outcome.js';

/** The leader of this process, if it leads at present. */
export interface LocalLeader {
  /** Whether this controller leads and handles heartbeats itself. */
  readonly isLeading: boolean;
  /** Handles a heartbeat as the leader; `isForwarded` if it came through another controller. */
  handleHeartbeat(heartbeat: Heartbeat, isForwarded: boolean): LeaderHeartbeatOutcome;
  /** Processes a heartbeat that another controller responded to `ageMs` milliseconds ago. */
  receiveForwardedHeartbeat(heartbeat: Heartbeat, ageMs: number): void;
}
