/**
 * Writes the leader's view of jobs and tasks to the key-value store: task records as tasks are placed and end,
 * job records as jobs complete, and the deletion of task records that are no longer needed.
 *
 * @module
 */
import type { Job, TaskChunk, WallClockMs } from '@spurbridge/model';
import { chunkKey, encodeJob, jobKey } from '@spurbridge/model';
import type { MonotonicMs, RequestPriority } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { CommitOutcome, ReadOutcome } from '@spurbridge/store';
import type { Compare, JobId, KeyValue, Mutation, Revision, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { LeaderTerm } from '../leadership/leader-term.js';
import { WakeSignal } from '../wake-signal.js';
import type { ChunkWriteBatch } from './chunk-write-queue.js';
import { ChunkWriteQueue } from './chunk-write-queue.js';
import type { ClusterState, TaskAttempt } from './cluster-state.js';

/** Maximum number of concurrent commits. */
const MAX_CONCURRENT_COMMITS = 4;
/** Maximum interval between two checks for due records. */
const POLL_INTERVAL_MS = 100;
/** Delay after a failed commit before another one is started. */
const BACKOFF_MS = 120;

/**
 * Intents and completed jobs take precedence over the records of finished tasks; deletions have the lowest priority.
 */
const COMPLETION_PRIORITY: RequestPriority = 1;
const INTENT_PRIORITY: RequestPriority = 1;
const FINISHED_TASKS_PRIORITY: RequestPriority = 2;
const DELETION_PRIORITY: RequestPriority = 3;
const REFRESH_PRIORITY: RequestPriority = 1;

/** Applies a job's record that was read again after a conflict. */
export interface JobRecordSink {
  apply(item: KeyValue): unknown;
}

/** Decides whether a job whose tasks are all done may be recorded as done. */
export interface JobClosePolicy {
  mayClose(job: Job): boolean;
}

/** A record that a failed commit compared; `chunk` is null for a job's own record. */
interface ComparedRecord {
  readonly key: string;
  readonly chunk: TaskChunk | null;
}

/**
 * Keeps the stored records up to date with the leader's memory. Each write is conditional on the leadership
 * and on the record's last known version, so that a write that is applied late changes nothing.
 */
export class RecordWriter {
  private readonly queue = new ChunkWriteQueue();
  /** Jobs whose tasks are all done but whose record is not updated yet. */
  private readonly closingJobs = new Map<JobId, Job>();
  /** Jobs that have ended and whose task records are to be deleted. */
  private readonly endedJobs = new Set<Job>();
  /** Task records of done jobs that an earlier leader did not delete before it ended. */
  private readonly obsoleteKeys = new Set<string>();
  /** Keys that a commit in progress writes or deletes. */
  private readonly busyKeys = new Set<string>();
  private readonly signal = new WakeSignal();
  private commitsInProgress = 0;
  private backOffUntil = 0 as MonotonicMs;

  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly jobRecords: JobRecordSink,
    private readonly closePolicy: JobClosePolicy,
  ) {
    cluster.on('taskPlaced', (job, task) => {
      this.enqueue(job, task, true);
    });
    cluster.on('taskRemoved', (job, placement) => {
      this.enqueue(job, placement.task, false);
    });
    cluster.on('taskAbandoned', (job, task) => {
      this.enqueue(job, task, false);
    });
    cluster.on('jobEnded', (job) => {
      this.onJobEnded(job);
    });
    cluster.on('obsoleteTaskRecordFound', (key) => this.obsoleteKeys.add(key));
  }

  /** Writes due records until the leader's term ends. */
  async run(): Promise<void> {
    const { clock } = this.term.context;
    while (this.term.isActive) {
      await this.signal.wait(clock, POLL_INTERVAL_MS);
      while (this.term.isActive && this.commitsInProgress < MAX_CONCURRENT_COMMITS && this.startCommit());
    }
  }

  /** Wakes `run`, so that it notices that the term has ended. */
  stop(): void {
    this.signal.notify();
  }

  private enqueue(job: Job, task: number, isUrgent: boolean): void {
    if (job.state === 'done') return;
    this.queue.add(job, task, isUrgent, this.term.context.clock.now());
    if (isUrgent) this.signal.notify();
  }

  private onJobEnded(job: Job): void {
    if (job.state === 'closing') this.closingJobs.set(job.spec.id, job);
    if (job.state === 'done' || (job.state === 'cancelled' && job.placements.size === 0))
      this.endedJobs.add(job);
    this.signal.notify();
  }

  /** Starts the most urgent commit; returns false when nothing is due. */
  private startCommit(): boolean {
    const { clock, leadership, log } = this.term.context;
    if (clock.now() < this.backOffUntil || !leadership.holdsValidLease()) return false;
    const commit =
      this.closeNextJob() ??
      this.writeDueChunks() ??
      this.deleteNextTaskRecords() ??
      this.deleteObsoleteRecords();
    if (commit === null) return false;
    this.commitsInProgress += 1;
    commit
      .catch((error: unknown) => {
        log.error({ error: String(error) }, 'record commit failed');
      })
      .finally(() => {
        this.commitsInProgress -= 1;
        this.signal.notify();
      });
    return true;
  }

  // --- completed jobs ----------------------------------------------------------------------------

  private closeNextJob(): Promise<void> | null {
    for (const [id, job] of this.closingJobs) {
      if (job.state !== 'closing') {
        this.closingJobs.delete(id);
        continue;
      }
      if (!this.closePolicy.mayClose(job)) continue;
      const key = jobKey(id);
      if (this.busyKeys.has(key) || taskRecordKeys(job).some((chunk) => this.busyKeys.has(chunk))) continue;
      return this.closeJob(job, key);
    }
    return null;
  }

  private async closeJob(job: Job, key: string): Promise<void> {
    const { store, leadership, log } = this.term.context;
    this.busyKeys.add(key);
    const mutations: Mutation[] = [{ put: key, value: this.encodeDone(job) }];
    // The only task record of a job is deleted in the same commit, which saves a separate one.
    const onlyChunk = job.chunks.length === 1 ? job.chunks[0] : undefined;
    if (onlyChunk !== undefined && onlyChunk.version !== KEY_ABSENT)
      mutations.push({ delete: chunkKey(job.spec.id, onlyChunk.index) });
    const compares = [leadership.leadershipCompare(), { key, version: job.version }];
    const outcome = await store.commit(compares, mutations, COMPLETION_PRIORITY);
    this.busyKeys.delete(key);
    if (!this.term.isActive) return;
    if (outcome.outcome !== 'committed') {
      await this.onCommitFailed(outcome, [{ key, chunk: null }]);
      return;
    }
    leadership.recordCommit(outcome.revision);
    job.version = versionOf(outcome.revision);
    job.transitionTo('done');
    this.closingJobs.delete(job.spec.id);
    this.queue.removeJob(job);
    if (onlyChunk !== undefined) onlyChunk.version = KEY_ABSENT;
    this.endedJobs.add(job);
    log.info({ job: job.spec.id, tasks: job.spec.tasks }, 'job done');
  }

  private encodeDone(job: Job): Record<string, unknown> {
    const { wallNow, clock } = this.term.context;
    const submittedAt = (wallNow() - (clock.now() - job.submittedAt)) as WallClockMs;
    return encodeJob({
      spec: job.spec,
      phase: 'done',
      submittedAt,
      chunkSize: job.chunkSize,
      ...(job.graph === null ? {} : { graph: job.graph }),
    });
  }

  // --- task records ------------------------------------------------------------------------------

  private writeDueChunks(): Promise<void> | null {
    const { clock, settings } = this.term.context;
    const isBusy = (key: string): boolean => this.busyKeys.has(key);
    const batch = this.queue.takeBatch(clock.now(), settings.storeLimits.txnOps, isBusy);
    if (batch === null) return null;
    for (const { write } of batch.writes) this.busyKeys.add(write.key);
    return this.writeBatch(batch);
  }

  private async writeBatch(batch: ChunkWriteBatch): Promise<void> {
    const { store, leadership } = this.term.context;
    const compares: Compare[] = [leadership.leadershipCompare()];
    const mutations: Mutation[] = [];
    const intents = batch.writes.flatMap(({ write, value }) => {
      compares.push({ key: write.key, version: write.chunk.version });
      mutations.push({ put: write.key, value });
      return intendedAttempts(write.job, write.chunk);
    });
    const priority = batch.isUrgent ? INTENT_PRIORITY : FINISHED_TASKS_PRIORITY;
    const outcome = await store.commit(compares, mutations, priority);
    for (const { write } of batch.writes) this.busyKeys.delete(write.key);
    if (!this.term.isActive) return;
    if (outcome.outcome === 'committed') {
      leadership.recordCommit(outcome.revision);
      for (const { write, revision } of batch.writes) {
        write.chunk.version = versionOf(outcome.revision);
        write.chunk.durableRevision = Math.max(write.chunk.durableRevision, revision);
      }
      this.cluster.markDurable(intents);
      return;
    }
    this.queue.putBack(batch);
    await this.onCommitFailed(
      outcome,
      batch.writes.map(({ write }) => ({ key: write.key, chunk: write.chunk })),
    );
  }

  // --- ended jobs --------------------------------------------------------------------------------

  private deleteNextTaskRecords(): Promise<void> | null {
    for (const job of this.endedJobs) {
      // A cancelled job that has just been read has no tasks until its task records are read as well. If these were
      // deleted before that, tasks that still ran would be unknown, and quotas would allow other tasks in addition to
      // them (docs/incidents/records-deleted-too-early.md). The job is added here again when its last task ends.
      if (job.state === 'cancelled' && job.placements.size > 0) {
        this.endedJobs.delete(job);
        continue;
      }
      if (taskRecordKeys(job).some((key) => this.busyKeys.has(key) || this.queue.has(key))) continue;
      const stored = job.chunks.filter((chunk) => chunk.version !== KEY_ABSENT);
      if (stored.length > 0)
        return this.deleteTaskRecords(job, stored.slice(0, this.term.context.settings.storeLimits.txnOps));
      this.endedJobs.delete(job);
      if (job.state === 'done' || job.placements.size === 0) this.cluster.releaseJob(job);
    }
    return null;
  }

  private async deleteTaskRecords(job: Job, chunks: readonly TaskChunk[]): Promise<void> {
    const isDeleted = await this.deleteKeys(chunks.map((chunk) => chunkKey(job.spec.id, chunk.index)));
    if (isDeleted) for (const chunk of chunks) chunk.version = KEY_ABSENT;
  }

  private deleteObsoleteRecords(): Promise<void> | null {
    const isIdle = (key: string): boolean => !this.busyKeys.has(key);
    const keys = [...this.obsoleteKeys]
      .filter(isIdle)
      .slice(0, this.term.context.settings.storeLimits.txnOps);
    if (keys.length === 0) return null;
    return this.deleteKeys(keys).then((isDeleted) => {
      if (isDeleted) for (const key of keys) this.obsoleteKeys.delete(key);
    });
  }

  /** Deletes task records that nobody needs any more; returns whether the deletion was committed in this term. */
  private async deleteKeys(keys: readonly string[]): Promise<boolean> {
    const { store, leadership } = this.term.context;
    for (const key of keys) this.busyKeys.add(key);
    const mutations = keys.map((key) => ({ delete: key }));
    const outcome = await store.commit([leadership.leadershipCompare()], mutations, DELETION_PRIORITY);
    for (const key of keys) this.busyKeys.delete(key);
    if (!this.term.isActive) return false;
    if (outcome.outcome !== 'committed') {
      await this.onCommitFailed(outcome, []);
      return false;
    }
    leadership.recordCommit(outcome.revision);
    return true;
  }

  // --- failed commits ----------------------------------------------------------------------------

  /**
   * Backs off. After a conflict, the records that were compared are read again, because their versions may have
   * changed.
   */
  private async onCommitFailed(outcome: CommitOutcome, compared: readonly ComparedRecord[]): Promise<void> {
    const { store, leadership, clock } = this.term.context;
    if (leadership.stepDownOnConflict(outcome)) return;
    this.backOffUntil = addMs(clock.now(), BACKOFF_MS);
    if (outcome.outcome !== 'conflict') return;
    for (const record of compared) {
      if (!outcome.failed.includes(record.key)) continue;
      const found = await store.read(record.key, REFRESH_PRIORITY);
      if (!this.term.isActive) return;
      this.refresh(record, found);
    }
  }

  private refresh({ chunk }: ComparedRecord, found: ReadOutcome): void {
    if (found.outcome === 'found') {
      if (chunk === null) this.jobRecords.apply(found.item);
      else chunk.version = found.item.version;
    } else if (found.outcome === 'absent' && chunk !== null) chunk.version = KEY_ABSENT;
  }
}

function taskRecordKeys(job: Job): string[] {
  return job.chunks.map((chunk) => chunkKey(job.spec.id, chunk.index));
}

/** A committed key's version is the revision of its commit. */
function versionOf(revision: Revision): Version {
  return revision as number as Version;
}

/** The attempts of a chunk's tasks whose intent is not durable yet. */
function intendedAttempts(job: Job, chunk: TaskChunk): TaskAttempt[] {
  const firstTask = chunk.index * job.chunkSize;
  const attempts: TaskAttempt[] = [];
  for (let task = firstTask; task < firstTask + job.chunkSize; task += 1) {
    const placement = job.placements.get(task);
    if (placement?.state === 'intended') attempts.push({ job, task, attempt: placement.attempt });
  }
  return attempts;
}
