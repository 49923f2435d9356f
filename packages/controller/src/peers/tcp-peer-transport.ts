/**
 * The exchange of messages between controllers over TCP.
 *
 * @module
 */
import net from 'node:net';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { parseSocketAddress } from '@spurbridge/net';
import type { NodeId, PeerMessage } from '@spurbridge/wire';
import type { Logger } from '../logger.js';
import { PeerConnection } from './peer-connection.js';
import { decodePeerMessages } from './peer-message-stream.js';
import type { PeerTransport, PeerTransportHost } from './peer-transport.js';

const STATUS_INTERVAL_MS = 700;
/** Maximum age of a peer's status in milliseconds; an older one is ignored. */
const MAX_STATUS_AGE_MS = 4000;
const LISTEN_RETRY_INTERVAL_MS = 200;

/** The dependencies of a `TcpPeerTransport`. */
export interface TcpPeerTransportOptions {
  readonly peers: readonly { readonly node: NodeId; readonly address: string }[];
  /** The address on which this controller receives messages. */
  readonly listen: string;
  readonly clock: Clock;
  readonly log: Logger;
  readonly host: PeerTransportHost;
}

interface StoreReport {
  readonly receivedAt: MonotonicMs;
  readonly isServed: boolean;
}

/** Keeps one outgoing connection to each other controller and receives on the incoming ones. */
export class TcpPeerTransport implements PeerTransport {
  private readonly connections: readonly PeerConnection[];
  /** Whether each controller is served by the key-value store, according to its latest status. */
  private readonly storeReports = new Map<NodeId, StoreReport>();

  constructor(private readonly options: TcpPeerTransportOptions) {
    const { peers, clock, log, host } = options;
    this.connections = peers.map(
      ({ node, address }) => new PeerConnection(node, address, clock, log, host.onDisconnected),
    );
  }

  send(to: NodeId, message: PeerMessage): boolean {
    return this.connectionTo(to)?.send(message) === true;
  }

  isConnected(to: NodeId): boolean {
    return this.connectionTo(to)?.isConnected === true;
  }

  broadcast(message: PeerMessage): void {
    for (const connection of this.connections) connection.send(message);
  }

  hasPeerWithStore(): boolean {
    const now = this.options.clock.now();
    for (const { isServed, receivedAt } of this.storeReports.values())
      if (isServed && now - receivedAt < MAX_STATUS_AGE_MS) return true;
    return false;
  }

  async run(): Promise<void> {
    const { clock, log, host } = this.options;
    this.listen();
    for (const connection of this.connections)
      connection.run(host.status).catch((error: unknown) => {
        log.error({ error: String(error) }, 'peer connection failed');
      });
    for (;;) {
      await clock.sleep(STATUS_INTERVAL_MS);
      this.broadcast(host.status());
    }
  }

  private connectionTo(node: NodeId): PeerConnection | undefined {
    return this.connections.find((connection) => connection.node === node);
  }

  private listen(): void {
    const { listen, log } = this.options;
    const { host, port } = parseSocketAddress(listen);
    const server = net.createServer({ noDelay: true }, (socket) => {
      this.receive(socket).catch((error: unknown) => {
        log.debug({ error: String(error) }, 'incoming peer connection failed');
        socket.destroy();
      });
    });
    const tryListen = (): void => {
      server.listen(port, host);
    };
    // The previous process of this node may not have released the port yet.
    server.on('error', (error) => {
      log.info({ listen, error: String(error) }, 'cannot listen for peers; retrying');
      setTimeout(tryListen, LISTEN_RETRY_INTERVAL_MS);
    });
    tryListen();
  }

  private async receive(socket: net.Socket): Promise<void> {
    const { clock, host } = this.options;
    for await (const message of decodePeerMessages(socket)) {
      const { status } = message;
      if (status !== undefined) {
        this.storeReports.set(status.node, { receivedAt: clock.now(), isServed: status.isStoreReachable });
        this.connectionTo(status.node)?.onStatusReceived();
      }
      host.onMessage(message);
    }
  }
}
