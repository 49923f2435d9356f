/**
 * The lifecycle of the key-value store on one controller: attaching to it, following, suspecting and recovering it.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import type { FencingToken, LeaseId, PeerStatus } from '@spurbridge/wire';
import { StoreAttachment } from './attachment.js';
import type { RecoverableStoreDependencies } from './dependencies.js';
import type { EpochNumber } from './epoch/epoch-record.js';
import { NO_EPOCH } from './epoch/epoch-record.js';
import type { OpenEpoch } from './epoch/open-epoch.js';
import { EpochStore } from './epoch-store/epoch-store.js';
import { PeerObservations, findPeerContradiction } from './peer-observations.js';
import type { LocalRecoveryState } from './phases/recovery-dependencies.js';
import { RETRY_MS } from './phases/recovery-dependencies.js';
import { StoreRecovery } from './phases/store-recovery.js';
import type { EpochReplica } from './replica/merge.js';
import { StoreIntegrity } from './store-integrity.js';

const AUDIT_INTERVAL_MS = 1000;

/** Runs the state machine of the store's integrity, and holds the store of the epoch that the controller works in. */
export class StoreLifecycle {
  readonly integrity: StoreIntegrity;
  readonly observations: PeerObservations;
  private readonly recovery: StoreRecovery;
  private readonly attachment: StoreAttachment;
  private latestEpochStore: EpochStore | null = null;
  private latestJoinedEpoch = 0;
  private wasFollowedWithoutGap = false;
  private lastLedToken = 0 as FencingToken;
  private highestLeaseId = 0;
  private suspectedAt: MonotonicMs | null = null;

  constructor(private readonly dependencies: RecoverableStoreDependencies) {
    const { underlyingStore, clock, nodes, log, snapshots, countRunningMachines } = dependencies;
    this.integrity = new StoreIntegrity((from, to, evidence) => {
      const revision = this.epochStore?.highestKnownRevision ?? 0;
      log.info({ from, to, evidence, epoch: this.generation, revision }, 'store integrity changed');
    });
    this.observations = new PeerObservations(clock, countRunningMachines);
    this.recovery = this.createRecovery();
    this.attachment = new StoreAttachment({
      underlyingStore,
      clock,
      nodes,
      observations: this.observations,
      recovery: this.recovery,
      snapshots,
    });
  }

  /**
   * The store of the epoch that this controller works in, or worked in before the store became suspect; null before
   * that.
   */
  get epochStore(): EpochStore | null {
    return this.latestEpochStore;
  }

  /** The store of the epoch that is trusted now; null without one. */
  get trustedStore(): EpochStore | null {
    return this.integrity.isTrusted ? this.latestEpochStore : null;
  }

  /** Number of the epoch that the replica belongs to. */
  get generation(): EpochNumber {
    return this.latestEpochStore?.epoch.number ?? NO_EPOCH;
  }

  /** Number of the epoch that this controller works in, or helps to recover. */
  get joinedEpoch(): number {
    return this.latestJoinedEpoch;
  }

  /** Whether the epoch is trusted and was followed without a gap, so that everything ever written was read. */
  get isContinuous(): boolean {
    return this.integrity.isTrusted && this.wasFollowedWithoutGap;
  }

  /** When the store became suspect; null while it is not. */
  get suspectSince(): MonotonicMs | null {
    return this.suspectedAt;
  }

  /** Records that no earlier write can still be missing. */
  confirmContinuous(): void {
    if (this.integrity.isTrusted) this.wasFollowedWithoutGap = true;
  }

  /** Records a token that this process gives to workers as the leader, beginning with that of its election. */
  recordIssuedToken(token: FencingToken): void {
    this.lastLedToken = Math.max(this.lastLedToken, token) as FencingToken;
    this.receiveToken(token);
  }

  /** Records that this process was granted a lease. */
  recordLeaseGrant(lease: LeaseId): void {
    this.highestLeaseId = Math.max(this.highestLeaseId, lease);
  }

  /** Receives a fencing token from a worker or from a leader record. */
  receiveToken(token: FencingToken): void {
    if (!this.observations.receiveToken(token)) return;
    const { epochStore } = this;
    if (epochStore === null || token <= epochStore.epoch.tokenFloor) return;
    // A token contains the revision of an election or of a later commit, so the store must have reached that revision.
    epochStore.noteRevision(token - epochStore.epoch.tokenFloor);
  }

  /** Receives the status of a peer, which may be evidence against the store. */
  receivePeerStatus(status: PeerStatus): void {
    this.observations.receivePeerStatus(status);
    const store = this.trustedStore;
    if (store === null) return;
    const evidence = findPeerContradiction(status, store.epoch);
    if (evidence !== null) {
      this.suspect(evidence);
      return;
    }
    if (status.storeEpoch !== store.epoch.number || status.storeEpochId !== store.epoch.id) return;
    store.noteRevision(status.storeRevision);
    if (status.hasContinuousReplica) this.confirmContinuous();
  }

  /** Attaches to the store, follows it and recovers it, while the process runs. */
  async run(): Promise<never> {
    const { clock, log } = this.dependencies;
    void this.runAudits().catch((error: unknown) => {
      log.info({ error: String(error) }, 'audits stopped by an error');
    });
    for (;;) {
      try {
        await this.step();
      } catch (error) {
        // A store whose content cannot be decoded is not trusted, regardless of the error.
        log.info({ error: String(error) }, 'store cannot be read and is treated as suspect');
        if (this.integrity.state === 'recovering') this.integrity.transitionTo('suspect', String(error));
        else this.suspect(String(error));
        await clock.sleep(RETRY_MS);
      }
    }
  }

  private async step(): Promise<void> {
    switch (this.integrity.state) {
      case 'unattached':
        return this.attach();
      case 'trusted':
        return this.trustedStore?.follow();
      case 'suspect':
        this.integrity.transitionTo('recovering', 'recovery started');
        return;
      case 'recovering': {
        const openEpoch = await this.recovery.attempt();
        if (openEpoch !== null) this.enter(openEpoch);
      }
    }
  }

  private async runAudits(): Promise<never> {
    for (;;) {
      await this.dependencies.clock.sleep(AUDIT_INTERVAL_MS);
      await this.trustedStore?.audit();
    }
  }

  private async attach(): Promise<void> {
    const attached = await this.attachment.attempt();
    if (attached.outcome === 'suspect') this.suspect(attached.evidence);
    else if (attached.outcome === 'attached') this.enter(attached.openEpoch);
  }

  /** Records evidence that the store is not intact. All calls are refused until a recovery has ended. */
  private suspect(evidence: string): void {
    if (!this.integrity.canBecomeSuspect) return;
    this.suspectedAt = this.dependencies.clock.now();
    this.integrity.transitionTo('suspect', evidence);
    this.dependencies.onIntegrityChanged();
  }

  /** Begins to work in an epoch. */
  private enter(openEpoch: OpenEpoch): void {
    const { epoch, records, pendingRepairs, revision, latestRevision, tookPartInRecovery } = openEpoch;
    this.latestEpochStore = this.createEpochStore(openEpoch);
    this.latestJoinedEpoch = epoch.number;
    // A controller that enters an epoch after its opening depends on its peers to know whether any earlier write is
    // missing.
    const hasInitialized = epoch.isInitial && this.recovery.hasInitiated(epoch);
    this.wasFollowedWithoutGap =
      this.observations.isConfirmedContinuous(epoch.id) ||
      hasInitialized ||
      (tookPartInRecovery && epoch.continuous);
    this.attachment.releaseSnapshot();
    this.suspectedAt = null;
    const evidence = `entered epoch ${epoch.number} at revision ${revision} with ${pendingRepairs.length} pending repairs`;
    this.integrity.transitionTo('trusted', evidence);
    this.dependencies.onIntegrityChanged();
    this.dependencies.onReplicaChanged?.();
    const beyondRevision = records.find((record) => record.version > latestRevision);
    if (beyondRevision !== undefined)
      this.suspect(`${beyondRevision.key} has a version above the store's revision ${latestRevision}`);
  }

  private createEpochStore(openEpoch: OpenEpoch): EpochStore {
    const { underlyingStore, clock, limits } = this.dependencies;
    const dependencies = {
      underlyingStore,
      clock,
      txnOps: limits.txnOps,
      suspect: (evidence: string) => {
        this.suspect(evidence);
      },
      isCurrent: (store: EpochStore) => this.trustedStore === store,
      isContinuous: () => this.wasFollowedWithoutGap,
      onReplicaChanged: () => this.dependencies.onReplicaChanged?.(),
    };
    return new EpochStore(dependencies, openEpoch);
  }

  private createRecovery(): StoreRecovery {
    const { limits, onIntegrityChanged } = this.dependencies;
    return new StoreRecovery({
      ...this.dependencies,
      valueKb: limits.valueKb,
      localState: () => this.localState(),
      reachablePeers: () => this.observations.reachablePeers(),
      onEpochObserved: (epoch) => {
        this.observations.receiveEpoch(epoch);
      },
      onEpochJoined: (epoch) => {
        if (epoch === this.latestJoinedEpoch) return;
        this.latestJoinedEpoch = epoch;
        onIntegrityChanged();
      },
    });
  }

  private localState(): LocalRecoveryState {
    const { epochStore, generation, observations } = this;
    const { snapshot } = this.attachment;
    const replicas: EpochReplica[] = [];
    if (epochStore !== null) replicas.push(toEpochReplica(epochStore));
    if (snapshot !== null) replicas.push(snapshot);
    return {
      replicaEpoch: generation,
      highestKnownEpoch: Math.max(observations.highestEpoch, generation),
      deployment: epochStore?.epoch.deployment ?? snapshot?.deployment ?? null,
      tokenFloor: epochStore?.epoch.tokenFloor ?? 0,
      lastLedToken: this.lastLedToken,
      highestSeenToken: observations.highestToken,
      continuous: this.wasFollowedWithoutGap,
      highestLeaseId: this.highestLeaseId,
      replicas,
    };
  }
}

function toEpochReplica({ epoch, replica }: EpochStore): EpochReplica {
  return { epoch: epoch.number, get: (key) => replica.get(key), keys: () => replica.keys() };
}
