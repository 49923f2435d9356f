/**
 * Callbacks by which the election notifies the rest of a node, and queries that it makes.
 *
 * @module
 */
import type { FencingToken, NodeId } from '@spurbridge/wire';

/** Receives changes of leadership, and provides the election with information about other nodes. */
export interface LeadershipListener {
  /** This node was elected. */
  onElected(token: FencingToken): void;
  /** The lease was confirmed again, which ends the state `holding`. */
  onLeaseConfirmedAgain(): void;
  /** This node no longer leads. */
  onDeposed(reason: string): void;
  log(message: string, fields: Record<string, unknown>): void;
  /** Whether another node that is eligible to lead is connected. */
  hasPeers?(): boolean;
  /** How long to wait before campaigning while no node leads, in milliseconds. */
  campaignDelayMs?(): number;
}

/** The leader with the highest fencing token that this node knows. */
export interface KnownLeader {
  /** The token of its election. */
  readonly fencingToken: FencingToken;
  /** The highest known token of its term (`TermTokens`). */
  readonly latestToken: FencingToken;
  readonly node: NodeId;
}
