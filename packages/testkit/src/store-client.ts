/**
 * The key-value store, as reached by one controller over the simulated network.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import type {
  CommitOutcome,
  KeyValueStore,
  LeaseGrantOutcome,
  LeaseRenewalOutcome,
  ListOutcome,
  ReadOutcome,
  WatchOutcome,
} from '@spurbridge/store';
import type { Compare, FencingToken, LeaseId, Mutation, Revision, Version } from '@spurbridge/wire';
import type { ProcessClock } from './clock.js';
import { STORE_HOST } from './hosts.js';
import type { SimKeyValueStore } from './key-value-store.js';
import type { SimNetwork } from './network.js';

const RESPONSE_TIMEOUT_MS = 1500;
/** A watch is abandoned this long after its response was due, in milliseconds. */
const WATCH_GRACE_MS = 3000;
const OUTAGE_CHECK_MS = 100;

interface Refusal {
  readonly outcome: 'refused';
}

interface FailedRequest {
  readonly outcome: 'refused' | 'unknown';
}

/** A client whose requests take time, can be lost to partitions and are subject to injected faults. */
export class SimStoreClient implements KeyValueStore {
  readonly isTrusted = true;
  readonly generation = 0;
  /** While true, every request of this node is rejected as if with the status 503. */
  isRefused = false;
  private failingSinceMs: MonotonicMs | null = null;

  constructor(
    /** Set to another store if a node reads a different one from its peers. */
    public backend: SimKeyValueStore,
    private readonly network: SimNetwork,
    private readonly host: string,
    private readonly clock: ProcessClock,
  ) {}

  failingSince(): MonotonicMs | null {
    return this.failingSinceMs;
  }

  fencingTokenOf(version: Version): FencingToken {
    return version as number as FencingToken;
  }

  read(key: string): Promise<ReadOutcome> {
    return this.call(() => this.backend.read(key));
  }

  list(prefix: string): Promise<ListOutcome> {
    return this.call(() => this.backend.list(prefix));
  }

  commit(compares: readonly Compare[], mutations: readonly Mutation[]): Promise<CommitOutcome> {
    const { faults } = this.backend;
    const delayMs = mutations.length > 0 ? faults.writeDelayMs() : null;
    if (delayMs !== null) return this.commitLate(compares, mutations, delayMs);
    const isResponseLost = mutations.length > 0 && faults.losesResponse();
    return this.call(() => {
      const outcome = this.backend.commit(compares, mutations);
      if (outcome.outcome === 'committed' && mutations.length > 0) this.repeatLater(compares, mutations);
      return isResponseLost ? null : outcome;
    }, mutations.length);
  }

  grantLease(ttlMs: number): Promise<LeaseGrantOutcome> {
    return this.call(() => this.backend.grantLease(ttlMs));
  }

  renewLease(lease: LeaseId): Promise<LeaseRenewalOutcome> {
    return this.call(() => this.backend.renewLease(lease));
  }

  async revokeLease(lease: LeaseId): Promise<void> {
    await this.call(() => {
      this.backend.endLease(lease);
      return { outcome: 'ended' as const };
    });
  }

  async watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome> {
    const opened = await this.call(() => ({
      outcome: 'opened' as const,
      isReady: this.backend.eventsSince(prefix, after).length > 0,
    }));
    if (opened.outcome !== 'opened') return opened as WatchOutcome;
    if (!opened.isReady)
      await new Promise<void>((resolve) => {
        this.backend.waitForChange(prefix, after, waitMs, resolve);
      });
    // An open watch keeps waiting during an outage, and while its node's requests are rejected.
    const deadline = this.clock.now() + WATCH_GRACE_MS;
    while ((this.backend.isDown || this.isRefused) && this.clock.alive) {
      if (this.clock.now() > deadline) return { outcome: 'unknown' };
      await this.clock.sleep(OUTAGE_CHECK_MS);
    }
    return this.call<WatchOutcome>(() => ({
      outcome: 'events',
      revision: this.backend.currentRevision(),
      events: this.backend.eventsSince(prefix, after),
    }));
  }

  /** Lets a copy of an executed transaction arrive later, unless the store is down by then. */
  private repeatLater(compares: readonly Compare[], mutations: readonly Mutation[]): void {
    const { backend } = this;
    const delayMs = backend.faults.writeRepeatDelayMs();
    if (delayMs === null) return;
    backend.time.after(delayMs, () => {
      if (!backend.isDown) backend.commit(compares, mutations);
    });
  }

  /** Executes the transaction later and without a response, unless the store is down by then. */
  private commitLate(
    compares: readonly Compare[],
    mutations: readonly Mutation[],
    delayMs: number,
  ): Promise<CommitOutcome> {
    const { backend } = this;
    if (!backend.isDown && !this.isRefused)
      backend.time.after(delayMs, () => {
        if (!backend.isDown) backend.commit(compares, mutations);
      });
    return this.call<CommitOutcome>(() => null, mutations.length);
  }

  /**
   * Sends a request; if `handle` returns null, the response is lost. Never resolves once the process has
   * ended.
   */
  private async call<T extends { readonly outcome: string }>(
    handle: () => T | null,
    mutations = 0,
  ): Promise<T | FailedRequest> {
    const response = await this.network.call<T | Refusal>(
      this.host,
      STORE_HOST,
      RESPONSE_TIMEOUT_MS,
      () => (this.refuses(mutations) ? { outcome: 'refused' } : handle()),
      () => this.backend.faults.storeMessageDelayMs(),
    );
    if (!this.clock.alive) return new Promise(() => undefined);
    if (response !== null && response.outcome !== 'refused') this.failingSinceMs = null;
    else this.failingSinceMs ??= this.clock.now();
    return response ?? { outcome: 'unknown' };
  }

  private refuses(mutations: number): boolean {
    return this.backend.isDown || this.isRefused || !this.backend.admits(mutations);
  }
}
