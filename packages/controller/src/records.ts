import type { Job } from '@spurbridge/model';
import { JOB_PREFIX, TASKS_PREFIX, decodeJob } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { later } from '@spurbridge/net';
import type { Item, Revision } from '@spurbridge/wire';
import type { Cluster } from './cluster.js';
import { answerHorizonMs } from './settings.js';
import type { Tenure } from './tenure.js';

/** Short, so that what is known of cancellations is never much older than that. */
const WATCH_MS = 2000;
/** Before its first load a leader keeps the workers alive for this long at most. */
const LOAD_MS = 5000;

/** Reads the job records that any node writes: all of them after the election, then their changes. */
export class JobRecords {
  /** Every cancellation confirmed to a user before this is known here. */
  private freshAt: Ms;

  constructor(
    private readonly tenure: Tenure,
    private readonly cluster: Cluster,
  ) {
    this.freshAt = later(tenure.electedAt, LOAD_MS - answerHorizonMs(tenure.c.settings));
  }

  /**
   * Whether reports may be answered: that keeps tasks alive, and those of a job cancelled since
   * `freshAt` would outlive `cancel_s`. A leader far over its processor share read the cancellations so
   * late that a task ran on after it.
   */
  get areFresh(): boolean {
    const { clock, settings } = this.tenure.c;
    return clock.now() - this.freshAt <= answerHorizonMs(settings);
  }

  /** The revision to watch from, or null when deposed meanwhile. */
  async load(): Promise<Revision | null> {
    const { clock, store } = this.tenure.c;
    while (this.tenure.active) {
      const askedAt = clock.now();
      const jobs = await store.list(JOB_PREFIX, 0);
      const tasks = jobs.outcome === 'listed' ? await store.list(TASKS_PREFIX, 0) : jobs;
      if (jobs.outcome === 'listed' && tasks.outcome === 'listed') {
        for (const item of jobs.items) this.learn(item);
        for (const item of tasks.items) this.cluster.restoreTasks(item);
        for (const job of this.cluster.jobs.values()) this.cluster.afterRestore(job);
        this.freshAt = askedAt;
        // Tasks are read after jobs; a job that came between is seen by the watch from the first list.
        return jobs.revision;
      }
      await clock.sleep(200);
    }
    return null;
  }

  /** Takes in a job's record, from a list, a watch or a read after a conflict. */
  learn(item: Item): Job | null {
    let record;
    try {
      record = decodeJob(item.value);
    } catch (e) {
      this.tenure.c.log.error({ key: item.key, error: String(e) }, 'job record cannot be read');
      return null;
    }
    return this.cluster.learnJob(record, item.version);
  }

  async watch(from: Revision): Promise<void> {
    const { clock, store } = this.tenure.c;
    let revision = from;
    while (this.tenure.active) {
      const askedAt = clock.now();
      const seen = await store.watch(JOB_PREFIX, revision, WATCH_MS);
      if (!this.tenure.active) return;
      if (seen.outcome === 'events') {
        revision = seen.revision;
        this.freshAt = askedAt;
        for (const e of seen.events)
          if ('put' in e) this.learn({ key: e.put, value: e.value, version: e.version });
        if (seen.events.length > 0) this.cluster.emit('plan');
      } else if (seen.outcome === 'compacted') {
        const all = await store.list(JOB_PREFIX, 0);
        if (all.outcome !== 'listed') continue;
        for (const item of all.items) this.learn(item);
        revision = all.revision;
        this.freshAt = askedAt;
        this.cluster.emit('plan');
      } else await clock.sleep(150);
    }
  }
}
