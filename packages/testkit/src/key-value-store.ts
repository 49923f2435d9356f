/**
 * A stand-in for the key-value store: strongly consistent, with transactions, leases, watches, outages and
 * data losses.
 *
 * @module
 */
import type { Timeline } from '@spurbridge/simulated-worker';
import type {
  CommitOutcome,
  LeaseGrantOutcome,
  LeaseRenewalOutcome,
  ListOutcome,
  ReadOutcome,
} from '@spurbridge/store';
import type { Compare, KeyValue, LeaseId, Mutation, Revision, Version, WatchEvent } from '@spurbridge/wire';
import type { StoreFaults } from './store-faults.js';
import { NO_STORE_FAULTS } from './store-faults.js';
import { StoreHistory } from './store-history.js';
import type { StoreLease } from './store-leases.js';
import { LeaseTable } from './store-leases.js';
import type { StoreLimits } from './store-rate-limit.js';
import { StoreRateLimit } from './store-rate-limit.js';

/** Size limit of a transaction as JSON. */
const MAX_TRANSACTION_BYTES = 64 * 1024;
const BYTES_PER_KB = 1024;
/** Maximum number of compares in a transaction, as a multiple of that of mutations. */
const COMPARES_PER_MUTATION = 4;
/** The value of a corrupted record: JSON, but not a valid record. */
const CORRUPT_VALUE = '"?"';

interface Entry {
  /** The value as JSON. */
  readonly value: string;
  readonly version: number;
  readonly lease: number | null;
}

/** Observes a transaction and its outcome. */
export type CommitListener = (
  compares: readonly Compare[],
  mutations: readonly Mutation[],
  outcome: CommitOutcome,
) => void;

/** The complete contents of the store at one moment. */
export interface StoreCheckpoint {
  readonly entries: ReadonlyMap<string, Entry>;
  readonly leases: ReadonlyMap<number, StoreLease>;
  readonly history: readonly WatchEvent[];
  readonly revision: number;
  readonly nextLeaseId: number;
}

const EMPTY_CHECKPOINT: StoreCheckpoint = {
  entries: new Map(),
  leases: new Map(),
  history: [],
  revision: 0,
  nextLeaseId: 1,
};

/** The store itself; controllers reach it through a `SimStoreClient`. */
export class SimKeyValueStore {
  /** Called for every transaction that reached the store, once it has been executed or rejected. */
  onCommit: CommitListener | null = null;
  /** The number of transactions that exceed the protocol's limits; a real store would always reject them. */
  oversizedCommits = 0;
  private readonly entries = new Map<string, Entry>();
  private readonly leases: LeaseTable;
  private readonly history: StoreHistory;
  private readonly rateLimit: StoreRateLimit;
  private revision = 0;
  private isOut = false;

  constructor(
    readonly time: Timeline,
    private readonly limits: StoreLimits,
    readonly faults: StoreFaults = NO_STORE_FAULTS,
  ) {
    this.history = new StoreHistory(time);
    this.rateLimit = new StoreRateLimit(time, limits);
    this.leases = new LeaseTable(time, () => {
      this.expireLeases();
    });
  }

  /** The number of admitted requests. */
  get requests(): number {
    return this.rateLimit.requests;
  }

  /** The number of admitted mutations. */
  get mutations(): number {
    return this.rateLimit.mutations;
  }

  /** Whether the store is in an outage. */
  get isDown(): boolean {
    return this.isOut;
  }

  /** Whether the rate limits admit a request with this many mutations now. */
  admits(mutations: number): boolean {
    return this.rateLimit.tryAcquire(mutations);
  }

  /** Begins or ends an outage. Afterwards every lease is renewed to its full length. */
  setOutage(isOut: boolean): void {
    if (this.isOut && !isOut) this.leases.renewAll();
    this.isOut = isOut;
    if (isOut) return;
    this.expireLeases();
    this.notifyWatches();
  }

  /** All keys, sorted. */
  keys(): string[] {
    return [...this.entries.keys()].sort();
  }

  /** The value of a key, read without a request; undefined if there is none. */
  peek(key: string): unknown {
    const entry = this.entries.get(key);
    return entry === undefined ? undefined : JSON.parse(entry.value);
  }

  /** The record of a key, or its absence. */
  read(key: string): ReadOutcome {
    this.expireLeases();
    const entry = this.entries.get(key);
    if (entry === undefined) return { outcome: 'absent', revision: this.currentRevision() };
    return { outcome: 'found', item: toKeyValue(key, entry) };
  }

  /** All keys with the prefix, sorted, with their values. */
  list(prefix: string): ListOutcome {
    this.expireLeases();
    const items = [...this.entries]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, entry]) => toKeyValue(key, entry));
    const revision = this.currentRevision();
    return { outcome: 'listed', items, revision, latest: revision };
  }

  /** Executes all mutations, provided that every compare holds and every lease exists. */
  commit(compares: readonly Compare[], mutations: readonly Mutation[]): CommitOutcome {
    const outcome = this.execute(compares, mutations);
    this.onCommit?.(compares, mutations, outcome);
    return outcome;
  }

  /** The revision of the latest change. */
  currentRevision(): Revision {
    return this.revision as Revision;
  }

  /** Creates a lease of this length in milliseconds. */
  grantLease(ttlMs: number): LeaseGrantOutcome {
    return { outcome: 'granted', lease: this.leases.grant(ttlMs) as LeaseId };
  }

  /** Renews a lease to its full length. */
  renewLease(id: number): LeaseRenewalOutcome {
    this.expireLeases();
    return { outcome: this.leases.renew(id) ? 'renewed' : 'ended' };
  }

  /** Ends a lease and deletes its keys. */
  endLease(id: number): void {
    if (!this.leases.remove(id)) return;
    this.revision += 1;
    for (const [key, entry] of [...this.entries]) if (entry.lease === id) this.delete(key);
    this.notifyWatches();
  }

  /** Ends expired leases, except during an outage. */
  expireLeases(): void {
    if (this.isOut) return;
    for (const id of this.leases.expiredIds()) this.endLease(id);
  }

  /** Events of keys with the prefix after the revision. */
  eventsSince(prefix: string, after: number): WatchEvent[] {
    return this.history.since(prefix, after);
  }

  /** Whether all events after this revision are still retained. */
  hasEventsSince(after: number): boolean {
    return this.history.retainsEventsAfter(after);
  }

  /** Drops all but the latest events; a watch from an earlier revision requires reading the keys again. */
  trimHistory(keep: number): void {
    this.history.trim(keep);
  }

  /** Calls back once, when a key with the prefix changes after the revision or the timeout passes. */
  waitForChange(prefix: string, after: number, timeoutMs: number, notify: () => void): void {
    this.history.wait(prefix, after, timeoutMs, notify);
  }

  /** A consistent checkpoint, to be restored later. */
  checkpoint(): StoreCheckpoint {
    return {
      entries: new Map(this.entries),
      leases: this.leases.toMap(),
      history: this.history.toArray(),
      revision: this.revision,
      nextLeaseId: this.leases.nextLeaseId,
    };
  }

  /** Restores a checkpoint, including revisions and leases; every lease is renewed to its full length. */
  restore(checkpoint: StoreCheckpoint): void {
    this.replaceAll(checkpoint, checkpoint.entries);
  }

  /** Loses all data. */
  clear(): void {
    this.restore(EMPTY_CHECKPOINT);
  }

  /** Restores a checkpoint without its keys; these return a few at a time while requests are served. */
  restoreGradually(checkpoint: StoreCheckpoint, keysAtOnce: number, everyMs: number): void {
    this.replaceAll(checkpoint, new Map());
    const remaining = [...checkpoint.entries];
    const restoreSome = (): void => {
      for (const [key, entry] of remaining.splice(0, keysAtOnce))
        if (!this.entries.has(key)) this.entries.set(key, entry);
      if (remaining.length > 0) this.time.after(everyMs, restoreSome);
    };
    restoreSome();
  }

  /** Removes keys without watchable deletions; returns how many. */
  dropKeys(isDropped: (key: string) => boolean): number {
    const dropped = [...this.entries.keys()].filter(isDropped);
    for (const key of dropped) this.entries.delete(key);
    return dropped.length;
  }

  /** Corrupts values without changing their versions; returns how many. */
  corruptValues(isCorrupted: (key: string) => boolean): number {
    let count = 0;
    for (const [key, entry] of this.entries) {
      if (!isCorrupted(key)) continue;
      this.entries.set(key, { ...entry, value: CORRUPT_VALUE });
      count += 1;
    }
    return count;
  }

  /** Resets only the revision counter. */
  rollBackRevision(revision: number): void {
    this.revision = Math.min(this.revision, revision);
    this.history.notifyAll();
  }

  private execute(compares: readonly Compare[], mutations: readonly Mutation[]): CommitOutcome {
    this.expireLeases();
    this.countOversized(compares, mutations);
    const failed = compares
      .filter(({ key, version }) => (this.entries.get(key)?.version ?? 0) !== version)
      .map(({ key }) => key);
    if (failed.length > 0) return { outcome: 'conflict', failed, revision: this.currentRevision() };
    for (const mutation of mutations)
      if ('put' in mutation && mutation.lease !== undefined && !this.leases.has(mutation.lease))
        return { outcome: 'no_lease' };
    if (mutations.length > 0) this.revision += 1;
    for (const mutation of mutations)
      if ('put' in mutation) this.put(mutation.put, mutation.value, mutation.lease ?? null);
      else this.delete(mutation.delete);
    this.notifyWatches();
    return { outcome: 'committed', revision: this.currentRevision() };
  }

  private countOversized(compares: readonly Compare[], mutations: readonly Mutation[]): void {
    const { valueKb, txnOps } = this.limits;
    const bytes = JSON.stringify(compares).length + JSON.stringify(mutations).length;
    const hasLargeValue = mutations.some(
      (mutation) => 'put' in mutation && JSON.stringify(mutation.value).length > valueKb * BYTES_PER_KB,
    );
    const hasTooMany = mutations.length > txnOps || compares.length > txnOps * COMPARES_PER_MUTATION;
    if (hasLargeValue || hasTooMany || bytes > MAX_TRANSACTION_BYTES) this.oversizedCommits += 1;
  }

  private put(key: string, value: unknown, lease: number | null): void {
    const json = JSON.stringify(value);
    const version = this.revision as Version;
    this.entries.set(key, { value: json, version, lease });
    this.history.append({ put: key, value: JSON.parse(json), version });
  }

  private delete(key: string): void {
    if (this.entries.delete(key)) this.history.append({ delete: key, version: this.revision as Version });
  }

  private notifyWatches(): void {
    if (!this.isOut) this.history.notifyReady();
  }

  private replaceAll(checkpoint: StoreCheckpoint, entries: ReadonlyMap<string, Entry>): void {
    this.entries.clear();
    for (const [key, entry] of entries) this.entries.set(key, entry);
    this.leases.replace(checkpoint.leases, checkpoint.nextLeaseId);
    this.history.replace(checkpoint.history);
    this.revision = checkpoint.revision;
    this.history.notifyAll();
  }
}

function toKeyValue(key: string, { value, version }: Entry): KeyValue {
  return { key, value: JSON.parse(value), version: version as Version };
}
