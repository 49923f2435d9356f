/**
 * Attaches a controller to the key-value store after its start, and decides whether it may work in the epoch that it
 * finds.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { KeyValueStore } from '@spurbridge/store';
import { isControlKey } from './epoch/control-keys.js';
import type { Epoch } from './epoch/epoch-record.js';
import type { OpenEpoch } from './epoch/open-epoch.js';
import type { PeerObservations } from './peer-observations.js';
import { RETRY_MS } from './phases/recovery-dependencies.js';
import type { StoreRecovery } from './phases/store-recovery.js';
import { CONTROL_PRIORITY } from './request-priorities.js';
import type { SnapshotReplica, SnapshotSource } from './snapshot-source.js';
import { findMissingFromSnapshot } from './snapshot-source.js';

/**
 * Time after which an empty store may be initialized if a status of every peer was received and none of them is in an
 * epoch.
 */
const INITIALIZE_AMONG_PEERS_MS = 700;
/** Time after which an empty store may be initialized if the status of some peer is missing. */
const INITIALIZE_ALONE_MS = 2000;
/** Pauses between attempts, during which peers or workers may still prove that the store is not new. */
const AWAIT_PEERS_MS = 50;
const AWAIT_WORKERS_MS = 100;

/** Result of one attempt to attach to the store. */
export type AttachOutcome =
  | { readonly outcome: 'attached'; readonly openEpoch: OpenEpoch }
  /** There is evidence against the store. */
  | { readonly outcome: 'suspect'; readonly evidence: string }
  /** There is not enough evidence yet. The attempt has ended with a pause and has to be repeated. */
  | { readonly outcome: 'undecided' };

const UNDECIDED: AttachOutcome = { outcome: 'undecided' };

/** The dependencies of `StoreAttachment`. */
export interface StoreAttachmentDependencies {
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  /** Number of controllers, this one included. */
  readonly nodes: number;
  readonly observations: PeerObservations;
  readonly recovery: StoreRecovery;
  readonly snapshots: SnapshotSource | undefined;
}

/** Attaches a controller that has just started to the store. */
export class StoreAttachment {
  private latestSnapshot: SnapshotReplica | null = null;
  private readonly startedAt: MonotonicMs;

  constructor(private readonly dependencies: StoreAttachmentDependencies) {
    this.startedAt = dependencies.clock.now();
  }

  /** The newest snapshot, while this controller has no replica of its own; null without one. */
  get snapshot(): SnapshotReplica | null {
    return this.latestSnapshot;
  }

  /** Releases the snapshot, because the controller has a replica that is at least as new. */
  releaseSnapshot(): void {
    this.latestSnapshot = null;
  }

  /** Makes one attempt to attach. */
  async attempt(): Promise<AttachOutcome> {
    const { observations, recovery } = this.dependencies;
    const record = await recovery.readEpochRecord();
    if (record === null) return this.pause(RETRY_MS);
    const { epoch } = record;
    await this.loadSnapshot(epoch?.deployment ?? null);
    if (epoch === null) return this.attachWithoutEpoch();
    const { highestEpoch: peerEpoch } = observations.reachablePeers();
    if (epoch.phase !== 'open' || epoch.number < peerEpoch)
      return suspect(
        `the store is in epoch ${epoch.number} (${epoch.phase}), peers are in epoch ${peerEpoch}`,
      );
    return this.attachToEpoch(epoch);
  }

  /** Reads the epoch that the store's epoch record names, and compares it with the state of peers and of a snapshot. */
  private async attachToEpoch(epoch: Epoch): Promise<AttachOutcome> {
    const { observations, recovery } = this.dependencies;
    const knownRevision = observations.highestRevisionOf(epoch.id);
    const openEpoch = await recovery.loadOpenEpoch(epoch);
    if (openEpoch === null) return UNDECIDED;
    const { latestRevision } = openEpoch;
    if (latestRevision < knownRevision)
      return suspect(`revision ${latestRevision} was read, but a peer has seen revision ${knownRevision}`);
    const evidence = this.snapshot === null ? null : findMissingFromSnapshot(this.snapshot, openEpoch);
    return evidence === null ? { outcome: 'attached', openEpoch } : suspect(evidence);
  }

  /** Handles a store without an epoch record: this is a first start, or the store has lost its data. */
  private async attachWithoutEpoch(): Promise<AttachOutcome> {
    const { clock, nodes, observations } = this.dependencies;
    const now = clock.now();
    const { peers, highestEpoch: peerEpoch } = observations.reachablePeers();
    const waitMs = peers.length >= nodes - 1 ? INITIALIZE_AMONG_PEERS_MS : INITIALIZE_ALONE_MS;
    if (observations.highestToken > 0 || this.snapshot !== null)
      return suspect('the store has no epoch record, but a fencing token or a snapshot exists');
    if (peerEpoch > 0 || now - this.startedAt < waitMs) return this.pause(AWAIT_PEERS_MS);
    if (!(await observations.isNewToWorkers())) return this.pause(AWAIT_WORKERS_MS);
    return this.initialize();
  }

  private async initialize(): Promise<AttachOutcome> {
    const { underlyingStore, recovery } = this.dependencies;
    const listed = await underlyingStore.list('', CONTROL_PRIORITY);
    if (listed.outcome !== 'listed') return this.pause(RETRY_MS);
    if (listed.items.some((item) => !isControlKey(item.key)))
      return suspect('the store has records, but no epoch record');
    await recovery.initializeStore();
    return UNDECIDED;
  }

  private async loadSnapshot(deployment: string | null): Promise<void> {
    const { snapshots, observations } = this.dependencies;
    if (snapshots === undefined || this.latestSnapshot !== null) return;
    this.latestSnapshot = await snapshots.latest(deployment);
    if (this.latestSnapshot !== null) observations.receiveEpoch(this.latestSnapshot.epoch);
  }

  private async pause(ms: number): Promise<AttachOutcome> {
    await this.dependencies.clock.sleep(ms);
    return UNDECIDED;
  }
}

function suspect(evidence: string): AttachOutcome {
  return { outcome: 'suspect', evidence };
}
