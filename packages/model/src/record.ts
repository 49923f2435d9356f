/**
 * The stored records of jobs and of their tasks. The JSON field names are fixed: records of earlier versions
 * must stay readable, and nodes of different versions read one another's records.
 *
 * @module
 */

import type { MonotonicMs } from '@spurbridge/net';
import type {
  AgentEpoch,
  Attempt,
  Brand,
  JobId,
  JobPhase,
  JobSpec,
  MachineId,
  Version,
} from '@spurbridge/wire';
import { ValidationError, formatSubmission, isJobId, parseSubmission, read } from '@spurbridge/wire';
import type { Job, TaskChunk } from './job.js';

/** Wall-clock time in milliseconds, accurate only within the platform's clock error. */
export type WallClockMs = Brand<number, 'WallMs'>;

/** Prefix of the keys of job records. */
export const JOB_KEY_PREFIX = 'j/';
/** Prefix of the keys of task records. */
export const TASK_KEY_PREFIX = 't/';

/** The key of a job's record. */
export function jobKey(id: JobId): string {
  return JOB_KEY_PREFIX + id;
}

/** The key of the task record with this chunk index. */
export function chunkKey(id: JobId, index: number): string {
  return `${TASK_KEY_PREFIX}${id}/${index}`;
}

/** The job that a task record belongs to; null if the key is not that of a task record. */
export function jobOfChunkKey(key: string): JobId | null {
  if (!key.startsWith(TASK_KEY_PREFIX)) return null;
  return key.slice(TASK_KEY_PREFIX.length, key.lastIndexOf('/')) as JobId;
}

/**
 * The record of a job as a whole. Any node may write it; only the leader writes the separate task records.
 */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly phase: 'active' | 'done' | 'cancelled';
  readonly submittedAt: WallClockMs;
  /** Tasks per task record. */
  readonly chunkSize: number;
  /** The task graph that the job is a part of; absent for a job submitted directly by a user. */
  readonly graph?: string;
  /**
   * When its cancellation was requested, which is never later than its confirmation. Absent in records of
   * earlier versions.
   */
  readonly cancelledAt?: WallClockMs;
}

/** The JSON value of a job's record. */
export function encodeJob(job: JobRecord): Record<string, unknown> {
  const record: Record<string, unknown> = {
    spec: formatSubmission(job.spec),
    phase: job.phase,
    at: job.submittedAt,
    chunk: job.chunkSize,
  };
  if (job.graph !== undefined) record['graph'] = job.graph;
  if (job.cancelledAt !== undefined) record['cancelledAt'] = job.cancelledAt;
  return record;
}

/**
 * The JSON value of the compacted record of an ended job: only what is needed to answer its users.
 * `decodeJob` also reads this form.
 */
export function encodeCompactedJob(id: string, tasks: number, phase: string): Record<string, unknown> {
  return { over: [id, tasks], phase, at: 0, chunk: 1 };
}

/** A compacted record holds only the id and the number of tasks, so the job has no resources and no team. */
function compactedJobSpec(fields: readonly unknown[]): JobSpec {
  const [id, tasks] = fields;
  if (typeof id !== 'string' || !isJobId(id)) throw new ValidationError('over', 'a job id');
  if (typeof tasks !== 'number' || !Number.isInteger(tasks) || tasks < 1)
    throw new ValidationError('over', 'a number of tasks of at least 1');
  return {
    id,
    tasks,
    class: '',
    team: '',
    kind: 'array',
    priority: 'low',
    cpus: 0,
    gpus: 0,
    memoryGb: 0,
    types: null,
    zone: null,
    oneZone: false,
    spread: false,
    spot: false,
    image: '',
    imageGb: 0,
    estimateS: 0,
    checkpointS: 0,
    saveS: 0,
    deadlineS: null,
  };
}

/**
 * Reads a job's record, compacted or not.
 *
 * @throws {ValidationError} when a field is missing or malformed.
 */
export function decodeJob(value: unknown): JobRecord {
  const fields = read.asObject(value, 'job record');
  const graph = read.optionalString(fields, 'graph');
  const compacted = fields['over'];
  const cancelledAt = read.optionalAmount(fields, 'cancelledAt');
  return {
    spec:
      compacted === undefined
        ? parseSubmission(fields['spec'])
        : compactedJobSpec(read.asArray(compacted, 'over')),
    phase: read.oneOf(fields, 'phase', ['active', 'done', 'cancelled']),
    submittedAt: read.amount(fields, 'at') as WallClockMs,
    chunkSize: read.count(fields, 'chunk', 1),
    ...(graph === null ? {} : { graph }),
    ...(cancelledAt === null ? {} : { cancelledAt: cancelledAt as WallClockMs }),
  };
}

/** The phase that is reported to the job's user. */
export function jobPhaseForUser(record: JobRecord, runningTasks: number): JobPhase {
  if (record.phase !== 'active') return record.phase;
  return runningTasks > 0 ? 'running' : 'queued';
}

/** Upper bound of the bytes that one placed task takes in a task record. */
const MAX_ENCODED_TASK_BYTES = 48;
/** Bytes of a task record apart from its tasks. */
const CHUNK_OVERHEAD_BYTES = 256;
const MAX_TASKS_PER_CHUNK = 256;
const BYTES_PER_KB = 1024;

/**
 * The number of tasks per record for which a record fits one value of the store even if every task is placed.
 */
export function tasksPerChunk(valueKb: number): number {
  const fitting = Math.floor((valueKb * BYTES_PER_KB - CHUNK_OVERHEAD_BYTES) / MAX_ENCODED_TASK_BYTES);
  return Math.max(1, Math.min(MAX_TASKS_PER_CHUNK, fitting));
}

/** The JSON value of the record of some of a job's tasks. */
export function encodeChunk(job: Job, chunk: TaskChunk): Record<string, unknown> {
  const first = chunk.index * job.chunkSize;
  const end = Math.min(first + job.chunkSize, job.spec.tasks);
  const placed: unknown[] = [];
  const abandoned: number[] = [];
  for (let task = first; task < end; task += 1) {
    if (job.abandoned.has(task)) abandoned.push(task);
    const placement = job.placements.get(task);
    if (placement === undefined) continue;
    placed.push([task, placement.machine, placement.agentEpoch, placement.attempt]);
  }
  const record = { tries: chunk.attemptsIssued, done: formatDoneRanges(job, first, end), placed };
  return job.abandoned.size === 0 ? record : { ...record, abandoned };
}

/** The done tasks in the range from `first` up to but excluding `end`, encoded as ranges: `0-3,7`. */
function formatDoneRanges(job: Job, first: number, end: number): string {
  const ranges: string[] = [];
  for (let task = first; task < end; task += 1) {
    if (!job.isDone(task)) continue;
    let last = task;
    while (last + 1 < end && job.isDone(last + 1)) last += 1;
    ranges.push(last === task ? `${task}` : `${task}-${last}`);
    task = last;
  }
  return ranges.join(',');
}

/** Marks the tasks of encoded ranges such as `0-3,7` as done. */
function restoreDoneRanges(job: Job, ranges: string): void {
  for (const range of ranges.split(',')) {
    if (range === '') continue;
    const [first, last] = range.split('-').map(Number);
    for (let task = first as number; task <= (last ?? (first as number)); task += 1) job.markDone(task);
  }
}

/**
 * Restores the tasks of one task record in the job that they belong to.
 *
 * @throws {ValidationError} when a field is missing or malformed.
 */
export function restoreChunk(
  job: Job,
  index: number,
  value: unknown,
  version: Version,
  now: MonotonicMs,
): void {
  const fields = read.asObject(value, 'task record');
  job.restoreChunk(index, version, read.count(fields, 'tries'));
  restoreDoneRanges(job, read.string(fields, 'done'));
  for (const task of read.asArray(fields['abandoned'] ?? [], 'abandoned'))
    job.restoreAbandoned(task as number);
  for (const entry of read.asArray(fields['placed'], 'placed')) {
    const [task, machine, agentEpoch, attempt] = read.asArray(entry, 'placed');
    job.restorePlacement(
      task as number,
      machine as MachineId,
      agentEpoch as AgentEpoch,
      attempt as Attempt,
      now,
    );
  }
}
