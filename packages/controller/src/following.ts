import type { Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import type { Item, Revision } from '@spurbridge/wire';
import { answerHorizonMs } from './settings.js';
import type { Tenure } from './tenure.js';

/** Short, so that what is known of cancellations is never much older than that. */
const WATCH_MS = 2000;
/** Before its first load a leader keeps the workers alive for this long at most. */
const LOAD_MS = 5000;

/** Follows records that any node writes, and knows as of when they are known here. */
export class Following {
  /** Every change confirmed to a user before this is known here. */
  private freshAt: Ms;

  constructor(
    private readonly tenure: Tenure,
    private readonly prefix: string,
  ) {
    this.freshAt = later(tenure.electedAt, LOAD_MS - answerHorizonMs(tenure.c.settings));
  }

  /**
   * Whether reports may be answered: that keeps tasks alive, and those cancelled since what is known here
   * would outlive `cancel_s`. A leader far over its processor share read the cancellations so late that a
   * task ran on after it.
   */
  get isFresh(): boolean {
    return this.ageMs <= answerHorizonMs(this.tenure.c.settings);
  }

  /** How old what is known here is, in milliseconds. */
  get ageMs(): number {
    return this.tenure.c.clock.now() - this.freshAt;
  }

  /** All records were read, by requests that began then. */
  readAt(at: Ms): void {
    this.freshAt = at;
  }

  /**
   * Watches until deposed. `take` is given the records that changed, or all of them (`whole`) where the state
   * service no longer knows the changes.
   */
  async run(from: Revision, take: (items: readonly Item[], whole: boolean) => void): Promise<void> {
    const { clock, store } = this.tenure.c;
    let revision = from;
    while (this.tenure.active) {
      const askedAt = clock.now();
      const seen = await store.watch(this.prefix, revision, WATCH_MS);
      if (!this.tenure.active) return;
      if (seen.outcome === 'events') {
        revision = seen.revision;
        this.freshAt = askedAt;
        if (seen.events.length > 0)
          take(
            seen.events.flatMap((e) =>
              'put' in e ? [{ key: e.put, value: e.value, version: e.version }] : [],
            ),
            false,
          );
      } else if (seen.outcome === 'compacted') {
        const all = await store.list(this.prefix, 0);
        if (all.outcome !== 'listed') continue;
        revision = all.revision;
        this.freshAt = askedAt;
        take(all.items, true);
      } else await clock.sleep(150);
    }
  }
}
