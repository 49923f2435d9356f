/**
 * A controller's replica of the records in the key-value store (docs/state-loss.md).
 *
 * @module
 */
import { JOB_KEY_PREFIX, TASK_KEY_PREFIX, decodeJob, jobOfChunkKey } from '@spurbridge/model';
import type { KeyValue, Mutation, Revision, Version, WatchEvent } from '@spurbridge/wire';
import { isControlKey } from '../epoch/control-keys.js';
import { CompactedJobs } from './compacted-jobs.js';
import type { ReplicaEntry } from './replica-entry.js';
import { jobPhaseOfValue } from './replica-entry.js';

/**
 * The latest state of every key of the key-value store that this process has read, except control keys. A job that has
 * ended and has no task records left is compacted: only its id, phase and number of tasks are kept.
 */
export class Replica {
  private readonly entriesByKey = new Map<string, ReplicaEntry>();
  private readonly compactedJobs = new CompactedJobs();
  /** Number of task records by job id. A job that has ended is compacted once it has none left. */
  private readonly taskRecordCounts = new Map<string, number>();
  /** All changes up to this revision are applied. */
  revision = 0 as Revision;

  /** Number of keys. */
  get size(): number {
    return this.entriesByKey.size + this.compactedJobs.size;
  }

  /** Returns the entry of a key, or undefined if the key is not known. */
  get(key: string): ReplicaEntry | undefined {
    const entry = this.entriesByKey.get(key);
    if (entry !== undefined) return entry;
    const jobId = jobIdOfJobKey(key);
    return jobId === null ? undefined : this.compactedJobs.get(jobId);
  }

  /** Iterates over keys and entries; compacted jobs come last. */
  *entries(): IterableIterator<[string, ReplicaEntry]> {
    yield* this.entriesByKey.entries();
    for (const [jobId, entry] of this.compactedJobs.entries()) yield [JOB_KEY_PREFIX + jobId, entry];
  }

  /** Iterates over keys, in the order of `entries`. */
  *keys(): IterableIterator<string> {
    yield* this.entriesByKey.keys();
    for (const jobId of this.compactedJobs.ids()) yield JOB_KEY_PREFIX + jobId;
  }

  /** Stores a value unless the key is a control key, or is known at this version or a later one. */
  put(key: string, value: unknown, version: Version): void {
    const known = this.get(key);
    // An equal version is a commit of this process that was applied on confirmation, before the watch reports it.
    if (isControlKey(key) || (known !== undefined && known.version >= version)) return;
    if (known === undefined) this.countTaskRecord(key, 1);
    if (this.tryCompact(key, value, version)) return;
    this.entriesByKey.set(key, { version, text: JSON.stringify(value) });
  }

  /** Removes a key unless it is known at a later version than that of the deletion. */
  remove(key: string, version: Version): void {
    const known = this.get(key);
    if (known === undefined || known.version > version) return;
    this.entriesByKey.delete(key);
    const jobId = jobIdOfJobKey(key);
    if (jobId !== null) this.compactedJobs.delete(jobId);
    this.countTaskRecord(key, -1);
    this.compactJobOfLastTaskRecord(key);
  }

  /** Applies a confirmed commit of this process immediately, before the watch reports it. */
  applyCommit(mutations: readonly Mutation[], revision: Revision): void {
    // If the watch was faster than the response, a record that was deleted since would be restored here for good, and
    // later count as lost.
    if (revision <= this.revision) return;
    const version = revision as number as Version;
    // Deletions are applied first, because they may allow a job of the same commit to be compacted.
    for (const mutation of mutations) if (!('put' in mutation)) this.remove(mutation.delete, version);
    for (const mutation of mutations) if ('put' in mutation) this.put(mutation.put, mutation.value, version);
  }

  /** Applies the events of a watch, which is complete up to `revision`. */
  applyWatchEvents(events: readonly WatchEvent[], revision: Revision): void {
    for (const event of events)
      if ('put' in event) this.put(event.put, event.value, event.version);
      else this.remove(event.delete, event.version);
    if (revision > this.revision) this.revision = revision;
  }

  /** Replaces the whole content by a list that was read at `revision`. */
  replaceAll(keyValues: Iterable<KeyValue>, revision: Revision): void {
    this.entriesByKey.clear();
    this.compactedJobs.clear();
    this.taskRecordCounts.clear();
    const all = [...keyValues];
    // Task records first: they decide which jobs can be compacted.
    for (const { key, value, version } of all)
      if (key.startsWith(TASK_KEY_PREFIX)) this.put(key, value, version);
    for (const { key, value, version } of all)
      if (!key.startsWith(TASK_KEY_PREFIX)) this.put(key, value, version);
    this.revision = revision;
  }

  /** Returns the bytes that keys and values take, without the maps around them. */
  sizeInBytes(): number {
    let bytes = 0;
    for (const [key, entry] of this.entriesByKey) bytes += key.length + entry.text.length;
    return bytes + this.compactedJobs.sizeInBytes();
  }

  /**
   * Compacts a job that has ended and has no task records left. Returns false if the record must be kept uncompacted.
   */
  private tryCompact(key: string, value: unknown, version: Version): boolean {
    const jobId = jobIdOfJobKey(key);
    if (jobId === null) return false;
    const phase = jobPhaseOfValue(value);
    if (this.taskRecordCounts.has(jobId) || (phase !== 'done' && phase !== 'cancelled')) {
      this.compactedJobs.delete(jobId);
      return false;
    }
    try {
      const { spec, graph } = decodeJob(value);
      if (graph !== undefined || spec.id !== jobId) return false;
      if (!this.compactedJobs.set(jobId, { version, taskCount: spec.tasks, phase })) return false;
      this.entriesByKey.delete(key);
      return true;
    } catch {
      // A record that cannot be decoded cannot be compacted either.
      return false;
    }
  }

  /** Compacts the job of a removed task record if it has ended and this was its last task record. */
  private compactJobOfLastTaskRecord(taskRecordKey: string): void {
    const jobId = jobOfChunkKey(taskRecordKey);
    if (jobId === null || this.taskRecordCounts.has(jobId)) return;
    const record = this.entriesByKey.get(JOB_KEY_PREFIX + jobId);
    if (record !== undefined)
      this.tryCompact(JOB_KEY_PREFIX + jobId, JSON.parse(record.text), record.version);
  }

  private countTaskRecord(key: string, difference: number): void {
    const jobId = jobOfChunkKey(key);
    if (jobId === null) return;
    const count = (this.taskRecordCounts.get(jobId) ?? 0) + difference;
    if (count > 0) this.taskRecordCounts.set(jobId, count);
    else this.taskRecordCounts.delete(jobId);
  }
}

function jobIdOfJobKey(key: string): string | null {
  return key.startsWith(JOB_KEY_PREFIX) ? key.slice(JOB_KEY_PREFIX.length) : null;
}
