/**
 * The interface of the key-value store and the outcomes of its requests.
 *
 * @module
 */
import type { MonotonicMs, RequestPriority } from '@spurbridge/net';
import type {
  Compare,
  FencingToken,
  KeyValue,
  LeaseId,
  Mutation,
  Revision,
  Version,
  WatchEvent,
} from '@spurbridge/wire';

/** A request that was not served. */
export type RequestFailure =
  /** Certainly not executed: the request was refused, exceeded a rate limit, or was never sent. */
  | { readonly outcome: 'refused' }
  /** No usable response was received: the request may have been executed, or may still be executed later. */
  | { readonly outcome: 'unknown' };

/** Outcome of a transaction. */
export type CommitOutcome =
  | { readonly outcome: 'committed'; readonly revision: Revision }
  /** Not executed, because the versions of these keys differ from the compared ones. */
  | { readonly outcome: 'conflict'; readonly failed: readonly string[]; readonly revision: Revision }
  /** Not executed, because a lease that it refers to has ended. */
  | { readonly outcome: 'no_lease' }
  | RequestFailure;

/** Outcome of reading one key. */
export type ReadOutcome =
  | { readonly outcome: 'found'; readonly item: KeyValue }
  | { readonly outcome: 'absent'; readonly revision: Revision }
  | RequestFailure;

/** Outcome of reading all keys with a prefix. */
export type ListOutcome =
  | {
      readonly outcome: 'listed';
      readonly items: readonly KeyValue[];
      /** Revision of the first page. A watch from this revision misses no change. */
      readonly revision: Revision;
      /** Revision of the last page. No item has a later version. */
      readonly latest: Revision;
    }
  | RequestFailure;

/** Outcome of waiting for changes. */
export type WatchOutcome =
  | { readonly outcome: 'events'; readonly revision: Revision; readonly events: readonly WatchEvent[] }
  /** The store has discarded changes after the requested revision; the keys have to be read again. */
  | { readonly outcome: 'compacted' }
  | RequestFailure;

/** Outcome of requesting a lease. */
export type LeaseGrantOutcome = { readonly outcome: 'granted'; readonly lease: LeaseId } | RequestFailure;

/** Outcome of renewing a lease. */
export type LeaseRenewalOutcome =
  { readonly outcome: 'renewed' } | { readonly outcome: 'ended' } | RequestFailure;

/** The key-value store as the controllers use it; the simulated one implements it too. */
export interface KeyValueStore {
  /**
   * Whether its content is trusted now. While it is not, every call is refused, and content that was read earlier must
   * not be used to start or forget tasks, or to rent or release machines.
   */
  readonly isTrusted: boolean;
  /** Changes when data may have been lost. No lease remains valid across such a change. */
  readonly generation: number;
  /** The fencing token of a leader whose record, or a later commit of its term, has this version. */
  fencingTokenOf(version: Version): FencingToken;
  /** Reads one key. */
  read(key: string, priority: RequestPriority): Promise<ReadOutcome>;
  /** Reads all keys with a prefix. */
  list(prefix: string, priority: RequestPriority): Promise<ListOutcome>;
  /** Executes a transaction. */
  commit(
    compares: readonly Compare[],
    mutations: readonly Mutation[],
    priority: RequestPriority,
  ): Promise<CommitOutcome>;
  /** Waits at most `waitMs` milliseconds for changes of a prefix after a revision. */
  watch(prefix: string, after: Revision, waitMs: number): Promise<WatchOutcome>;
  /** Requests a lease that expires `ttlMs` milliseconds after its last renewal. */
  grantLease(ttlMs: number): Promise<LeaseGrantOutcome>;
  /** Renews a leader's lease. An implementation may also verify that the leader's record satisfies `leaderRecord`. */
  renewLease(lease: LeaseId, leaderRecord: Compare): Promise<LeaseRenewalOutcome>;
  /** Ends a lease immediately; the keys attached to it are removed. */
  revokeLease(lease: LeaseId): Promise<void>;
  /** Since when all requests have failed; null while requests are served. */
  failingSince(): MonotonicMs | null;
}
