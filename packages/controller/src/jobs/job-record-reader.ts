/**
 * Reads job and task records into the cluster state.
 *
 * @module
 */
import type { JobRecord } from '@spurbridge/model';
import { JOB_KEY_PREFIX, TASK_KEY_PREFIX, decodeJob, jobKey, jobOfChunkKey } from '@spurbridge/model';
import type { RequestPriority } from '@spurbridge/net';
import type { KeyValue, Revision } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';
import type { ClusterState } from './cluster-state.js';
import { RecordWatcher } from './record-watcher.js';

/** The highest priority, because a new leader cannot place tasks before it has read the records. */
const LOAD_PRIORITY: RequestPriority = 0;
/** Pause after a list that failed. */
const LOAD_RETRY_MS = 200;

/** Is notified of every job record that is read, including those of ended jobs. */
export interface JobRecordListener {
  onJobRecord(record: JobRecord): void;
}

/** Reads all records after the election, and then follows the job records, which any node may change. */
export class JobRecordReader {
  private readonly watcher: RecordWatcher;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly listener: JobRecordListener,
  ) {
    this.watcher = new RecordWatcher(term, JOB_KEY_PREFIX);
  }

  /**
   * Staleness of the known cancellations, in milliseconds: that of the records or, until they are read, that of the
   * node's replica.
   */
  get stalenessMs(): number {
    return this.watcher.knownAsOf === null
      ? this.term.context.storeIntegrity.replicaAgeMs
      : this.watcher.ageMs;
  }

  /**
   * Reads all records, retrying until it succeeds. Returns the revision to watch from, or null if deposed meanwhile.
   */
  async load(): Promise<Revision | null> {
    const { clock, store } = this.term.context;
    while (this.term.isActive) {
      const requestedAt = clock.now();
      const jobs = await store.list(JOB_KEY_PREFIX, LOAD_PRIORITY);
      const tasks = jobs.outcome === 'listed' ? await store.list(TASK_KEY_PREFIX, LOAD_PRIORITY) : jobs;
      if (jobs.outcome === 'listed' && tasks.outcome === 'listed') {
        this.restore(jobs.items, tasks.items);
        this.watcher.markReadAt(requestedAt);
        // Tasks are read after jobs. A job that is added in between appears in a watch from the revision of the first
        // list.
        return jobs.revision;
      }
      await clock.sleep(LOAD_RETRY_MS);
    }
    return null;
  }

  private restore(jobs: readonly KeyValue[], tasks: readonly KeyValue[]): void {
    const doneJobs = new Set<string>();
    for (const item of jobs) if (this.apply(item)?.phase === 'done') doneJobs.add(item.key);
    for (const item of tasks) {
      const id = jobOfChunkKey(item.key);
      if (id !== null && doneJobs.has(jobKey(id))) this.cluster.emit('obsoleteTaskRecordFound', item.key);
      else this.cluster.applyTaskRecord(item);
    }
    for (const job of this.cluster.jobs.values()) this.cluster.finishRestore(job);
  }

  /**
   * Applies a job's record, whether it comes from a list, a watch or a read after a conflict, and returns it. A record
   * that cannot be decoded is logged, and null is returned.
   */
  apply(item: KeyValue): JobRecord | null {
    const record = this.decode(item);
    if (record === null) return null;
    this.listener.onJobRecord(record);
    const wasNotCancelled = this.cluster.jobs.get(record.spec.id)?.state !== 'cancelled';
    const job = this.cluster.applyJobRecord(record, item.version);
    // The cancellation was not known when the records were last up to date, so it was confirmed after that; `cancel_s`
    // counts from that time at the earliest.
    if (job?.state === 'cancelled' && wasNotCancelled) job.cancelledAfter = this.watcher.knownAsOf;
    return record;
  }

  private decode(item: KeyValue): JobRecord | null {
    try {
      return decodeJob(item.value);
    } catch (error) {
      this.term.context.log.error({ key: item.key, error: String(error) }, 'job record cannot be read');
      return null;
    }
  }

  /** Applies changed job records until the leader's term ends. */
  async watch(from: Revision): Promise<void> {
    await this.watcher.run(from, (items) => {
      for (const item of items) this.apply(item);
      this.cluster.emit('replanNeeded');
    });
  }
}
