/**
 * The exchange of messages between controllers.
 *
 * @module
 */
import type { NodeId, PeerMessage } from '@spurbridge/wire';

/** The controller that a transport works for. */
export interface PeerTransportHost {
  /** The controller's status, which is broadcast periodically and on each new connection. */
  readonly status: () => PeerMessage;
  /** Called with each message that another controller has sent. */
  readonly onMessage: (message: PeerMessage) => void;
  /** Called when an open connection to another controller has ended. */
  readonly onDisconnected: (node: NodeId) => void;
}

/** Sends messages to the other controllers. Correctness never depends on the delivery of any message. */
export interface PeerTransport {
  /** Sends a message to every controller that is connected. */
  broadcast(message: PeerMessage): void;
  /** Sends a message to one controller; false if it was certainly not sent. */
  send(to: NodeId, message: PeerMessage): boolean;
  /** Whether a message that is sent to the controller now may arrive there. */
  isConnected(to: NodeId): boolean;
  /** Whether the recent status of any controller says that the key-value store serves it. */
  hasPeerWithStore(): boolean;
  /** Runs the transport, and broadcasts this controller's status periodically. */
  run(): Promise<void>;
}
