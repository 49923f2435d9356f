/**
 * The outgoing connection to one other controller.
 *
 * @module
 */
import net from 'node:net';
import type { Clock } from '@spurbridge/net';
import { parseSocketAddress } from '@spurbridge/net';
import type { NodeId, PeerMessage } from '@spurbridge/wire';
import { encodePeerMessage } from '@spurbridge/wire';
import type { Logger } from '../logger.js';
import { WakeSignal } from '../wake-signal.js';

const RECONNECT_INTERVAL_MS = 1000;
const CONNECT_TIMEOUT_MS = 2000;
/** Unsent bytes above which a peer is considered not to be reading. */
const MAX_QUEUED_BYTES = 256 * 1024;

/** idle -> connecting -> open -> idle */
type ConnectionState = 'idle' | 'connecting' | 'open';

/** A send-only connection that is reopened whenever it ends; controllers receive on their incoming connections. */
export class PeerConnection {
  private state: ConnectionState = 'idle';
  private socket: net.Socket | null = null;
  private readonly reconnectSignal = new WakeSignal();

  constructor(
    readonly node: NodeId,
    private readonly address: string,
    private readonly clock: Clock,
    private readonly log: Logger,
    /** Called when a connection that was open has ended. */
    private readonly onDisconnected: (node: NodeId) => void,
  ) {}

  /** Whether messages can be sent now. */
  get isConnected(): boolean {
    return this.state === 'open';
  }

  /**
   * To be called when a status of the peer was received: reconnects immediately instead of after the retry interval.
   * Without this, peers reconnected to a restarted process only after a second. By then it had discovered no peers, and
   * became leader although others were running.
   */
  onStatusReceived(): void {
    if (this.state === 'idle') this.reconnectSignal.notify();
  }

  /** Sends a message; false if it was certainly not sent. */
  send(message: PeerMessage): boolean {
    if (this.state !== 'open' || this.socket === null) return false;
    // A peer that does not read is disconnected, to bound the buffer.
    if (this.socket.writableLength > MAX_QUEUED_BYTES) {
      this.socket.destroy();
      return false;
    }
    this.socket.write(encodePeerMessage(message));
    return true;
  }

  /** Keeps the connection open, and sends the current status on each new connection. */
  async run(currentStatus: () => PeerMessage): Promise<never> {
    for (;;) {
      this.transitionTo('connecting');
      const socket = this.connect(currentStatus);
      this.socket = socket;
      try {
        // Nothing is received on this connection; the iteration ends when the connection does.
        for await (const chunk of socket) void chunk;
      } catch {
        // The loop opens the next connection, regardless of why this one ended.
      }
      socket.destroy();
      this.socket = null;
      this.transitionTo('idle');
      await this.reconnectSignal.wait(this.clock, RECONNECT_INTERVAL_MS);
    }
  }

  private connect(currentStatus: () => PeerMessage): net.Socket {
    const socket = net.connect({ ...parseSocketAddress(this.address), noDelay: true });
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => {
      if (socket.connecting) socket.destroy();
    });
    socket.once('connect', () => {
      this.transitionTo('open');
      this.send(currentStatus());
    });
    return socket;
  }

  /** The only function that changes the state. */
  private transitionTo(next: ConnectionState): void {
    const previous = this.state;
    if (next === previous) return;
    if (next === 'open' || previous === 'open')
      this.log.info({ peer: this.node, from: previous, to: next }, 'peer connection state changed');
    this.state = next;
    if (previous === 'open') this.onDisconnected(this.node);
  }
}
