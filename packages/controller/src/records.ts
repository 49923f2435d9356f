import type { Job, JobRecord } from '@spurbridge/model';
import { JOB_PREFIX, TASKS_PREFIX, decodeJob } from '@spurbridge/model';
import type { Item, Revision } from '@spurbridge/wire';
import type { Cluster } from './cluster.js';
import { Following } from './following.js';
import type { LeaderTerm } from './leader-term.js';

/** Reads the job records that any node writes: all of them after the election, then their changes. */
export class JobRecords {
  private readonly following: Following;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: Cluster,
    /** Told of every record that is read. */
    private readonly seen: (record: JobRecord) => void,
  ) {
    this.following = new Following(term, JOB_PREFIX);
  }

  /** How old what is known of cancellations is, in milliseconds: by the records, or by the node's copy until they are read. */
  get ageMs(): number {
    return this.following.asOf === null ? this.term.c.trust.copyAgeMs : this.following.ageMs;
  }

  /** The revision to watch from, or null when deposed meanwhile. */
  async load(): Promise<Revision | null> {
    const { clock, store } = this.term.c;
    while (this.term.active) {
      const askedAt = clock.now();
      const jobs = await store.list(JOB_PREFIX, 0);
      const tasks = jobs.outcome === 'listed' ? await store.list(TASKS_PREFIX, 0) : jobs;
      if (jobs.outcome === 'listed' && tasks.outcome === 'listed') {
        for (const item of jobs.items) this.learn(item);
        for (const item of tasks.items) this.cluster.restoreTasks(item);
        for (const job of this.cluster.jobs.values()) this.cluster.afterRestore(job);
        this.following.readAt(askedAt);
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
      this.term.c.log.error({ key: item.key, error: String(e) }, 'job record cannot be read');
      return null;
    }
    this.seen(record);
    const wasActive = this.cluster.jobs.get(record.spec.id)?.state !== 'cancelled';
    const job = this.cluster.learnJob(record, item.version);
    // Not known as of then, it was confirmed later: its user counts `cancel_s` from after that.
    if (job?.state === 'cancelled' && wasActive) job.cancelledAfter = this.following.asOf;
    return job;
  }

  async watch(from: Revision): Promise<void> {
    await this.following.run(from, (items) => {
      for (const item of items) this.learn(item);
      this.cluster.emit('plan');
    });
  }
}
