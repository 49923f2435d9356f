/**
 * Queue of task records that have changed in memory and are to be written to the key-value store. A task record covers
 * one chunk of a job's tasks.
 *
 * @module
 */
import type { Job, TaskChunk } from '@spurbridge/model';
import { chunkKey, encodeChunk } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';

/** Changes other than new intents are delayed by this time, so that several share one write. */
const COALESCING_DELAY_MS = 400;
/**
 * Largest sum of the encoded values of one commit, in bytes; a single larger record is written in a commit of its own.
 */
const MAX_BATCH_BYTES = 48 * 1024;
/** Allowance for the key, the compare and the framing of one record in a commit, in bytes. */
const RECORD_OVERHEAD_BYTES = 300;

/** A chunk whose record has to be written. */
export interface ChunkWrite {
  readonly key: string;
  readonly job: Job;
  readonly chunk: TaskChunk;
  dueAt: MonotonicMs;
  /** Whether the chunk holds a new intent: its task cannot start before the record is durable. */
  isUrgent: boolean;
}

/** A chunk's record as it is about to be written. */
export interface EncodedChunkWrite {
  readonly write: ChunkWrite;
  readonly value: unknown;
  /** The chunk's revision in memory that `value` shows. */
  readonly revision: number;
}

/** Records that are written by one commit. */
export interface ChunkWriteBatch {
  readonly writes: readonly EncodedChunkWrite[];
  /** Whether the most urgent of the records holds a new intent. */
  readonly isUrgent: boolean;
}

/** Collects changed chunks and hands them out in batches, chunks with new intents first, then by due time. */
export class ChunkWriteQueue {
  private readonly writes = new Map<string, ChunkWrite>();

  /** Adds the chunk that holds the task; an urgent one is due immediately. */
  add(job: Job, task: number, isUrgent: boolean, now: MonotonicMs): void {
    const chunk = job.chunkOf(task);
    const key = chunkKey(job.spec.id, chunk.index);
    const dueAt = isUrgent ? now : addMs(now, COALESCING_DELAY_MS);
    const queued = this.writes.get(key);
    if (queued === undefined) {
      this.writes.set(key, { key, job, chunk, dueAt, isUrgent });
      return;
    }
    queued.dueAt = Math.min(queued.dueAt, dueAt) as MonotonicMs;
    queued.isUrgent ||= isUrgent;
  }

  has(key: string): boolean {
    return this.writes.has(key);
  }

  /** Drops all writes of a job whose task records are no longer needed. */
  removeJob(job: Job): void {
    for (const chunk of job.chunks) this.writes.delete(chunkKey(job.spec.id, chunk.index));
  }

  /**
   * Removes and encodes the writes that are due, at most `maxRecords` of them. Keys for which `isBusy` returns
   * true stay queued. Returns null when nothing can be written.
   */
  takeBatch(now: MonotonicMs, maxRecords: number, isBusy: (key: string) => boolean): ChunkWriteBatch | null {
    const due = [...this.writes.values()].filter((write) => write.dueAt <= now && !isBusy(write.key));
    const first = due.sort(compareWrites)[0];
    if (first === undefined) return null;
    const isUrgent = first.isUrgent;
    const writes = this.encodeUpTo(due, maxRecords);
    if (writes.length === 0) return null;
    for (const { write } of writes) this.writes.delete(write.key);
    return { writes, isUrgent };
  }

  private encodeUpTo(due: readonly ChunkWrite[], maxRecords: number): EncodedChunkWrite[] {
    const encoded: EncodedChunkWrite[] = [];
    let bytes = 0;
    for (const write of due) {
      if (encoded.length >= maxRecords) break;
      if (write.job.state === 'done') {
        this.writes.delete(write.key);
        continue;
      }
      const value = encodeChunk(write.job, write.chunk);
      bytes += JSON.stringify(value).length + RECORD_OVERHEAD_BYTES;
      if (encoded.length > 0 && bytes > MAX_BATCH_BYTES) break;
      encoded.push({ write, value, revision: write.chunk.revision });
    }
    return encoded;
  }

  /** Queues a batch again that could not be committed. Changes made meanwhile are merged with it. */
  putBack(batch: ChunkWriteBatch): void {
    for (const { write } of batch.writes) {
      const queued = this.writes.get(write.key);
      if (queued === undefined) this.writes.set(write.key, write);
      else queued.isUrgent ||= write.isUrgent;
    }
  }
}

function compareWrites(left: ChunkWrite, right: ChunkWrite): number {
  return Number(right.isUrgent) - Number(left.isUrgent) || left.dueAt - right.dueAt;
}
