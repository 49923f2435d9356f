import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { MachineId, NodeId, PeerStatus, FencingToken } from '@spurbridge/wire';

/** A peer not heard for this long is no longer counted on. */
const PEER_MS = 4000;
/** A peer in a later epoch that it does not trust yet is waited for no longer than this. */
const GATHERS_MS = 10_000;
/** So many workers that have seen no token, or half of those there are. */
const FRESH_WORKERS = 20;

interface Peer {
  readonly at: MonotonicMs;
  /** Since when it has named this epoch. */
  readonly since: MonotonicMs;
  readonly status: PeerStatus;
}

/** What peers and workers have said of the state service, without a judgement. */
export class PeerObservations {
  private readonly peers = new Map<NodeId, Peer>();
  /** Workers that have never seen a token; and how many machines the cloud lists. */
  private readonly fresh = new Set<MachineId>();
  private listed: number | null = null;
  /** Highest token that anybody showed. */
  token = 0 as FencingToken;
  /** Highest number of an epoch that anybody named. */
  highest = 0;

  constructor(
    private readonly clock: Clock,
    /** Machines that the cloud lists as running, or null without an answer. */
    private readonly machines: () => Promise<number | null>,
  ) {}

  peerSaid(status: PeerStatus): void {
    const at = this.clock.now();
    const before = this.peers.get(status.node);
    const since = before !== undefined && before.status.storeEpoch === status.storeEpoch ? before.since : at;
    this.peers.set(status.node, { at, since, status });
    this.met(status.storeEpoch);
  }

  met(number: number): void {
    this.highest = Math.max(this.highest, number);
  }

  /** Whether the token is higher than all before. */
  tokenShown(token: FencingToken): boolean {
    if (token <= this.token) return false;
    this.token = token;
    return true;
  }

  freshWorker(machine: MachineId): void {
    this.fresh.add(machine);
  }

  private alive(): Peer[] {
    const now = this.clock.now();
    return [...this.peers.values()].filter((p) => now - p.at < PEER_MS);
  }

  /** Peers heard of late, and the highest epoch that one of them is in. */
  heard(): { readonly peers: readonly NodeId[]; readonly ahead: number } {
    const now = this.clock.now();
    const alive = this.alive();
    return {
      peers: alive.map((p) => p.status.node),
      // A peer that gathers and does not come to an end is not waited for for ever.
      ahead: Math.max(
        0,
        ...alive
          .filter((p) => p.status.isStoreTrusted || now - p.since < GATHERS_MS)
          .map((p) => p.status.storeEpoch),
      ),
    };
  }

  private following(epochId: string): PeerStatus[] {
    return this.alive()
      .map((p) => p.status)
      .filter((s) => s.storeEpochId === epochId && s.isStoreTrusted);
  }

  /** Whether a peer has followed the epoch from its opening. */
  attests(epochId: string): boolean {
    return this.following(epochId).some((s) => s.hasContinuousReplica);
  }

  /** Highest revision that a peer knows of in the epoch. */
  revisionOf(epochId: string): number {
    return Math.max(0, ...this.following(epochId).map((s) => s.storeRevision));
  }

  /**
   * Whether the workers know of no earlier leader. Where the cloud lists machines, some of them are heard first: a store
   * that was emptied with all controllers dead once passed for a new one, and its first token for a higher one.
   */
  async isNewToWorkers(): Promise<boolean> {
    this.listed ??= await this.machines();
    return this.listed !== null && this.fresh.size >= Math.min(Math.ceil(this.listed / 2), FRESH_WORKERS);
  }
}
