import type { Job, JobRecord } from '@spurbridge/model';
import { JOB_KEY_PREFIX, TASK_KEY_PREFIX, decodeJob } from '@spurbridge/model';
import type { KeyValue, Revision } from '@spurbridge/wire';
import type { ClusterState } from './cluster-state.js';
import { RecordWatcher } from './record-watcher.js';
import type { LeaderTerm } from '../leadership/leader-term.js';

/** Reads the job records that any node writes: all of them after the election, then their changes. */
export class JobRecordReader {
  private readonly following: RecordWatcher;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    /** Told of every record that is read. */
    private readonly seen: (record: JobRecord) => void,
  ) {
    this.following = new RecordWatcher(term, JOB_KEY_PREFIX);
  }

  /** How old what is known of cancellations is, in milliseconds: by the records, or by the node's copy until they are read. */
  get stalenessMs(): number {
    return this.following.knownAsOf === null
      ? this.term.context.storeIntegrity.copyAgeMs
      : this.following.ageMs;
  }

  /** The revision to watch from, or null when deposed meanwhile. */
  async load(): Promise<Revision | null> {
    const { clock, store } = this.term.context;
    while (this.term.isActive) {
      const askedAt = clock.now();
      const jobs = await store.list(JOB_KEY_PREFIX, 0);
      const tasks = jobs.outcome === 'listed' ? await store.list(TASK_KEY_PREFIX, 0) : jobs;
      if (jobs.outcome === 'listed' && tasks.outcome === 'listed') {
        for (const item of jobs.items) this.apply(item);
        for (const item of tasks.items) this.cluster.applyTaskRecord(item);
        for (const job of this.cluster.jobs.values()) this.cluster.finishRestore(job);
        this.following.markReadAt(askedAt);
        // Tasks are read after jobs; a job that came between is seen by the watch from the first list.
        return jobs.revision;
      }
      await clock.sleep(200);
    }
    return null;
  }

  /** Takes in a job's record, from a list, a watch or a read after a conflict. */
  apply(item: KeyValue): Job | null {
    let record;
    try {
      record = decodeJob(item.value);
    } catch (e) {
      this.term.context.log.error({ key: item.key, error: String(e) }, 'job record cannot be read');
      return null;
    }
    this.seen(record);
    const wasActive = this.cluster.jobs.get(record.spec.id)?.state !== 'cancelled';
    const job = this.cluster.applyJobRecord(record, item.version);
    // Not known as of then, it was confirmed later: its user counts `cancel_s` from after that.
    if (job?.state === 'cancelled' && wasActive) job.cancelledAfter = this.following.knownAsOf;
    return job;
  }

  async watch(from: Revision): Promise<void> {
    await this.following.run(from, (items) => {
      for (const item of items) this.apply(item);
      this.cluster.emit('plan');
    });
  }
}
