/**
 * Watches the records under one key prefix, and tracks how stale its knowledge of them is.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import type { KeyValue, Revision, WatchEvent } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { maxRenewalStalenessMs } from '../settings.js';

/** Short, because it bounds the staleness of known cancellations. */
const WATCH_TIMEOUT_MS = 2000;
const RETRY_INTERVAL_MS = 150;

/** Follows records that any controller may write. */
export class RecordWatcher {
  private freshAt: MonotonicMs | null = null;

  constructor(
    private readonly term: LeaderTerm,
    private readonly prefix: string,
  ) {}

  /**
   * Whether the known records are recent enough to renew workers' leases. A renewal lets tasks continue to run, so tasks
   * that were cancelled in the meantime could run for longer than `cancel_s`. This has happened when a leader far above
   * its processor share read a cancellation too late.
   */
  get isFresh(): boolean {
    return this.ageMs <= maxRenewalStalenessMs(this.term.context.settings);
  }

  /** All changes that were confirmed to users before this time are known; null until the records have been read. */
  get knownAsOf(): MonotonicMs | null {
    return this.freshAt;
  }

  /** Staleness of the watched records in milliseconds; Infinity until they have been read. */
  get ageMs(): number {
    return this.freshAt === null ? Infinity : this.term.context.clock.now() - this.freshAt;
  }

  /** Records that all records were read by requests that were sent at this time or later. */
  markReadAt(requestedAt: MonotonicMs): void {
    this.freshAt = requestedAt;
  }

  /**
   * Watches until the term ends. `apply` receives the records that have changed, or all of them (`isComplete`) if the
   * store has discarded the changes since the last known revision.
   */
  async run(from: Revision, apply: (items: readonly KeyValue[], isComplete: boolean) => void): Promise<void> {
    const { clock, store } = this.term.context;
    let revision = from;
    while (this.term.isActive) {
      const requestedAt = clock.now();
      const result = await store.watch(this.prefix, revision, WATCH_TIMEOUT_MS);
      if (!this.term.isActive) return;
      if (result.outcome === 'events') {
        revision = result.revision;
        if (result.events.length > 0) apply(writtenRecords(result.events), false);
        this.freshAt = requestedAt;
      } else if (result.outcome === 'compacted') {
        const all = await store.list(this.prefix, 0);
        if (all.outcome !== 'listed') continue;
        revision = all.revision;
        apply(all.items, true);
        this.freshAt = requestedAt;
      } else await clock.sleep(RETRY_INTERVAL_MS);
    }
  }
}

/** The records that events have written; deletions are ignored. */
function writtenRecords(events: readonly WatchEvent[]): KeyValue[] {
  return events.flatMap((event) =>
    'put' in event ? [{ key: event.put, value: event.value, version: event.version }] : [],
  );
}
