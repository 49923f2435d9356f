/**
 * Information about the key-value store that the messages of peers and workers contain.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { FencingToken, MachineId, NodeId, PeerStatus } from '@spurbridge/wire';
import type { Epoch } from './epoch/epoch-record.js';
import type { ReachablePeers } from './phases/recovery-dependencies.js';

/** A peer whose latest status is older than this does not count as reachable. */
const PEER_TIMEOUT_MS = 4000;
/** Maximum time to wait for a peer that takes part in a later epoch but does not trust it yet. */
const PEER_RECOVERY_TIMEOUT_MS = 10_000;
/** Number of workers without a token that proves a first start, regardless of the number of machines. */
const SUFFICIENT_NEW_WORKERS = 20;

interface ObservedPeer {
  readonly receivedAt: MonotonicMs;
  /** Since when the peer has reported its current epoch. */
  readonly inEpochSince: MonotonicMs;
  readonly status: PeerStatus;
}

/** Collects the information that peers and workers send about the store. */
export class PeerObservations {
  private readonly peers = new Map<NodeId, ObservedPeer>();
  /** Workers that have never seen a fencing token. */
  private readonly newWorkers = new Set<MachineId>();
  /** Number of machines that the cloud lists as running; null until it is known. */
  private runningMachines: number | null = null;
  private highestTokenSeen = 0 as FencingToken;
  private highestEpochSeen = 0;

  /**
   * @param countRunningMachines - Requests the number of running machines from the cloud; null if it does not respond.
   */
  constructor(
    private readonly clock: Clock,
    private readonly countRunningMachines: () => Promise<number | null>,
  ) {}

  /** Highest token that was received from a peer, a worker or a leader record; 0 without any. */
  get highestToken(): FencingToken {
    return this.highestTokenSeen;
  }

  /** Highest epoch number that was received from any source; 0 without any. */
  get highestEpoch(): number {
    return this.highestEpochSeen;
  }

  /** Receives the status of a peer. */
  receivePeerStatus(status: PeerStatus): void {
    const receivedAt = this.clock.now();
    const previous = this.peers.get(status.node);
    const isSameEpoch = previous !== undefined && previous.status.storeEpoch === status.storeEpoch;
    const inEpochSince = isSameEpoch ? previous.inEpochSince : receivedAt;
    this.peers.set(status.node, { receivedAt, inEpochSince, status });
    this.receiveEpoch(status.storeEpoch);
  }

  /** Receives the number of an epoch. */
  receiveEpoch(epoch: number): void {
    this.highestEpochSeen = Math.max(this.highestEpochSeen, epoch);
  }

  /** Receives a token. Returns whether it is higher than all previous ones. */
  receiveToken(token: FencingToken): boolean {
    if (token <= this.highestTokenSeen) return false;
    this.highestTokenSeen = token;
    return true;
  }

  /** Receives the heartbeat of a worker that has never seen a token. */
  receiveNewWorker(machine: MachineId): void {
    this.newWorkers.add(machine);
  }

  /** Returns the peers whose status is recent, and the highest epoch among them. */
  reachablePeers(): ReachablePeers {
    const now = this.clock.now();
    const reachable = this.currentPeers();
    const epochs = reachable
      // Excluded after a timeout, so that a peer whose recovery does not end cannot block this one.
      .filter((peer) => peer.status.isStoreTrusted || now - peer.inEpochSince < PEER_RECOVERY_TIMEOUT_MS)
      .map((peer) => peer.status.storeEpoch);
    return { peers: reachable.map((peer) => peer.status.node), highestEpoch: Math.max(0, ...epochs) };
  }

  /** Returns whether a reachable peer has followed the epoch from its opening without a gap. */
  isConfirmedContinuous(epochId: string): boolean {
    return this.trustingPeers(epochId).some((status) => status.hasContinuousReplica);
  }

  /** Returns the highest revision of the epoch that a reachable peer knows; 0 without any. */
  highestRevisionOf(epochId: string): number {
    return Math.max(0, ...this.trustingPeers(epochId).map((status) => status.storeRevision));
  }

  /**
   * Returns whether enough workers have reported that they have never seen a leader. If the cloud lists machines, half
   * of them or `SUFFICIENT_NEW_WORKERS` must have done so. Without this check, a store that was emptied while no
   * controller was running was taken for a new one, and its first token for one higher than all before.
   */
  async isNewToWorkers(): Promise<boolean> {
    this.runningMachines ??= await this.countRunningMachines();
    if (this.runningMachines === null) return false;
    const required = Math.min(Math.ceil(this.runningMachines / 2), SUFFICIENT_NEW_WORKERS);
    return this.newWorkers.size >= required;
  }

  private currentPeers(): ObservedPeer[] {
    const now = this.clock.now();
    return [...this.peers.values()].filter((peer) => now - peer.receivedAt < PEER_TIMEOUT_MS);
  }

  private trustingPeers(epochId: string): PeerStatus[] {
    return this.currentPeers()
      .map((peer) => peer.status)
      .filter((status) => status.storeEpochId === epochId && status.isStoreTrusted);
  }
}

/** Returns why a peer's status contradicts the epoch that this controller works in, or null if it does not. */
export function findPeerContradiction(status: PeerStatus, { number, id }: Epoch): string | null {
  if (status.storeEpoch > number) return `${status.node} is in the later epoch ${status.storeEpoch}`;
  if (status.storeEpoch < number || status.storeEpochId === '') return null;
  if (status.storeEpochId !== id) {
    // Two stores are reachable at the same address. Comparing ids lets exactly one side start a recovery; the other
    // side then receives a later epoch number and refuses all calls.
    return status.storeEpochId > id
      ? `${status.node} is in another epoch with number ${status.storeEpoch}`
      : null;
  }
  return status.isStoreTrusted ? null : `${status.node} does not trust the store`;
}
