import type { MonotonicMs } from '@spurbridge/net';
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
  LeaseId,
  Revision,
  FencingToken,
  Version,
  WatchEvent,
} from '@spurbridge/wire';
import type { Timeline } from '@spurbridge/simulated-worker';
import type { ProcessClock } from './clock.js';
import type { SimNetwork } from './network.js';

export interface StoreLimits {
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

const MOST_TRANSACTION = 64 * 1024;

interface Entry {
  value: string;
  version: number;
  lease: number | null;
}

export const STORE_HOST = 'state';
const ANSWER_MS = 1500;
/** A watch is given up so long after it should have been answered. */
const WATCH_PATIENCE_MS = 3000;

/** What goes wrong between the state service and its callers. */
export interface StoreFaults {
  /** How much later a transaction is carried out, without an answer, in milliseconds; null: at once. */
  writeDelayMs(): number | null;
  /** Whether a transaction is carried out and only its answer is lost. */
  losesResponse(): boolean;
  /** How much later a message arrives, in milliseconds. */
  storeMessageDelayMs(): number;
}

const NO_FAULTS: StoreFaults = {
  writeDelayMs: () => null,
  losesResponse: () => false,
  storeMessageDelayMs: () => 0,
};

/** Stand-in of the state service: strongly consistent, with leases, watches and outages. */
export class SimKeyValueStore {
  private readonly entries = new Map<string, Entry>();
  private readonly leases = new Map<number, { ttl: number; ends: number }>();
  private readonly log: WatchEvent[] = [];
  /** Changes up to this revision are no longer kept. */
  private droppedUpTo = 0;
  private waiters: { prefix: string; after: number; wake: () => void }[] = [];
  private revision = 0;
  private nextLease = 1;
  private out = false;

  private requestTokens: number;
  private writeTokens: number;
  private refilledAt = 0;

  constructor(
    readonly time: Timeline,
    private readonly limits: StoreLimits,
    readonly faults: StoreFaults = NO_FAULTS,
  ) {
    this.requestTokens = limits.rps;
    this.writeTokens = limits.writeRps;
  }

  /** Requests and changes that were let through. */
  requests = 0;
  mutations = 0;

  /** Whether the limits allow a request with this many changes now: bursts of a second's worth. */
  admits(changes: number): boolean {
    const passed = (this.time.now - this.refilledAt) / 1000;
    this.refilledAt = this.time.now;
    this.requestTokens = Math.min(this.limits.rps, this.requestTokens + passed * this.limits.rps);
    this.writeTokens = Math.min(this.limits.writeRps, this.writeTokens + passed * this.limits.writeRps);
    if (this.requestTokens < 1 || this.writeTokens < changes) {
      this.refusals += 1;
      return false;
    }
    this.requestTokens -= 1;
    this.writeTokens -= changes;
    this.requests += 1;
    this.mutations += changes;
    return true;
  }

  /** Requests answered with 429. */
  refusals = 0;

  get isDown(): boolean {
    return this.out;
  }

  setOutage(out: boolean): void {
    if (this.out && !out) for (const l of this.leases.values()) l.ends = this.time.now + l.ttl;
    this.out = out;
    if (!out) {
      this.expireLeases();
      this.wake();
    }
  }

  private change(key: string, value: string | null, lease: number | null): void {
    const version = this.revision as Version;
    if (value === null) {
      if (!this.entries.delete(key)) return;
      this.log.push({ delete: key, version });
    } else {
      this.entries.set(key, { value, version, lease });
      this.log.push({ put: key, value: JSON.parse(value), version });
    }
  }

  expireLeases(): void {
    if (this.out) return;
    for (const [id, l] of this.leases) if (l.ends <= this.time.now) this.endLease(id);
  }

  endLease(id: number): void {
    if (!this.leases.delete(id)) return;
    this.revision += 1;
    for (const [key, e] of [...this.entries]) if (e.lease === id) this.change(key, null, null);
    this.wake();
  }

  private wake(): void {
    const waiting = this.waiters;
    this.waiters = [];
    for (const w of waiting)
      if (!this.out && this.eventsSince(w.prefix, w.after).length > 0) w.wake();
      else this.waiters.push(w);
  }

  eventsSince(prefix: string, after: number): WatchEvent[] {
    // The log is in order of versions: only its end is looked at.
    const found: WatchEvent[] = [];
    for (let i = this.log.length - 1; i >= 0; i -= 1) {
      const e = this.log[i] as WatchEvent;
      if (e.version <= after) break;
      if (('put' in e ? e.put : e.delete).startsWith(prefix)) found.push(e);
    }
    return found.reverse();
  }

  /** Whether the changes after this revision are still kept. */
  hasEventsSince(after: number): boolean {
    return after >= this.droppedUpTo;
  }

  /** Drops all but the latest changes; who asks for earlier ones has to read the keys again. */
  trimHistory(changes: number): void {
    const dropped = this.log.splice(0, Math.max(0, this.log.length - changes));
    this.droppedUpTo = dropped.at(-1)?.version ?? this.droppedUpTo;
  }

  /** Wakes the caller once; given up after `mostMs`, or watches of a whole night would be held for good. */
  waitForChange(prefix: string, after: number, mostMs: number, wake: () => void): void {
    const waiter = { prefix, after, wake };
    this.waiters.push(waiter);
    this.time.after(mostMs, () => {
      this.waiters = this.waiters.filter((w) => w !== waiter);
      wake();
    });
  }

  keys(): string[] {
    return [...this.entries.keys()].sort();
  }

  peek(key: string): unknown {
    const e = this.entries.get(key);
    return e === undefined ? undefined : JSON.parse(e.value);
  }

  read(key: string): ReadOutcome {
    this.expireLeases();
    const e = this.entries.get(key);
    return e === undefined
      ? { outcome: 'absent', revision: this.revision as Revision }
      : { outcome: 'found', item: { key, value: JSON.parse(e.value), version: e.version as Version } };
  }

  list(prefix: string): ListOutcome {
    this.expireLeases();
    const items: KeyValue[] = [...this.entries]
      .filter(([key]) => key.startsWith(prefix))
      .sort(([a], [b]) => (a < b ? -1 : 1))
      .map(([key, e]) => ({ key, value: JSON.parse(e.value), version: e.version as Version }));
    return {
      outcome: 'listed',
      items,
      revision: this.revision as Revision,
      latest: this.revision as Revision,
    };
  }

  /** Commits over the limits of the protocol: the real service would answer 400 for ever. */
  oversizedCommits = 0;

  private measure(conditions: readonly Compare[], changes: readonly Mutation[]): void {
    const values = changes.map((c) => ('put' in c ? JSON.stringify(c.value).length : 0));
    const total = JSON.stringify(conditions).length + JSON.stringify(changes).length;
    const tooLong = values.some((v) => v > this.limits.valueKb * 1024);
    const tooMany = changes.length > this.limits.txnOps || conditions.length > this.limits.txnOps * 4;
    if (tooLong || tooMany || total > MOST_TRANSACTION) this.oversizedCommits += 1;
  }

  /** Is told of every transaction that reached the store, when it has been carried out or refused. */
  onCommit: CommitListener | null = null;

  commit(conditions: readonly Compare[], changes: readonly Mutation[]): CommitOutcome {
    const outcome = this.execute(conditions, changes);
    this.onCommit?.(conditions, changes, outcome);
    return outcome;
  }

  private execute(conditions: readonly Compare[], changes: readonly Mutation[]): CommitOutcome {
    this.expireLeases();
    this.measure(conditions, changes);
    const failed = conditions
      .filter((c) => (this.entries.get(c.key)?.version ?? 0) !== c.version)
      .map((c) => c.key);
    if (failed.length > 0) return { outcome: 'conflict', failed, revision: this.revision as Revision };
    for (const c of changes)
      if ('put' in c && c.lease !== undefined && !this.leases.has(c.lease)) return { outcome: 'no_lease' };
    if (changes.length > 0) this.revision += 1;
    for (const c of changes)
      if ('put' in c) this.change(c.put, JSON.stringify(c.value), c.lease ?? null);
      else this.change(c.delete, null, null);
    this.wake();
    return { outcome: 'committed', revision: this.revision as Revision };
  }

  grantLease(ttl: number): LeaseGrantOutcome {
    const id = this.nextLease++;
    this.leases.set(id, { ttl, ends: this.time.now + ttl });
    this.watchLease(id);
    return { outcome: 'granted', lease: id as LeaseId };
  }

  renewLease(id: number): LeaseRenewalOutcome {
    this.expireLeases();
    const l = this.leases.get(id);
    if (l === undefined) return { outcome: 'ended' };
    l.ends = this.time.now + l.ttl;
    return { outcome: 'renewed' };
  }

  private watchLease(id: number): void {
    const l = this.leases.get(id);
    if (l === undefined) return;
    this.time.after(Math.max(l.ends - this.time.now, 50), () => {
      this.expireLeases();
      this.watchLease(id);
    });
  }

  currentRevision(): Revision {
    return this.revision as Revision;
  }

  // --- losing data ---------------------------------------------------------------------------------

  /** A consistent point, to be put back later. */
  checkpoint(): StoreCheckpoint {
    return {
      entries: new Map([...this.entries].map(([key, e]) => [key, { ...e }])),
      leases: new Map([...this.leases].map(([id, l]) => [id, { ...l }])),
      log: [...this.log],
      revision: this.revision,
      nextLease: this.nextLease,
    };
  }

  /** Back to an earlier point, revisions and leases too; every lease has its full time again. */
  restore(c: StoreCheckpoint, withEntries = true): void {
    this.entries.clear();
    if (withEntries) for (const [key, e] of c.entries) this.entries.set(key, { ...e });
    this.leases.clear();
    for (const [id, l] of c.leases) {
      this.leases.set(id, { ttl: l.ttl, ends: this.time.now + l.ttl });
      this.watchLease(id);
    }
    this.log.splice(0, this.log.length, ...c.log);
    this.revision = c.revision;
    this.nextLease = c.nextLease;
    this.wakeAll();
  }

  clear(): void {
    this.restore({ entries: new Map(), leases: new Map(), log: [], revision: 0, nextLease: 1 });
  }

  /** Empties, then fills up again from the point, some keys at a time, while it already answers. */
  restoreGradually(c: StoreCheckpoint, keysAtOnce: number, everyMs: number): void {
    this.restore(c, false);
    const left = [...c.entries];
    const fill = (): void => {
      for (const [key, e] of left.splice(0, keysAtOnce))
        if (!this.entries.has(key)) this.entries.set(key, { ...e });
      if (left.length > 0) this.time.after(everyMs, fill);
    };
    fill();
  }

  /** Keys that are gone without a deletion that anybody could watch. */
  dropKeys(which: (key: string) => boolean): number {
    const lost = [...this.entries.keys()].filter(which);
    for (const key of lost) this.entries.delete(key);
    return lost.length;
  }

  /** Values that can't be read any more, at their old versions. */
  corruptValues(which: (key: string) => boolean): number {
    let count = 0;
    for (const [key, e] of this.entries) {
      if (!which(key)) continue;
      e.value = '"?"';
      count += 1;
    }
    return count;
  }

  /** Only the count of revisions is set back. */
  rollBackRevision(revision: number): void {
    this.revision = Math.min(this.revision, revision);
    this.wakeAll();
  }

  private wakeAll(): void {
    for (const w of this.waiters.splice(0)) w.wake();
  }
}

/** Is told of a transaction and what came of it. */
export type CommitListener = (
  conditions: readonly Compare[],
  changes: readonly Mutation[],
  outcome: CommitOutcome,
) => void;

/** All that the state service knows at one moment. */
export interface StoreCheckpoint {
  readonly entries: ReadonlyMap<string, Entry>;
  readonly leases: ReadonlyMap<number, { readonly ttl: number; readonly ends: number }>;
  readonly log: readonly WatchEvent[];
  readonly revision: number;
  readonly nextLease: number;
}

/** The state service as one controller reaches it; `refused` is a 503 that this node alone gets. */
export class SimStoreClient implements KeyValueStore {
  readonly isTrusted = true;
  readonly generation = 0;
  isRefused = false;
  private failing: MonotonicMs | null = null;

  constructor(
    /** Another one from now on, where a node reads another store than its peers. */
    public store: SimKeyValueStore,
    private readonly network: SimNetwork,
    private readonly host: string,
    private readonly clock: ProcessClock,
  ) {}

  failingSince(): MonotonicMs | null {
    return this.failing;
  }

  fencingTokenOf(version: Version): FencingToken {
    return version as number as FencingToken;
  }

  private async call<T extends { readonly outcome: string }>(
    handle: () => T | null,
    changes = 0,
  ): Promise<T | { readonly outcome: 'refused' | 'unknown' }> {
    const answer = await this.network.call<T | { readonly outcome: 'refused' }>(
      this.host,
      STORE_HOST,
      ANSWER_MS,
      () =>
        this.store.isDown || this.isRefused || !this.store.admits(changes)
          ? { outcome: 'refused' }
          : handle(),
      () => this.store.faults.storeMessageDelayMs(),
    );
    if (!this.clock.alive) return new Promise(() => undefined);
    if (answer !== null && answer.outcome !== 'refused') this.failing = null;
    else this.failing ??= this.clock.now();
    return answer ?? { outcome: 'unknown' };
  }

  read(key: string): Promise<ReadOutcome> {
    return this.call(() => this.store.read(key));
  }

  list(prefix: string): Promise<ListOutcome> {
    return this.call(() => this.store.list(prefix));
  }

  commit(conditions: readonly Compare[], changes: readonly Mutation[]): Promise<CommitOutcome> {
    const lateMs = changes.length > 0 ? this.store.faults.writeDelayMs() : null;
    if (lateMs === null) {
      const isLost = changes.length > 0 && this.store.faults.losesResponse();
      return this.call(() => {
        const outcome = this.store.commit(conditions, changes);
        return isLost ? null : outcome;
      }, changes.length);
    }
    const { store: state } = this;
    if (!state.isDown && !this.isRefused)
      state.time.after(lateMs, () => {
        if (!state.isDown) state.commit(conditions, changes);
      });
    return this.call<CommitOutcome>(() => null, changes.length);
  }

  grantLease(ttlMs: number): Promise<LeaseGrantOutcome> {
    return this.call(() => this.store.grantLease(ttlMs));
  }

  renewLease(lease: LeaseId): Promise<LeaseRenewalOutcome> {
    return this.call(() => this.store.renewLease(lease));
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    await this.call(() => {
      this.store.endLease(lease);
      return { outcome: 'ended' as const };
    });
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    const events = (): WatchOutcome => ({
      outcome: 'events',
      revision: this.store.currentRevision(),
      events: this.store.eventsSince(prefix, after),
    });
    const opened = await this.call(() => ({
      outcome: 'opened' as const,
      ready: this.store.eventsSince(prefix, after).length > 0,
    }));
    if (opened.outcome !== 'opened') return opened as WatchOutcome;
    if (!opened.ready)
      await new Promise<void>((resolve) => {
        this.store.waitForChange(prefix, after, waitMs, resolve);
      });
    // An open watch waits through an outage, and through a refusal of its node alone.
    const givenUp = this.clock.now() + WATCH_PATIENCE_MS;
    while ((this.store.isDown || this.isRefused) && this.clock.alive) {
      if (this.clock.now() > givenUp) return { outcome: 'unknown' };
      await this.clock.sleep(100);
    }
    return this.call(events);
  }
}
