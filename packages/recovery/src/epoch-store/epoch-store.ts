/**
 * The key-value store in one open epoch, with this controller's replica of it.
 *
 * @module
 */
import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { Clock, MonotonicMs, RequestPriority } from '@spurbridge/net';
import type {
  CommitOutcome,
  KeyValueStore,
  LeaseRenewalOutcome,
  ListOutcome,
  ReadOutcome,
  RequestFailure,
  WatchOutcome,
} from '@spurbridge/store';
import { LEADER_KEY } from '@spurbridge/store';
import type { Compare, KeyValue, LeaseId, Mutation, Revision, Version, WatchEvent } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { isControlKey } from '../epoch/control-keys.js';
import type { Epoch } from '../epoch/epoch-record.js';
import type { OpenEpoch } from '../epoch/open-epoch.js';
import { isTombstone } from '../epoch/tombstone.js';
import type { ReplicaEntry } from '../replica/replica-entry.js';
import { isNeverDeleted } from '../replica/replica-entry.js';
import { RepairOverlay } from '../replica/repair-overlay.js';
import { Replica } from '../replica/replica.js';
import { BACKGROUND_PRIORITY, CONTROL_PRIORITY } from '../request-priorities.js';
import { AuditSelector } from './audit-selector.js';
import { IntegrityAuditor } from './integrity-auditor.js';
import { ReplicaFollower } from './replica-follower.js';
import type { EpochTrust } from './response-validator.js';
import { REFUSED, ResponseValidator, UNKNOWN } from './response-validator.js';
import { translateCompares, translateMutations } from './transaction-translation.js';
import { mutatedKey, withoutTombstone } from './watch-events.js';

/** Audits compare up to this many times as many keys as a transaction may mutate. */
const COMPARES_PER_TRANSACTION_OPERATION = 4;
/** Number of comparisons in an audit that are reserved for keys other than records. */
const RESERVED_COMPARES = 2;
/** How long users retry a submission, in milliseconds. Until then, a job lost by the store may be submitted again. */
const SUBMISSION_RETRY_MS = 60_000;

type FoundOrAbsent = Extract<ReadOutcome, { outcome: 'found' | 'absent' }>;
type Found = Extract<ReadOutcome, { outcome: 'found' }>;
type Absent = Extract<ReadOutcome, { outcome: 'absent' }>;
type Listed = Extract<ListOutcome, { outcome: 'listed' }>;

/** The dependencies of an `EpochStore`. */
export interface EpochStoreDependencies {
  /** The store whose responses are validated here. */
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  /** Number of mutations that a transaction may hold. */
  readonly txnOps: number;
  /** Reports evidence that the store is not intact. */
  readonly suspect: (evidence: string) => void;
  /** Returns whether this is still the epoch that is trusted. */
  readonly isCurrent: (store: EpochStore) => boolean;
  /** Returns whether everything that was ever written is known to have been read. */
  readonly isContinuous: () => boolean;
  /** Called after the replica has changed. */
  readonly onReplicaChanged: () => void;
}

/**
 * The store in one epoch. Every commit compares the fence, and every response is validated against what was known when
 * its request was sent. Readers see pending repairs in place of the values that they replace.
 */
export class EpochStore {
  readonly epoch: Epoch;
  readonly replica = new Replica();
  readonly overlay: RepairOverlay;
  /** Keys of contributions and of tombstones, to be deleted once everything is written back. */
  obsoleteKeys: readonly string[];
  private readonly underlyingStore: KeyValueStore;
  private readonly validator: ResponseValidator;
  private readonly selector: AuditSelector;
  private readonly follower: ReplicaFollower;
  private readonly auditor: IntegrityAuditor;
  private readonly enteredAt: MonotonicMs;

  constructor(
    private readonly dependencies: EpochStoreDependencies,
    { epoch, fence, records, pendingRepairs, obsoleteKeys, revision }: OpenEpoch,
  ) {
    const { underlyingStore, clock, txnOps } = dependencies;
    const repairedRecords = pendingRepairs.map((repair) => ({
      key: repair.key,
      value: JSON.parse(repair.text) as unknown,
      // This version is higher than that of any record from before the fence, and lower than that of any later write.
      version: fence.version,
    }));
    this.replica.replaceAll([...records, ...repairedRecords], revision);
    this.epoch = epoch;
    this.underlyingStore = underlyingStore;
    this.overlay = new RepairOverlay(pendingRepairs, fence.version);
    this.obsoleteKeys = [...obsoleteKeys];
    this.enteredAt = clock.now();
    this.selector = new AuditSelector(txnOps * COMPARES_PER_TRANSACTION_OPERATION - RESERVED_COMPARES);
    const trust: EpochTrust = {
      isCurrent: () => this.isCurrent,
      suspect: (evidence) => {
        dependencies.suspect(evidence);
      },
    };
    this.validator = new ResponseValidator(underlyingStore, fence, trust, revision);
    this.follower = this.createFollower(trust);
    this.auditor = this.createAuditor(trust);
  }

  private createFollower(trust: EpochTrust): ReplicaFollower {
    const { underlyingStore, clock, onReplicaChanged } = this.dependencies;
    return new ReplicaFollower({
      underlyingStore,
      clock,
      epoch: this.epoch,
      replica: this.replica,
      validator: this.validator,
      trust,
      listAll: () => this.list('', CONTROL_PRIORITY),
      onEvent: (event) => {
        this.noteMutation(event, event.version);
      },
      onReplicaChanged,
    });
  }

  private createAuditor(trust: EpochTrust): IntegrityAuditor {
    return new IntegrityAuditor({
      underlyingStore: this.underlyingStore,
      replica: this.replica,
      overlay: this.overlay,
      selector: this.selector,
      validator: this.validator,
      trust,
      readAll: () => this.list('', BACKGROUND_PRIORITY),
    });
  }

  private get isCurrent(): boolean {
    return this.dependencies.isCurrent(this);
  }

  /** Highest revision that the epoch is known to have reached. */
  get highestKnownRevision(): number {
    return this.validator.highestKnownRevision;
  }

  /** Age of the replica in milliseconds; Infinity until the first watch has returned. */
  get replicaAgeMs(): number {
    return this.follower.ageMs;
  }

  /** Records that the epoch has reached a revision, according to another controller or a worker. */
  noteRevision(revision: number): void {
    this.validator.highestKnownRevision = Math.max(this.validator.highestKnownRevision, revision);
  }

  /** Waits for changes once, and applies them to the replica. */
  follow(): Promise<void> {
    return this.follower.follow();
  }

  /** Compares part of the replica with the store. */
  audit(): Promise<void> {
    return this.auditor.run();
  }

  /** Reads a key. A response that contradicts the replica is refused, and reported as evidence of a loss. */
  async read(key: string, priority: RequestPriority): Promise<ReadOutcome> {
    const known = this.replica.get(key);
    const found = await this.validator.send<FoundOrAbsent>(() => this.underlyingStore.read(key, priority));
    if (!this.isCurrent) return REFUSED;
    if (found.outcome === 'found') return this.validateFound(key, found, known);
    if (found.outcome === 'absent') return this.validateAbsent(key, found, known);
    return found;
  }

  private validateFound(key: string, found: Found, known: ReplicaEntry | undefined): ReadOutcome {
    const { version, value } = found.item;
    if (key === LEADER_KEY && !isObject(value)) {
      this.dependencies.suspect('the leader record is not an object');
      return REFUSED;
    }
    if (isTombstone(value)) return { outcome: 'absent', revision: this.highestKnownRevision as Revision };
    const substitute = this.overlay.substitute(key, version);
    if (substitute !== null) return { outcome: 'found', item: substitute };
    return this.validator.accepts(key, known, version, value) ? found : REFUSED;
  }

  private validateAbsent(key: string, absent: Absent, known: ReplicaEntry | undefined): ReadOutcome {
    const substitute = this.overlay.substitute(key, KEY_ABSENT);
    if (substitute !== null) return { outcome: 'found', item: substitute };
    if (!this.validator.accepts(key, known, KEY_ABSENT, undefined)) return REFUSED;
    // While records may be missing, an unknown job may have been accepted nevertheless.
    const mayBeRetried = this.dependencies.clock.now() - this.enteredAt < SUBMISSION_RETRY_MS;
    const isUncertain = key.startsWith(JOB_KEY_PREFIX) && !this.dependencies.isContinuous() && mayBeRetried;
    return isUncertain ? REFUSED : absent;
  }

  /** Reads all keys with a prefix. A response that contradicts the replica is refused, and reported as evidence of a loss. */
  async list(prefix: string, priority: RequestPriority): Promise<ListOutcome> {
    const listed = await this.validator.send<Listed>(() => this.underlyingStore.list(prefix, priority));
    if (!this.isCurrent) return REFUSED;
    if (listed.outcome !== 'listed') return listed;
    const items = this.validateListed(listed);
    if (items === null) return REFUSED;
    const listedKeys = new Set(listed.items.map((item) => item.key));
    for (const item of this.overlay.substitutesOfAbsentKeys(prefix))
      if (!listedKeys.has(item.key)) items.push(item);
    const lostJobKey = this.findLostJob(prefix, listed, listedKeys);
    if (lostJobKey !== null) {
      this.dependencies.suspect(`${lostJobKey} is missing`);
      return REFUSED;
    }
    return { ...listed, items };
  }

  /** Returns the listed records as readers see them, or null if one of them contradicts the replica. */
  private validateListed(listed: Listed): KeyValue[] | null {
    const items: KeyValue[] = [];
    for (const item of listed.items) {
      if (isTombstone(item.value)) continue;
      const substitute = this.overlay.substitute(item.key, item.version);
      // Only what was known before the list was requested can contradict it.
      const known = this.replica.get(item.key);
      const knownBefore = known !== undefined && known.version <= listed.revision ? known : undefined;
      if (substitute === null && !this.validator.accepts(item.key, knownBefore, item.version, item.value))
        return null;
      items.push(substitute ?? item);
    }
    return items;
  }

  /**
   * Returns the key of a job that was known before the list was requested and is missing from it; null if there is
   * none.
   */
  private findLostJob(prefix: string, listed: Listed, listedKeys: ReadonlySet<string>): string | null {
    if (!JOB_KEY_PREFIX.startsWith(prefix)) return null;
    for (const [key, known] of this.replica.entries()) {
      const wasWrittenBefore = isNeverDeleted(key, known) && known.version <= listed.revision;
      if (wasWrittenBefore && !listedKeys.has(key) && !this.overlay.has(key)) return key;
    }
    return null;
  }

  /**
   * Commits a transaction that also compares the fence. Versions are those that readers saw, including those of pending
   * repairs.
   */
  async commit(
    compares: readonly Compare[],
    mutations: readonly Mutation[],
    priority: RequestPriority,
  ): Promise<CommitOutcome> {
    const translated = translateCompares(compares, this.overlay, this.replica);
    if (translated.failedKeys.length > 0) {
      const revision = this.highestKnownRevision as Revision;
      return { outcome: 'conflict', failed: translated.failedKeys, revision };
    }
    const fencedCompares = [this.validator.fence, ...translated.compares];
    const written = translateMutations(mutations, this.overlay);
    const outcome = this.validator.checkFence(
      await this.validator.send(() =>
        this.underlyingStore.commit(fencedCompares, written.mutations, priority),
      ),
    );
    if (!this.isCurrent) return outcome.outcome === 'committed' ? UNKNOWN : outcome;
    if (outcome.outcome !== 'committed') return outcome;
    this.obsoleteKeys = [...this.obsoleteKeys, ...written.tombstoneKeys];
    this.applyOwnCommit(mutations, outcome.revision);
    return outcome;
  }

  private applyOwnCommit(mutations: readonly Mutation[], revision: Revision): void {
    const ofRecords = mutations.filter((mutation) => !isControlKey(mutatedKey(mutation)));
    this.replica.applyCommit(ofRecords, revision);
    for (const mutation of mutations) this.noteMutation(mutation, revision as number as Version);
    if (mutations.length > 0) this.dependencies.onReplicaChanged();
  }

  /** Drops the pending repair of a key that was written or deleted, and schedules the key for an audit. */
  private noteMutation(mutation: Mutation | WatchEvent, version: Version): void {
    const key = mutatedKey(mutation);
    this.overlay.dropIfWritten(key, version);
    if ('put' in mutation && !isControlKey(key)) this.selector.noteWrite(key);
  }

  /** Waits up to `waitMs` milliseconds for changes of keys with a prefix after a revision. */
  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    const watched = await this.validator.send<Exclude<WatchOutcome, RequestFailure>>(() =>
      this.underlyingStore.watch(prefix, after, waitMs),
    );
    if (!this.isCurrent) return REFUSED;
    return watched.outcome === 'events'
      ? { ...watched, events: watched.events.map(withoutTombstone) }
      : watched;
  }

  /**
   * Renews a lease. A renewal only counts while the fence and the leader record are unchanged, because after a loss the
   * id may belong to another process.
   */
  async renewLease(lease: LeaseId, leadership: Compare): Promise<LeaseRenewalOutcome> {
    const [renewed, compared] = await Promise.all([
      this.underlyingStore.renewLease(lease, leadership),
      this.validator.compare([leadership]),
    ]);
    if (compared.outcome === 'conflict') return { outcome: 'ended' };
    if (compared.outcome !== 'committed') return renewed.outcome === 'ended' ? renewed : UNKNOWN;
    return this.isCurrent ? renewed : REFUSED;
  }
}

/**
 * Every record is an object. Without this check, a leader record of another type crashed every process that read it.
 */
function isObject(value: unknown): boolean {
  return typeof value === 'object' && value !== null;
}
