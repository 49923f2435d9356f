import type { MonotonicMs } from '@spurbridge/net';
import type { KeyValue, Revision } from '@spurbridge/wire';
import { maxRenewalStalenessMs } from '../settings.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Short, so that what is known of cancellations is never much older than that. */
const WATCH_MS = 2000;

/** Follows records that any node writes, and knows as of when they are known here. */
export class RecordWatcher {
  private freshAt: MonotonicMs | null = null;

  constructor(
    private readonly term: LeaderTerm,
    private readonly prefix: string,
  ) {}

  /**
   * Whether reports may be answered: that keeps tasks alive, and those cancelled since what is known here
   * would outlive `cancel_s`. A leader far over its processor share read the cancellations so late that a
   * task ran on after it.
   */
  get isFresh(): boolean {
    return this.ageMs <= maxRenewalStalenessMs(this.term.context.settings);
  }

  /** Every change confirmed to a user before this is known here; null until the records were read. */
  get knownAsOf(): MonotonicMs | null {
    return this.freshAt;
  }

  /** How old what is known here is, in milliseconds; Infinity until the records were read. */
  get ageMs(): number {
    return this.freshAt === null ? Infinity : this.term.context.clock.now() - this.freshAt;
  }

  /** All records were read, by requests that began then. */
  markReadAt(at: MonotonicMs): void {
    this.freshAt = at;
  }

  /**
   * Watches until deposed. `take` is given the records that changed, or all of them (`whole`) where the state
   * service no longer knows the changes.
   */
  async run(from: Revision, take: (items: readonly KeyValue[], whole: boolean) => void): Promise<void> {
    const { clock, store } = this.term.context;
    let revision = from;
    while (this.term.isActive) {
      const askedAt = clock.now();
      const seen = await store.watch(this.prefix, revision, WATCH_MS);
      if (!this.term.isActive) return;
      if (seen.outcome === 'events') {
        revision = seen.revision;
        if (seen.events.length > 0)
          take(
            seen.events.flatMap((e) =>
              'put' in e ? [{ key: e.put, value: e.value, version: e.version }] : [],
            ),
            false,
          );
        this.freshAt = askedAt;
      } else if (seen.outcome === 'compacted') {
        const all = await store.list(this.prefix, 0);
        if (all.outcome !== 'listed') continue;
        revision = all.revision;
        take(all.items, true);
        this.freshAt = askedAt;
      } else await clock.sleep(150);
    }
  }
}
