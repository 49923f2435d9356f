import { jobKey } from '@spurbridge/model';
import type { WallClockMs } from '@spurbridge/model';
import type { Clock, MonotonicMs, RequestPriority } from '@spurbridge/net';
import type {
  CommitOutcome,
  LeaseGrantOutcome,
  ListOutcome,
  ReadOutcome,
  KeyValueStore,
  LeaseRenewalOutcome,
  WatchOutcome,
} from '@spurbridge/store';
import type {
  Mutation,
  Compare,
  KeyValue,
  JobId,
  LeaseId,
  MachineId,
  NodeId,
  PeerStoreStatus,
  PeerStatus,
  Revision,
  FencingToken,
  Version,
} from '@spurbridge/wire';
import type { Replica } from './replica/replica.js';
import { jobPhaseOf } from './replica/replica.js';
import type { Epoch, EpochNumber } from './epoch/epoch-record.js';
import { NO_EPOCH, isControlKey, fencingTokenAt } from './epoch/epoch-record.js';
import type { LocalRecoveryState, OpenEpoch } from './phases/store-recovery.js';
import { StoreRecovery } from './phases/store-recovery.js';
import { PeerObservations } from './peer-observations.js';
import type { EpochReplica } from './replica/merge.js';
import type { SnapshotReplica, SnapshotSource } from './snapshot-source.js';
import { findMissingFromSnapshot } from './snapshot-source.js';
import { StoreIntegrity } from './store-integrity.js';
import { REFUSED, EpochStore } from './epoch-store/epoch-store.js';
import { writeBack } from './phases/write-back.js';

const AUDIT_MS = 1000;
const RETRY_MS = 150;
/** A first start is believed after this: all peers were heard without a copy, or twice waited for. */
const FIRST_MS = 700;
const FIRST_ALONE_MS = 2000;
const ASK_MS = 100;

export interface RecoverableStoreDependencies {
  readonly raw: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly newId?: () => string;
  readonly node: NodeId;
  readonly nodes: number;
  readonly limits: { readonly valueKb: number; readonly txnOps: number };
  readonly log: { info(fields: object, message: string): void };
  /** Machines that the cloud lists as running, or null without an answer: asked only where no epoch is found. */
  readonly countRunningMachines: () => Promise<number | null>;
  /** Told of every change of trust, after it. */
  readonly onIntegrityChanged: () => void;
  /** Told when the copy has changed. */
  readonly onReplicaChanged?: () => void;
  readonly shelf?: SnapshotSource;
}

/**
 * A state service that can be doubted (docs/state-loss.md). It is the raw one as long as nothing speaks against it;
 * otherwise every call is refused until an epoch is open in which what the nodes remember was put back.
 */
export class RecoverableStore implements KeyValueStore {
  private readonly soundness: StoreIntegrity;
  /** The epoch that it follows, or has followed and doubts. */
  private view: EpochStore | null = null;
  /** Number of the epoch that it helps to gather, or follows. */
  private joined = 0;
  private isContinuous = false;
  private deployment: string | null = null;
  private ledToken = 0 as FencingToken;
  private lease = 0;
  private doubtedAt: MonotonicMs | null = null;
  private readonly startedAt: MonotonicMs;
  private readonly claims: PeerObservations;
  private readonly gathering: StoreRecovery;
  private snapshot: SnapshotReplica | null = null;

  constructor(private readonly p: RecoverableStoreDependencies) {
    this.startedAt = p.clock.now();
    this.soundness = new StoreIntegrity((from, to, evidence) => {
      p.log.info(
        { from, to, evidence, epoch: this.generation, revision: this.view?.claimed ?? 0 },
        'state service',
      );
    });
    this.claims = new PeerObservations(p.clock, p.countRunningMachines);
    this.gathering = new StoreRecovery({
      ...p,
      valueKb: p.limits.valueKb,
      localState: () => this.brings(),
      reachablePeers: () => this.claims.heard(),
      onEpochObserved: (number) => {
        this.claims.met(number);
      },
      onEpochJoined: (number) => {
        if (number === this.joined) return;
        this.joined = number;
        p.onIntegrityChanged();
      },
    });
  }

  get isTrusted(): boolean {
    return this.soundness.state === 'sound';
  }

  /** Number of the epoch that its copy belongs to. */
  get generation(): EpochNumber {
    return this.view?.epoch.number ?? NO_EPOCH;
  }

  /** What is trusted now. */
  private get sound(): EpochStore | null {
    return this.isTrusted ? this.view : null;
  }

  /** Whether it followed the epoch without a gap: what it read is all that was written. */
  get continuous(): boolean {
    return this.isTrusted && this.isContinuous;
  }

  /** Whether this epoch opened without the last leader's copy. */
  get hasLost(): boolean {
    return this.view !== null && !this.view.epoch.continuous;
  }

  /** Phase of a job by its record; null: no such record was ever seen. */
  phaseOf(id: JobId): string | null {
    const seen = this.view?.copy.get(jobKey(id));
    return seen === undefined ? null : jobPhaseOf(seen.text);
  }

  /** A record by this node's copy, while the state service is trusted; undefined: none is known. */
  replicatedRecord(key: string): KeyValue | undefined {
    const seen = this.sound?.copy.get(key);
    if (seen === undefined) return undefined;
    return { key, value: JSON.parse(seen.text) as unknown, version: seen.version };
  }

  /** How old the copy is at most, in milliseconds: all that was durable before is in it. */
  get copyAgeMs(): number {
    return this.view?.ageMs ?? Infinity;
  }

  /** The copy as a consistent memory up to its revision, for a snapshot; null while the store is not trusted. */
  replicaSnapshot(): { readonly epoch: Epoch; readonly revision: Revision; readonly copy: Replica } | null {
    const { sound } = this;
    return sound === null ? null : { epoch: sound.epoch, revision: sound.copy.revision, copy: sound.copy };
  }

  fencingTokenOf(version: Version): FencingToken {
    return fencingTokenAt(this.view?.epoch.floor ?? 0, version);
  }

  failingSince(): MonotonicMs | null {
    return this.doubtedAt ?? this.p.raw.failingSince();
  }

  // --- what others say -----------------------------------------------------------------------------

  /** What peers are told of this node's trust. */
  status(): PeerStoreStatus {
    const { isTrusted: trusted, continuous, view } = this;
    return {
      storeEpoch: Math.max(this.generation, this.joined),
      // Of the epoch that it follows, or has followed and doubts; not of one that it only helps to gather.
      storeEpochId: this.joined > this.generation ? '' : (view?.epoch.id ?? ''),
      storeRevision: this.sound?.claimed ?? 0,
      isStoreTrusted: trusted,
      hasContinuousReplica: continuous,
    };
  }

  receivePeerStatus(status: PeerStatus): void {
    this.claims.peerSaid(status);
    const { sound } = this;
    if (sound === null) return;
    const { number, id } = sound.epoch;
    if (status.storeEpoch > number) this.doubt(`${status.node} is in epoch ${status.storeEpoch}`);
    else if (status.storeEpoch < number) return;
    else if (status.storeEpochId === '') return;
    else if (status.storeEpochId !== id) {
      // Two stores behind one address. One side moves on, so that the other hears of a later epoch and refuses.
      if (status.storeEpochId > id) this.doubt(`${status.node} follows another epoch ${status.storeEpoch}`);
    } else if (!status.isStoreTrusted) this.doubt(`${status.node} doubts it`);
    else {
      sound.claimed = Math.max(sound.claimed, status.storeRevision);
      if (status.hasContinuousReplica) this.isContinuous = true;
    }
  }

  /** A worker reported with this token. */
  receiveWorkerToken(machine: MachineId, token: FencingToken): void {
    if (this.soundness.state === 'unattached' && token === 0) this.claims.freshWorker(machine);
    this.tokenShown(token);
  }

  /** A worker, or a leader's record, showed this token. */
  private tokenShown(token: FencingToken): void {
    if (!this.claims.tokenShown(token)) return;
    // A leader of this epoch was elected at that revision: the store must have reached it.
    const { view } = this;
    if (view !== null && token > view.epoch.floor)
      view.claimed = Math.max(view.claimed, token - view.epoch.floor);
  }

  recordElection(token: FencingToken): void {
    this.ledToken = token;
    this.tokenShown(token);
  }

  /** The leader knows what is on every machine: nothing written before can be missing from now on. */
  settled(): void {
    if (this.isTrusted) this.isContinuous = true;
  }

  /** Something cannot be in a sound store: nothing it says is acted on until the copies were put back. */
  doubt(evidence: string): void {
    if (this.soundness.state !== 'sound' && this.soundness.state !== 'unattached') return;
    this.doubtedAt = this.p.clock.now();
    this.soundness.transitionTo('doubtful', evidence);
    this.p.onIntegrityChanged();
  }

  private brings(): LocalRecoveryState {
    const { view, generation: era } = this;
    const own: EpochReplica[] =
      view === null ? [] : [{ epoch: era, get: (k) => view.copy.get(k), keys: () => view.copy.keys() }];
    return {
      replicaEpoch: era,
      highestKnownEpoch: Math.max(this.claims.highest, era),
      deployment: this.deployment,
      tokenFloor: view?.epoch.floor ?? 0,
      lastLedToken: this.ledToken,
      highestSeenToken: this.claims.token,
      continuous: this.isContinuous,
      highestLeaseId: this.lease,
      replicas: this.snapshot === null ? own : [...own, this.snapshot],
    };
  }

  // --- its life --------------------------------------------------------------------------------------

  async run(): Promise<never> {
    void this.auditLoop().catch((e: unknown) => {
      this.p.log.info({ error: String(e) }, 'audits ended');
    });
    for (;;) {
      try {
        await this.step();
      } catch (e) {
        // Whatever was read could not be understood: a store that holds such things is not trusted.
        this.p.log.info({ error: String(e) }, 'state service cannot be read');
        if (this.soundness.state === 'rebuilding') this.soundness.transitionTo('doubtful', String(e));
        else this.doubt(String(e));
        await this.p.clock.sleep(RETRY_MS);
      }
    }
  }

  private async step(): Promise<void> {
    switch (this.soundness.state) {
      case 'unattached':
        return this.attach();
      case 'sound':
        return this.sound?.follow();
      case 'doubtful':
        this.soundness.transitionTo('rebuilding', 'what the nodes remember is gathered');
        return;
      case 'rebuilding': {
        const opened = await this.gathering.attempt();
        if (opened !== null) this.enter(opened);
      }
    }
  }

  private async attach(): Promise<void> {
    const found = await this.gathering.readEpochRecord();
    if (found === null) return this.p.clock.sleep(RETRY_MS);
    const { epoch } = found;
    await this.takeSnapshot(epoch?.deployment ?? null);
    if (epoch === null) return this.attachToNothing();
    const { ahead } = this.claims.heard();
    if (epoch.phase !== 'open' || epoch.number < ahead)
      return this.doubt(`epoch ${epoch.number} is ${epoch.phase}, of others ${ahead}`);
    const known = this.claims.revisionOf(epoch.id);
    const opened = await this.gathering.loadOpenEpoch(epoch);
    if (opened === null) return;
    if (opened.latest < known) return this.doubt(`revision ${opened.latest} was read, a peer knows ${known}`);
    const later = this.snapshot === null ? null : findMissingFromSnapshot(this.snapshot, opened);
    if (later !== null) return this.doubt(later);
    this.enter(opened);
  }

  private async takeSnapshot(deployment: string | null): Promise<void> {
    if (this.p.shelf === undefined || this.snapshot !== null) return;
    this.snapshot = await this.p.shelf.latest(deployment);
    if (this.snapshot === null) return;
    this.deployment = this.snapshot.deployment;
    this.claims.met(this.snapshot.epoch);
  }

  /** No epoch's record: a first start, or a store that was emptied. */
  private async attachToNothing(): Promise<void> {
    const now = this.p.clock.now();
    const { peers, ahead } = this.claims.heard();
    const aloneMs = peers.length >= this.p.nodes - 1 ? FIRST_MS : FIRST_ALONE_MS;
    if (this.claims.token > 0 || this.snapshot !== null) this.doubt('no epoch, but a token or a snapshot');
    else if (ahead > 0 || now - this.startedAt < aloneMs) await this.p.clock.sleep(50);
    else if (!(await this.claims.isNewToWorkers())) await this.p.clock.sleep(ASK_MS);
    else {
      const listed = await this.p.raw.list('', 0);
      if (listed.outcome !== 'listed') await this.p.clock.sleep(RETRY_MS);
      else if (listed.items.some((i) => !isControlKey(i.key))) this.doubt('records without an epoch');
      else await this.gathering.initializeStore();
    }
  }

  private enter(o: OpenEpoch): void {
    const { epoch, revision } = o;
    this.view = new EpochStore(
      {
        raw: this.p.raw,
        clock: this.p.clock,
        txnOps: this.p.limits.txnOps,
        doubt: (evidence) => {
          this.doubt(evidence);
        },
        isCurrent: (view) => this.sound === view,
        isContinuous: () => this.isContinuous,
        copied: () => this.p.onReplicaChanged?.(),
      },
      o,
    );
    this.joined = epoch.number;
    this.deployment = epoch.deployment;
    // A node that comes later knows of the epoch's opening only what its peers say.
    const begun = epoch.first && this.gathering.hasInitiated(epoch);
    this.isContinuous = this.claims.attests(epoch.id) || begun || (o.gathered && epoch.continuous);
    this.snapshot = null;
    this.doubtedAt = null;
    this.soundness.transitionTo(
      'sound',
      `epoch ${epoch.number} at ${revision}, ${o.pending.length} to write back`,
    );
    this.p.onIntegrityChanged();
    this.p.onReplicaChanged?.();
    const impossible = o.items.find((i) => i.version > o.latest);
    if (impossible !== undefined) this.doubt(`${impossible.key} is later than the store`);
  }

  private async auditLoop(): Promise<never> {
    for (;;) {
      await this.p.clock.sleep(AUDIT_MS);
      await this.sound?.check();
    }
  }

  // --- the state service as everybody else uses it -----------------------------------------------------

  async read(key: string, urgency: RequestPriority): Promise<ReadOutcome> {
    return this.sound?.read(key, urgency) ?? REFUSED;
  }

  async list(prefix: string, urgency: RequestPriority): Promise<ListOutcome> {
    return this.sound?.list(prefix, urgency) ?? REFUSED;
  }

  async commit(
    conditions: readonly Compare[],
    changes: readonly Mutation[],
    urgency: RequestPriority,
  ): Promise<CommitOutcome> {
    return this.sound?.commit(conditions, changes, urgency) ?? REFUSED;
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    return this.sound?.watch(prefix, after, waitMs) ?? REFUSED;
  }

  async grantLease(ttlMs: number): Promise<LeaseGrantOutcome> {
    if (!this.isTrusted) return REFUSED;
    const granted = await this.p.raw.grantLease(ttlMs);
    if (granted.outcome === 'granted') this.lease = Math.max(this.lease, granted.lease);
    return granted;
  }

  async renewLease(lease: LeaseId, held: Compare): Promise<LeaseRenewalOutcome> {
    return this.sound?.renewLease(lease, held) ?? REFUSED;
  }

  revokeLease(lease: LeaseId): Promise<void> {
    return this.isTrusted ? this.p.raw.revokeLease(lease) : Promise.resolve();
  }

  /** Writes what pages hold back as records of their own, for as long as `goesOn`. */
  writeBack(goesOn: () => boolean): Promise<void> {
    const parts = {
      store: this,
      clock: this.p.clock,
      log: this.p.log,
      most: this.p.limits.txnOps - 1,
      view: () => this.sound,
    };
    return writeBack(parts, goesOn);
  }
}
