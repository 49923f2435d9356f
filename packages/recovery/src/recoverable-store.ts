/**
 * The key-value store as controllers use it: every response is validated, and lost data is recovered (docs/state-loss.md).
 *
 * @module
 */
import { jobKey } from '@spurbridge/model';
import type { MonotonicMs, RequestPriority } from '@spurbridge/net';
import type {
  CommitOutcome,
  KeyValueStore,
  LeaseGrantOutcome,
  LeaseRenewalOutcome,
  ListOutcome,
  ReadOutcome,
  WatchOutcome,
} from '@spurbridge/store';
import type {
  Compare,
  FencingToken,
  JobId,
  KeyValue,
  LeaseId,
  MachineId,
  Mutation,
  PeerStatus,
  Revision,
  Version,
} from '@spurbridge/wire';
import type { RecoverableStoreDependencies } from './dependencies.js';
import type { Epoch, EpochNumber } from './epoch/epoch-record.js';
import { fencingTokenAt } from './epoch/fencing-tokens.js';
import { REFUSED } from './epoch-store/response-validator.js';
import { writeBack } from './phases/write-back.js';
import { jobPhaseOf } from './replica/replica-entry.js';
import type { Replica } from './replica/replica.js';
import { StoreLifecycle } from './store-lifecycle.js';

/** The replica with the epoch that it belongs to, and the revision up to which it is consistent. */
export interface ReplicaSnapshot {
  readonly epoch: Epoch;
  readonly revision: Revision;
  readonly replica: Replica;
}

/** The fields of a controller's status that describe the store. */
export type StoreStatus = Pick<
  PeerStatus,
  'storeEpoch' | 'storeEpochId' | 'storeRevision' | 'isStoreTrusted' | 'hasContinuousReplica'
>;

/**
 * The key-value store with validation of all its responses. While there is no evidence against the store, calls are
 * passed on; otherwise every call is refused until an epoch is open in which the replicas of the controllers were
 * merged. To callers, a loss of data therefore looks like an outage.
 */
export class RecoverableStore implements KeyValueStore {
  private readonly lifecycle: StoreLifecycle;

  constructor(private readonly dependencies: RecoverableStoreDependencies) {
    this.lifecycle = new StoreLifecycle(dependencies);
  }

  /** Attaches to the store, follows it and recovers it, while the process runs. */
  run(): Promise<never> {
    return this.lifecycle.run();
  }

  /** Whether the store is trusted now. */
  get isTrusted(): boolean {
    return this.lifecycle.integrity.isTrusted;
  }

  /** Number of the epoch that the replica belongs to. */
  get generation(): EpochNumber {
    return this.lifecycle.generation;
  }

  /** Whether the epoch was followed without a gap, so that everything ever written was read. */
  get continuous(): boolean {
    return this.lifecycle.isContinuous;
  }

  /** Whether the epoch opened without the replica of the last leader. */
  get hasLostData(): boolean {
    const { epochStore } = this.lifecycle;
    return epochStore !== null && !epochStore.epoch.continuous;
  }

  /**
   * Age of the replica in milliseconds; it contains everything that was durable that long ago. Infinity without a
   * replica.
   */
  get replicaAgeMs(): number {
    return this.lifecycle.epochStore?.replicaAgeMs ?? Infinity;
  }

  /** Returns the phase of a job according to the replica, or null if no record of it was ever read. */
  jobPhaseOf(id: JobId): string | null {
    const entry = this.lifecycle.epochStore?.replica.get(jobKey(id));
    return entry === undefined ? null : jobPhaseOf(entry.text);
  }

  /** Returns a record of the replica; undefined if it is not known or the store is not trusted. */
  replicatedRecord(key: string): KeyValue | undefined {
    const entry = this.lifecycle.trustedStore?.replica.get(key);
    if (entry === undefined) return undefined;
    return { key, value: JSON.parse(entry.text) as unknown, version: entry.version };
  }

  /** Returns the replica, for a snapshot; null while the store is not trusted. */
  replicaSnapshot(): ReplicaSnapshot | null {
    const store = this.lifecycle.trustedStore;
    if (store === null) return null;
    return { epoch: store.epoch, revision: store.replica.revision, replica: store.replica };
  }

  /** Returns the fencing token of a leader whose record, or a later commit of its term, has this version. */
  fencingTokenOf(version: Version): FencingToken {
    return fencingTokenAt(this.lifecycle.epochStore?.epoch.tokenFloor ?? 0, version);
  }

  /** Returns since when the store is not trusted, or has not served requests; null while it is available. */
  failingSince(): MonotonicMs | null {
    return this.lifecycle.suspectSince ?? this.dependencies.underlyingStore.failingSince();
  }

  /** Returns the fields of this controller's status that describe the store. */
  status(): StoreStatus {
    const { joinedEpoch, epochStore, trustedStore } = this.lifecycle;
    return {
      storeEpoch: Math.max(this.generation, joinedEpoch),
      // The id of the epoch that this controller works in, or last worked in, but not of one that it only helps to
      // recover.
      storeEpochId: joinedEpoch > this.generation ? '' : (epochStore?.epoch.id ?? ''),
      storeRevision: trustedStore?.highestKnownRevision ?? 0,
      isStoreTrusted: this.isTrusted,
      hasContinuousReplica: this.continuous,
    };
  }

  /** Receives the status of a peer, which may be evidence against the store. */
  receivePeerStatus(status: PeerStatus): void {
    this.lifecycle.receivePeerStatus(status);
  }

  /** Receives the token in a worker's heartbeat; 0 if the worker has never seen a leader. */
  receiveWorkerToken(machine: MachineId, token: FencingToken): void {
    const { integrity, observations } = this.lifecycle;
    if (integrity.state === 'unattached' && token === 0) observations.receiveNewWorker(machine);
    this.lifecycle.receiveToken(token);
  }

  /** Records a token that this process gives to workers as the leader, beginning with that of its election. */
  recordIssuedToken(token: FencingToken): void {
    this.lifecycle.recordIssuedToken(token);
  }

  /** Records that the leader knows the state of every machine, so that no earlier write can still be missing. */
  confirmReconciled(): void {
    this.lifecycle.confirmContinuous();
  }

  /** Writes contributed records to their own keys, while `isWanted` returns true. */
  writeBack(isWanted: () => boolean): Promise<void> {
    const { clock, log, limits } = this.dependencies;
    const dependencies = {
      store: this,
      clock,
      log,
      batchSize: limits.txnOps - 1,
      currentEpochStore: () => this.lifecycle.trustedStore,
    };
    return writeBack(dependencies, isWanted);
  }

  /** See `KeyValueStore`. Refused while the store is not trusted. */
  async read(key: string, priority: RequestPriority): Promise<ReadOutcome> {
    return this.lifecycle.trustedStore?.read(key, priority) ?? REFUSED;
  }

  /** See `KeyValueStore`. Refused while the store is not trusted. */
  async list(prefix: string, priority: RequestPriority): Promise<ListOutcome> {
    return this.lifecycle.trustedStore?.list(prefix, priority) ?? REFUSED;
  }

  /** See `KeyValueStore`. Refused while the store is not trusted. Also compares the fence of the epoch. */
  async commit(
    compares: readonly Compare[],
    mutations: readonly Mutation[],
    priority: RequestPriority,
  ): Promise<CommitOutcome> {
    return this.lifecycle.trustedStore?.commit(compares, mutations, priority) ?? REFUSED;
  }

  /** See `KeyValueStore`. Refused while the store is not trusted. */
  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    return this.lifecycle.trustedStore?.watch(prefix, after, waitMs) ?? REFUSED;
  }

  /** See `KeyValueStore`. Refused while the store is not trusted. */
  async grantLease(ttlMs: number): Promise<LeaseGrantOutcome> {
    if (!this.isTrusted) return REFUSED;
    const granted = await this.dependencies.underlyingStore.grantLease(ttlMs);
    if (granted.outcome === 'granted') this.lifecycle.recordLeaseGrant(granted.lease);
    return granted;
  }

  /** See `KeyValueStore`. Refused while the store is not trusted. Also compares the fence of the epoch. */
  async renewLease(lease: LeaseId, leadership: Compare): Promise<LeaseRenewalOutcome> {
    return this.lifecycle.trustedStore?.renewLease(lease, leadership) ?? REFUSED;
  }

  /** See `KeyValueStore`. Does nothing while the store is not trusted. */
  revokeLease(lease: LeaseId): Promise<void> {
    return this.isTrusted ? this.dependencies.underlyingStore.revokeLease(lease) : Promise.resolve();
  }
}
