/**
 * The latest status of each other controller.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { LeaderCandidate } from '@spurbridge/store';
import type { NodeId, PeerStatus } from '@spurbridge/wire';
import type { ShardOwner } from '@spurbridge/worker-shards';
import type { Settings } from '../settings.js';
import type { PeerTransport } from './peer-transport.js';

/** Maximum age of a peer's status in milliseconds; an older one is ignored. */
const MAX_STATUS_AGE_MS = 2500;

interface KnownPeer {
  readonly status: PeerStatus;
  readonly receivedAt: MonotonicMs;
}

/** The latest status of each other controller, and which of them are connected. */
export class PeerDirectory {
  private readonly peers = new Map<NodeId, KnownPeer>();

  constructor(
    private readonly settings: Settings,
    private readonly clock: Clock,
    private readonly transport: PeerTransport,
  ) {}

  /** Records the status that a controller has sent. */
  record(status: PeerStatus): void {
    this.peers.set(status.node, { status, receivedAt: this.clock.now() });
  }

  /** The latest status of a controller, regardless of its age. */
  statusOf(node: NodeId): PeerStatus | undefined {
    return this.peers.get(node)?.status;
  }

  /** The connected controllers that may become leader, because the key-value store serves them. */
  leaderCandidates(): LeaderCandidate[] {
    return this.current()
      .filter((status) => status.isStoreReachable && this.transport.isConnected(status.node))
      .map((status) => ({ node: status.node, penalty: status.leadershipPenalty }));
  }

  /** The connected controllers to which workers can be redirected. */
  shardOwners(): ShardOwner[] {
    return this.current()
      .filter((status) => status.canServeWorkers && this.transport.isConnected(status.node))
      .map((status) => ({
        node: status.node,
        machineCount: status.shardSize,
        zone: this.settings.peers.find((peer) => peer.node === status.node)?.zone ?? '',
        isLeader: status.acceptsForwardedHeartbeats,
      }));
  }

  private current(): PeerStatus[] {
    const now = this.clock.now();
    return [...this.peers.values()]
      .filter((peer) => now - peer.receivedAt < MAX_STATUS_AGE_MS)
      .map((peer) => peer.status);
  }
}
