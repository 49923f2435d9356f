import net from 'node:net';
import type { Clock } from '@spurbridge/net';
import type { NodeId, PeerMessage } from '@spurbridge/wire';
import { decodePeerMessage, encodePeerMessage } from '@spurbridge/wire';
import type { Logger } from '../logger.js';
import { WakeSignal } from '../wake-signal.js';

const STATUS_MS = 700;
const SILENT_MS = 4000;
const RETRY_MS = 1000;
const CONNECT_MS = 2000;
const PORT_RETRY_MS = 200;
const MOST_QUEUED_BYTES = 256 * 1024;

/** idle -> connecting -> open -> idle; one outgoing connection per peer, receiving on incoming ones. */
type LinkState = 'idle' | 'connecting' | 'open';

export class PeerConnection {
  private current: LinkState = 'idle';
  private socket: net.Socket | null = null;
  private readonly again = new WakeSignal();

  constructor(
    readonly node: NodeId,
    private readonly address: string,
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly closed: (node: NodeId) => void,
  ) {}

  get isConnected(): boolean {
    return this.current === 'open';
  }

  private enter(next: LinkState): void {
    if (next === this.current) return;
    if (next === 'open' || this.current === 'open')
      this.log.info({ peer: this.node, from: this.current, to: next }, 'peer link');
    const wasOpen = this.current === 'open';
    this.current = next;
    if (wasOpen) this.closed(this.node);
  }

  /**
   * The node was heard: a link that waits to be tried again is tried now. A process that had just begun met nobody within a
   * second and led, though others ran on: they dialled once a second.
   */
  onPeerHeard(): void {
    if (this.current === 'idle') this.again.notify();
  }

  /** False: certainly not sent. */
  send(message: PeerMessage): boolean {
    if (this.current !== 'open' || this.socket === null) return false;
    // A peer that does not read is dropped rather than buffered for.
    if (this.socket.writableLength > MOST_QUEUED_BYTES) {
      this.socket.destroy();
      return false;
    }
    this.socket.write(encodePeerMessage(message));
    return true;
  }

  async run(greeting: () => PeerMessage): Promise<never> {
    const colon = this.address.lastIndexOf(':');
    const host = this.address.slice(0, colon);
    const port = Number(this.address.slice(colon + 1));
    for (;;) {
      this.enter('connecting');
      const socket = net.connect({ host, port, noDelay: true });
      this.socket = socket;
      socket.setTimeout(CONNECT_MS, () => {
        if (socket.connecting) socket.destroy();
      });
      socket.once('connect', () => {
        this.enter('open');
        this.send(greeting());
      });
      try {
        // Nothing is said on this direction; the iteration ends when the connection does.
        for await (const chunk of socket) void chunk;
      } catch {
        // The loop below connects again whatever ended it.
      }
      socket.destroy();
      this.socket = null;
      this.enter('idle');
      await this.again.wait(this.clock, RETRY_MS);
    }
  }
}

/** Frames of one incoming connection, as they are completed. */
export async function* decodePeerMessages(chunks: AsyncIterable<Uint8Array>): AsyncGenerator<PeerMessage> {
  let held: Buffer = Buffer.alloc(0);
  for await (const chunk of chunks) {
    held = held.length === 0 ? Buffer.from(chunk) : Buffer.concat([held, chunk]);
    for (;;) {
      const frame = decodePeerMessage(held);
      if (frame === null) break;
      held = held.subarray(frame.size);
      yield frame.message;
    }
  }
}

/** What the controller needs of the link; the stand-in of `testkit` implements it too. */
export interface PeerTransport {
  broadcast(message: PeerMessage): void;
  /** False: certainly not sent. */
  send(to: NodeId, message: PeerMessage): boolean;
  /** Whether what is sent to the node now may arrive there. */
  isConnected(to: NodeId): boolean;
  /** Whether a peer that was lately heard is served by the state service. */
  hasPeerWithStore(): boolean;
  run(): Promise<void>;
}

/** The controller-to-controller link: hints only, never needed for keeping a rule. */
export class TcpPeerTransport implements PeerTransport {
  private readonly links: PeerConnection[];
  private readonly heardAt = new Map<string, { at: number; stateOk: boolean }>();

  constructor(
    peers: readonly { node: NodeId; address: string }[],
    private readonly clock: Clock,
    private readonly log: Logger,
    private readonly status: () => PeerMessage,
    private readonly receive: (message: PeerMessage) => void,
    private readonly listen: string,
    /** Told when a link that was open has ended. */
    closed: (node: NodeId) => void,
  ) {
    this.links = peers.map((p) => new PeerConnection(p.node, p.address, clock, log, closed));
  }

  send(to: NodeId, message: PeerMessage): boolean {
    return this.links.find((l) => l.node === to)?.send(message) === true;
  }

  isConnected(to: NodeId): boolean {
    return this.links.some((l) => l.node === to && l.isConnected);
  }

  broadcast(message: PeerMessage): void {
    for (const link of this.links) link.send(message);
  }

  hasPeerWithStore(): boolean {
    const now = this.clock.now();
    for (const h of this.heardAt.values()) if (h.stateOk && now - h.at < SILENT_MS) return true;
    return false;
  }

  async run(): Promise<void> {
    const colon = this.listen.lastIndexOf(':');
    const server = net.createServer({ noDelay: true }, (socket) => {
      this.serve(socket).catch((e: unknown) => {
        this.log.debug({ error: String(e) }, 'peer connection ended');
        socket.destroy();
      });
    });
    const begin = (): void => {
      server.listen(Number(this.listen.slice(colon + 1)), this.listen.slice(0, colon));
    };
    // The process before this one may still hold the port for a moment.
    server.on('error', (e) => {
      this.log.info({ listen: this.listen, error: String(e) }, 'cannot listen yet');
      setTimeout(begin, PORT_RETRY_MS);
    });
    begin();
    for (const link of this.links)
      link.run(this.status).catch((e: unknown) => {
        this.log.error({ error: String(e) }, 'peer link failed');
      });
    for (;;) {
      await this.clock.sleep(STATUS_MS);
      this.broadcast(this.status());
    }
  }

  private async serve(socket: net.Socket): Promise<void> {
    for await (const message of decodePeerMessages(socket)) {
      const { status } = message;
      if (status !== undefined) {
        this.heardAt.set(status.node, { at: this.clock.now(), stateOk: status.isStoreReachable });
        this.links.find((l) => l.node === status.node)?.onPeerHeard();
      }
      this.receive(message);
    }
  }
}
