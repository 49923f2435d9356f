/**
 * Validation of the store's responses against the known state of the epoch.
 *
 * @module
 */
import type { CommitOutcome, KeyValueStore, RequestFailure } from '@spurbridge/store';
import type { Compare, Revision, Version } from '@spurbridge/wire';
import type { ReplicaEntry } from '../replica/replica-entry.js';
import { findContradiction } from '../replica/replica-entry.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';

/** Outcome of a request that was certainly not executed. */
export const REFUSED: RequestFailure = { outcome: 'refused' };

/** Outcome of a request that may have been executed. */
export const UNKNOWN: RequestFailure = { outcome: 'unknown' };

/** Callbacks by which a validator reports on its epoch. */
export interface EpochTrust {
  /** Returns whether the epoch is still the one that this controller trusts. */
  isCurrent(): boolean;
  /** Reports evidence that the store is not intact, which ends the trust in the epoch. */
  suspect(evidence: string): void;
}

/** Validates responses of the store within one epoch, and reports those that an intact store cannot give. */
export class ResponseValidator {
  /**
   * @param fence - The fence of the epoch, which every commit compares.
   * @param highestKnownRevision - Highest revision that the epoch is known to have reached.
   */
  constructor(
    private readonly underlyingStore: KeyValueStore,
    readonly fence: Compare,
    private readonly trust: EpochTrust,
    public highestKnownRevision: number,
  ) {}

  /** Sends a request. The response's revision must not be lower than the one known when the request was sent. */
  async send<T extends { readonly outcome: string; readonly revision?: Revision }>(
    request: () => Promise<T | RequestFailure>,
  ): Promise<T | RequestFailure> {
    const knownRevision = this.highestKnownRevision;
    const response = await request();
    if (!('revision' in response) || response.revision === undefined || !this.trust.isCurrent())
      return response;
    if (response.revision < knownRevision) {
      this.trust.suspect(
        `a response has revision ${response.revision}, but revision ${knownRevision} was seen before`,
      );
      return response.outcome === 'committed' ? UNKNOWN : REFUSED;
    }
    this.highestKnownRevision = Math.max(this.highestKnownRevision, response.revision);
    return response;
  }

  /** Compares the fence, and other keys, in a transaction without mutations. */
  async compare(compares: readonly Compare[]): Promise<CommitOutcome> {
    return this.checkFence(
      await this.send(() => this.underlyingStore.commit([this.fence, ...compares], [], CONTROL_PRIORITY)),
    );
  }

  /** Returns the outcome of a commit; refused if the fence has moved, which ends the epoch. */
  checkFence(outcome: CommitOutcome): CommitOutcome {
    if (outcome.outcome !== 'conflict' || !outcome.failed.includes(this.fence.key)) return outcome;
    if (this.trust.isCurrent()) this.trust.suspect('the fence was replaced or removed');
    return REFUSED;
  }

  /**
   * Returns whether a response is consistent with the known entry of the key (`findContradiction`), and reports it if
   * not.
   */
  accepts(key: string, known: ReplicaEntry | undefined, version: Version, value: unknown): boolean {
    const contradiction = findContradiction(key, known, version, value);
    if (contradiction !== null) this.trust.suspect(contradiction);
    return contradiction === null;
  }
}
