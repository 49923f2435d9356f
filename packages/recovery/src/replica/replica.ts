import { JOB_KEY_PREFIX, TASK_KEY_PREFIX, decodeJob, encodeCompactedJob } from '@spurbridge/model';
import type { Mutation, KeyValue, Revision, Version, WatchEvent } from '@spurbridge/wire';
import { MAX_TASKS_PER_JOB } from '@spurbridge/wire';
import { isDeepStrictEqual } from 'node:util';
import { isControlKey } from '../epoch/epoch-record.js';

/** One key as it was last seen; the value as JSON, so that hundreds of records stay small. */
export interface ReplicaEntry {
  readonly version: Version;
  readonly text: string;
}

/** Most tasks of a job, plus one: packs a folded job into one number, exact up to 2^34 revisions. */
const TASKS_SPAN = MAX_TASKS_PER_JOB + 1;

/** What a node has seen of the state service: every key but the control keys (docs/state-loss.md). */
export class Replica {
  private readonly seen = new Map<string, ReplicaEntry>();
  /** Jobs that are over, folded, by id: version, tasks and phase in a number, at a hundred bytes each. */
  private readonly over = new Map<string, number>();
  /** Task records of each job: one that is over is folded when it has none left. */
  private readonly chunks = new Map<string, number>();
  /** All changes up to this revision are in. */
  revision = 0 as Revision;

  get size(): number {
    return this.seen.size + this.over.size;
  }

  get(key: string): ReplicaEntry | undefined {
    const seen = this.seen.get(key);
    if (seen !== undefined || !key.startsWith(JOB_KEY_PREFIX)) return seen;
    const id = key.slice(JOB_KEY_PREFIX.length);
    const packed = this.over.get(id);
    return packed === undefined ? undefined : unpack(id, packed);
  }

  *entries(): IterableIterator<[string, ReplicaEntry]> {
    yield* this.seen.entries();
    for (const [id, packed] of this.over) yield [JOB_KEY_PREFIX + id, unpack(id, packed)];
  }

  *keys(): IterableIterator<string> {
    yield* this.seen.keys();
    for (const id of this.over.keys()) yield JOB_KEY_PREFIX + id;
  }

  put(key: string, value: unknown, version: Version): void {
    const known = this.get(key);
    // At the same version it is this node's own commit, shown by the watch after it was confirmed.
    if (isControlKey(key) || (known !== undefined && known.version >= version)) return;
    if (known === undefined) this.countChunk(key, 1);
    if (this.fold(key, value, version)) return;
    this.seen.set(key, { version, text: JSON.stringify(value) });
  }

  remove(key: string, version: Version): void {
    const known = this.get(key);
    if (known === undefined || known.version > version) return;
    this.seen.delete(key);
    if (key.startsWith(JOB_KEY_PREFIX)) this.over.delete(key.slice(JOB_KEY_PREFIX.length));
    this.countChunk(key, -1);
    const job = jobOfChunk(key);
    if (job === null || this.chunks.has(job)) return;
    const record = this.seen.get(JOB_KEY_PREFIX + job);
    if (record !== undefined) this.fold(JOB_KEY_PREFIX + job, JSON.parse(record.text), record.version);
  }

  /** Folds a job that is over and has no task records left; false where it is kept as it is. */
  private fold(key: string, value: unknown, version: Version): boolean {
    if (!key.startsWith(JOB_KEY_PREFIX)) return false;
    const id = key.slice(JOB_KEY_PREFIX.length);
    const phase = phaseOfValue(value);
    if (this.chunks.has(id) || (phase !== 'done' && phase !== 'cancelled')) {
      this.over.delete(id);
      return false;
    }
    try {
      const { spec, graph } = decodeJob(value);
      if (graph !== undefined || spec.id !== id) return false;
      this.over.set(id, (version * TASKS_SPAN + spec.tasks) * 2 + (phase === 'done' ? 1 : 0));
      this.seen.delete(key);
      return true;
    } catch {
      return false;
    }
  }

  private countChunk(key: string, by: number): void {
    const job = jobOfChunk(key);
    if (job === null) return;
    const count = (this.chunks.get(job) ?? 0) + by;
    if (count > 0) this.chunks.set(job, count);
    else this.chunks.delete(job);
  }

  /** A commit of this node's own that was confirmed: known at once, not only by the watch. */
  applyCommit(changes: readonly Mutation[], revision: Revision): void {
    // Answered after the watch had shown it, a record deleted since would come back here for good, and count as lost.
    if (revision <= this.revision) return;
    const version = revision as number as Version;
    // Deletions first: they may let a job of the same commit be folded.
    for (const c of changes) if (!('put' in c)) this.remove(c.delete, version);
    for (const c of changes) if ('put' in c) this.put(c.put, c.value, version);
  }

  applyWatchEvents(events: readonly WatchEvent[], revision: Revision): void {
    for (const e of events)
      if ('put' in e) this.put(e.put, e.value, e.version);
      else this.remove(e.delete, e.version);
    if (revision > this.revision) this.revision = revision;
  }

  /** Starts anew from a whole list. */
  replaceAll(items: Iterable<KeyValue>, revision: Revision): void {
    this.seen.clear();
    this.over.clear();
    this.chunks.clear();
    const records = [...items];
    for (const i of records) if (i.key.startsWith(TASK_KEY_PREFIX)) this.put(i.key, i.value, i.version);
    for (const i of records) if (!i.key.startsWith(TASK_KEY_PREFIX)) this.put(i.key, i.value, i.version);
    this.revision = revision;
  }

  /** Bytes that keys and values take, without the maps around them. */
  sizeInBytes(): number {
    let sum = 0;
    for (const [key, s] of this.seen) sum += key.length + s.text.length;
    for (const id of this.over.keys()) sum += id.length + 8;
    return sum;
  }
}

function unpack(id: string, packed: number): ReplicaEntry {
  const phase = packed % 2 === 1 ? 'done' : 'cancelled';
  const rest = Math.floor(packed / 2);
  const version = Math.floor(rest / TASKS_SPAN) as Version;
  return { version, text: JSON.stringify(encodeCompactedJob(id, rest % TASKS_SPAN, phase)) };
}

/**
 * Why what was read cannot be in a sound store, or null. `known` is what this node knew when it asked; `value`
 * undefined: the key is absent, which says something only where nothing is ever deleted.
 */
export function findContradiction(
  key: string,
  known: ReplicaEntry | undefined,
  version: Version,
  value: unknown,
): string | null {
  if (known === undefined) return null;
  if (value === undefined) return isNeverDeleted(key, known) ? `${key} is gone` : null;
  if (version < known.version) return `${key} is at ${version}, was at ${known.version}`;
  if (version === known.version && !isSameValue(key, known.text, JSON.stringify(value)))
    return `${key} has another value at ${version}`;
  return null;
}

/** Whether a record is never deleted: users' own jobs are not, parts of task graphs go with their graph. */
export function isNeverDeleted(key: string, seen: ReplicaEntry): boolean {
  return key.startsWith(JOB_KEY_PREFIX) && !seen.text.includes('"graph":"');
}

/** Phase of a job's record, or null where it cannot be read. */
export function jobPhaseOf(text: string): string | null {
  try {
    return phaseOfValue(JSON.parse(text));
  } catch {
    return null;
  }
}

function phaseOfValue(value: unknown): string | null {
  const phase = typeof value === 'object' && value !== null ? (value as { phase?: unknown }).phase : null;
  return typeof phase === 'string' ? phase : null;
}

/** Whether two values of a key say the same, in whatever order of fields; of a job that is over, one may be folded. */
export function isSameValue(key: string, a: string, b: string): boolean {
  if (a === b) return true;
  if (key.startsWith(JOB_KEY_PREFIX)) {
    const phase = jobPhaseOf(a);
    if (phase !== null && phase !== 'active') return phase === jobPhaseOf(b);
  }
  return isDeepStrictEqual(JSON.parse(a), JSON.parse(b));
}

function jobOfChunk(key: string): string | null {
  if (!key.startsWith(TASK_KEY_PREFIX)) return null;
  return key.slice(TASK_KEY_PREFIX.length, key.lastIndexOf('/'));
}
