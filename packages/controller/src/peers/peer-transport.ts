/**
 * The exchange of messages between controllers.
 *
 * @module
 */
import type { NodeId, PeerMessage } from '@spurbridge/wire';

/** Sends messages to the other controllers. All of them are hints: correctness never depends on their arrival. */
export interface PeerTransport {
  /** Sends a message to every controller that is connected. */
  broadcast(message: PeerMessage): void;
  /** Sends a message to one controller; false if it was certainly not sent. */
  send(to: NodeId, message: PeerMessage): boolean;
  /** Whether a message that is sent to the controller now may arrive there. */
  isConnected(to: NodeId): boolean;
  /** Whether any controller has lately said that the key-value store serves it. */
  hasPeerWithStore(): boolean;
  /** Runs the transport, and broadcasts this controller's status periodically. */
  run(): Promise<void>;
}
