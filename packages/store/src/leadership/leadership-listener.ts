/**
 * What the election tells the rest of a node, and what it asks of it.
 *
 * @module
 */
import type { FencingToken, NodeId } from '@spurbridge/wire';

/** Receives changes of leadership, and knows what the election needs to know of other nodes. */
export interface LeadershipListener {
  /** This node was elected. */
  onElected(token: FencingToken): void;
  /** The lease is certainly valid again after a time in the state `holding`. */
  onLeaseConfirmedAgain(): void;
  /** This node no longer leads. */
  onDeposed(reason: string): void;
  log(message: string, fields: Record<string, unknown>): void;
  /** Whether another node is connected that may lead. */
  hasPeers?(): boolean;
  /** How long others may campaign first where no node leads, in milliseconds. */
  campaignDelayMs?(): number;
}

/** The leader with the highest fencing token that this node knows. */
export interface KnownLeader {
  readonly fencingToken: FencingToken;
  readonly node: NodeId;
}
