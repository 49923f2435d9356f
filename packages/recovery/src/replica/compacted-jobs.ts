/**
 * Compacted records of jobs that have ended and have no task records left, each packed into one number.
 *
 * @module
 */
import { encodeCompactedJob } from '@spurbridge/model';
import type { Version } from '@spurbridge/wire';
import { MAX_TASKS_PER_JOB } from '@spurbridge/wire';
import type { ReplicaEntry } from './replica-entry.js';

/** Number of possible task counts of a job. */
const TASK_COUNT_SPAN = MAX_TASKS_PER_JOB + 1;
/** The highest version of which a packed job is an exact integer. */
const MAX_COMPACTED_VERSION = Math.floor(Number.MAX_SAFE_INTEGER / (2 * TASK_COUNT_SPAN)) - 1;

/** Bytes of a packed job besides its id. */
const PACKED_BYTES = 8;

/** The part of an ended job's record that status requests need. */
export interface EndedJob {
  readonly version: Version;
  readonly taskCount: number;
  readonly phase: 'done' | 'cancelled';
}

/** Compacted jobs by id. An entry takes about a hundred bytes, compared to several hundred for a whole record. */
export class CompactedJobs {
  private readonly packedById = new Map<string, number>();

  /** Number of compacted jobs. */
  get size(): number {
    return this.packedById.size;
  }

  /** Adds a job, or replaces it; returns false, and holds no such job, if it cannot be packed without loss. */
  set(id: string, { version, taskCount, phase }: EndedJob): boolean {
    if (version > MAX_COMPACTED_VERSION || taskCount >= TASK_COUNT_SPAN) {
      this.packedById.delete(id);
      return false;
    }
    const phaseBit = phase === 'done' ? 1 : 0;
    this.packedById.set(id, (version * TASK_COUNT_SPAN + taskCount) * 2 + phaseBit);
    return true;
  }

  /** Returns the job's compacted record, or undefined if it is not compacted. */
  get(id: string): ReplicaEntry | undefined {
    const packed = this.packedById.get(id);
    return packed === undefined ? undefined : unpack(id, packed);
  }

  /** Removes a job, if it is compacted. */
  delete(id: string): void {
    this.packedById.delete(id);
  }

  /** Removes all jobs. */
  clear(): void {
    this.packedById.clear();
  }

  /** Iterates over the ids, in the order of insertion. */
  ids(): IterableIterator<string> {
    return this.packedById.keys();
  }

  /** Iterates over ids and compacted records, in the order of insertion. */
  *entries(): IterableIterator<[string, ReplicaEntry]> {
    for (const [id, packed] of this.packedById) yield [id, unpack(id, packed)];
  }

  /** Returns the bytes that ids and packed jobs take, without the map around them. */
  sizeInBytes(): number {
    let bytes = 0;
    for (const id of this.packedById.keys()) bytes += id.length + PACKED_BYTES;
    return bytes;
  }
}

function unpack(id: string, packed: number): ReplicaEntry {
  const phase = packed % 2 === 1 ? 'done' : 'cancelled';
  const versionAndCount = Math.floor(packed / 2);
  const version = Math.floor(versionAndCount / TASK_COUNT_SPAN) as Version;
  const taskCount = versionAndCount % TASK_COUNT_SPAN;
  return { version, text: JSON.stringify(encodeCompactedJob(id, taskCount, phase)) };
}
