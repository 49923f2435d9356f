import type { MonotonicMs } from '@spurbridge/net';
import type {
  Attempt,
  Brand,
  JobId,
  JobPhase,
  JobSpec,
  MachineId,
  AgentEpoch,
  Version,
} from '@spurbridge/wire';
import { ValidationError, formatSubmission, isJobId, parseSubmission, read } from '@spurbridge/wire';
import type { TaskChunk } from './job.js';
import { Job } from './job.js';

/** Time of day in milliseconds, true only within the platform's clock error. */
export type WallClockMs = Brand<number, 'WallMs'>;

export const JOB_KEY_PREFIX = 'j/';
export const TASK_KEY_PREFIX = 't/';

export function jobKey(id: JobId): string {
  return JOB_KEY_PREFIX + id;
}

export function chunkKey(id: JobId, index: number): string {
  return `${TASK_KEY_PREFIX}${id}/${index}`;
}

/** What the state service knows of a job as a whole. Any node writes it; tasks have their own records. */
export interface JobRecord {
  readonly spec: JobSpec;
  readonly phase: 'active' | 'done' | 'cancelled';
  readonly submittedAt: WallClockMs;
  readonly chunkSize: number;
  /** The task graph that the job is a part of; absent for a user's own job. */
  readonly graph?: string;
  /** When its cancellation was asked for: it was confirmed no earlier. Absent in records of earlier versions. */
  readonly cancelledAt?: WallClockMs;
}

export function encodeJob(r: JobRecord): Record<string, unknown> {
  const record: Record<string, unknown> = {
    spec: formatSubmission(r.spec),
    phase: r.phase,
    at: r.submittedAt,
    chunk: r.chunkSize,
  };
  if (r.graph !== undefined) record['graph'] = r.graph;
  if (r.cancelledAt !== undefined) record['cancelledAt'] = r.cancelledAt;
  return record;
}

/**
 * The record of a job that is over, without what only running it needed: what its users may still ask is answered from
 * it (`decodeJob` reads it, too).
 */
export function encodeCompactedJob(id: string, tasks: number, phase: string): Record<string, unknown> {
  return { over: [id, tasks], phase, at: 0, chunk: 1 };
}

/** Of a folded record only id and number of tasks are known: it takes nothing, and fits no team. */
function compactedJobSpec(over: readonly unknown[]): JobSpec {
  const [id, tasks] = over;
  if (typeof id !== 'string' || !isJobId(id)) throw new ValidationError('over', 'a job id');
  if (typeof tasks !== 'number' || !Number.isInteger(tasks) || tasks < 1)
    throw new ValidationError('over', 'a number of tasks');
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

export function decodeJob(value: unknown): JobRecord {
  const o = read.asObject(value, 'job record');
  const graph = read.optionalString(o, 'graph');
  const over = o['over'];
  const cancelledAt = read.optionalAmount(o, 'cancelledAt');
  return {
    spec: over === undefined ? parseSubmission(o['spec']) : compactedJobSpec(read.asArray(over, 'over')),
    phase: read.oneOf(o, 'phase', ['active', 'done', 'cancelled']),
    submittedAt: read.amount(o, 'at') as WallClockMs,
    chunkSize: read.count(o, 'chunk', 1),
    ...(graph === null ? {} : { graph }),
    ...(cancelledAt === null ? {} : { cancelledAt: cancelledAt as WallClockMs }),
  };
}

export function jobPhaseForUser(record: JobRecord, running: number): JobPhase {
  if (record.phase !== 'active') return record.phase;
  return running > 0 ? 'running' : 'queued';
}

const MAX_ENCODED_TASK_BYTES = 48;
const MAX_TASKS_PER_CHUNK = 256;

/** Tasks per record, so that even with every task placed it fits one value. */
export function tasksPerChunk(valueKb: number): number {
  return Math.max(
    1,
    Math.min(MAX_TASKS_PER_CHUNK, Math.floor((valueKb * 1024 - 256) / MAX_ENCODED_TASK_BYTES)),
  );
}

export function encodeChunk(job: Job, chunk: TaskChunk): Record<string, unknown> {
  const first = chunk.index * job.chunkSize;
  const placed: unknown[] = [];
  for (let t = first; t < Math.min(first + job.chunkSize, job.spec.tasks); t += 1) {
    const p = job.placements.get(t);
    if (p !== undefined) placed.push([t, p.machine, p.agentEpoch, p.attempt]);
  }
  const record = { tries: chunk.attemptsIssued, done: job.formatDoneRanges(chunk), placed };
  if (job.abandoned.size === 0) return record;
  return { ...record, abandoned: [...job.abandoned].filter((t) => t >= first && t < first + job.chunkSize) };
}

/** Puts a task record's content back into the job that it belongs to. */
export function restoreChunk(
  job: Job,
  index: number,
  value: unknown,
  version: Version,
  now: MonotonicMs,
): void {
  const o = read.asObject(value, 'task record');
  job.restoreChunk(index, version, read.count(o, 'tries'));
  for (const part of read.string(o, 'done').split(',')) {
    if (part === '') continue;
    const [first, last] = part.split('-').map(Number);
    for (let t = first as number; t <= (last ?? (first as number)); t += 1) job.markDone(t);
  }
  for (const t of read.asArray(o['abandoned'] ?? [], 'abandoned')) job.restoreAbandoned(t as number);
  for (const entry of read.asArray(o['placed'], 'placed')) {
    const [task, machine, session, attempt] = read.asArray(entry, 'placed');
    job.restorePlacement(
      task as number,
      machine as MachineId,
      session as AgentEpoch,
      attempt as Attempt,
      now,
    );
  }
}
