/**
 * Connections between the controllers of a simulated environment.
 *
 * @module
 */
import type { PeerTransport } from '@spurbridge/controller';
import type { NodeId, PeerMessage } from '@spurbridge/wire';
import { decodePeerMessage, encodePeerMessage } from '@spurbridge/wire';
import type { ProcessClock } from './clock.js';
import { SimNetwork } from './network.js';
import type { NodeDirectory } from './sim-node.js';
import type { TrafficRecorder } from './traffic-recorder.js';

const STATUS_INTERVAL_MS = 700;
/** A peer's status is valid evidence about the key-value store for this long, in milliseconds. */
const STATUS_VALID_MS = 4000;

/** Callbacks of a controller's transport. */
export interface PeerEndpoint {
  readonly name: NodeId;
  readonly clock: ProcessClock;
  /** The status that is broadcast at fixed intervals. */
  readonly status: () => PeerMessage;
  readonly receive: (message: PeerMessage) => void;
  /** The connection to a peer was closed or refused. */
  readonly closed: (node: NodeId) => void;
}

interface ReceivedStatus {
  readonly at: number;
  readonly isStoreServing: boolean;
}

/** Carries encoded messages between controllers, and can refuse connections. */
export class PeerNetwork {
  /** Frames and bytes sent between controllers. */
  readonly traffic = { frames: 0, bytes: 0 };
  /** Nodes of a version without worker shards. */
  readonly previousVersionNodes = new Set<string>();
  private readonly endpoints = new Map<string, PeerEndpoint>();
  private readonly refusedLinks = new Set<string>();

  constructor(
    private readonly directory: NodeDirectory,
    private readonly network: SimNetwork,
    private readonly recorder: TrafficRecorder,
  ) {}

  /** The transport of a new process; it replaces that of the previous process. */
  connect(endpoint: PeerEndpoint): PeerTransport {
    const { name, clock, status, receive } = endpoint;
    const received = new Map<string, ReceivedStatus>();
    this.endpoints.set(name, {
      ...endpoint,
      receive: (message) => {
        const { status: peer } = message;
        if (peer !== undefined)
          received.set(peer.node, { at: clock.now(), isStoreServing: peer.isStoreReachable });
        receive(message);
      },
    });
    const broadcast = (message: PeerMessage): void => {
      for (const peer of this.directory.namesExcept(name)) this.send(endpoint, peer, message);
    };
    return {
      broadcast,
      send: (to, message) => this.send(endpoint, to, message),
      isConnected: (to) => this.directory.findRunning(to) !== null && !this.isRefused(name, to),
      hasPeerWithStore: () =>
        [...received.values()].some(
          ({ at, isStoreServing }) => isStoreServing && clock.now() - at < STATUS_VALID_MS,
        ),
      run: async () => {
        for (;;) {
          await clock.sleep(STATUS_INTERVAL_MS);
          broadcast(status());
        }
      },
    };
  }

  /** Begins or ends refusing connections between two controllers. */
  setLinkRefused(host: string, other: string, refused: boolean): void {
    const link = SimNetwork.linkKey(host, other);
    if (!refused) {
      this.refusedLinks.delete(link);
      return;
    }
    this.refusedLinks.add(link);
    this.endpoints.get(host)?.closed(other as NodeId);
    this.endpoints.get(other)?.closed(host as NodeId);
  }

  /** The other running nodes detect, after one message delay, that the process has ended. */
  announceEnd(name: NodeId): void {
    for (const other of this.directory.nodes)
      if (other.name !== name && other.clock.alive)
        this.network.send(name, other.name, () => {
          if (other.clock.alive) this.endpoints.get(other.name)?.closed(name);
        });
  }

  private isRefused(host: string, other: string): boolean {
    return this.refusedLinks.has(SimNetwork.linkKey(host, other));
  }

  private send({ name, clock }: PeerEndpoint, to: NodeId, message: PeerMessage): boolean {
    // A dead process refuses connections at once; a partitioned host does not respond.
    const target = this.directory.findRunning(to);
    if (target === null || this.isRefused(name, to)) return false;
    const frame = encodePeerMessage(this.restrictToVersionOf(name, message));
    this.recorder.record('peer-frame', name, to, Buffer.from(frame).toString('hex'));
    this.traffic.frames += 1;
    this.traffic.bytes += frame.length;
    this.network.send(name, to, () => {
      if (this.directory.findRunning(to) !== target || !clock.alive) return;
      const decoded = decodePeerMessage(frame);
      if (decoded === null) return;
      this.endpoints.get(to)?.receive(this.restrictToVersionOf(to, decoded.message));
    });
    return true;
  }

  /** The parts of the message that the version of this node supports. */
  private restrictToVersionOf(node: string, message: PeerMessage): PeerMessage {
    return this.previousVersionNodes.has(node) ? withoutShardFields(message) : message;
  }
}

/** The parts of a message that a node of the version before worker shards writes and reads. */
function withoutShardFields({ status, jobProgress }: PeerMessage): PeerMessage {
  const unset = {
    acceptsForwardedHeartbeats: false,
    isLeaderReady: false,
    canServeWorkers: false,
    shardSize: 0,
    leadershipPenalty: 0,
    configurationVersion: 0,
    configurationAgeMs: 0,
  };
  return {
    ...(status === undefined ? {} : { status: { ...status, ...unset } }),
    ...(jobProgress === undefined ? {} : { jobProgress }),
  };
}
