import type { JobId } from './ids.js';
import { isJobId } from './ids.js';
import * as r from './read.js';

export type JobKind = 'array' | 'gang' | 'service';
export type JobPriority = 'production' | 'high' | 'normal' | 'low';
export type JobPhase = 'queued' | 'running' | 'done' | 'cancelled';

/** A job as its user described it, in the field's standard terms. */
export interface JobSpec {
  readonly id: JobId;
  readonly class: string;
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: JobPriority;
  readonly tasks: number;
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  readonly types: readonly string[] | null;
  readonly zone: string | null;
  readonly oneZone: boolean;
  readonly spread: boolean;
  readonly spot: boolean;
  readonly estimateS: number;
  readonly checkpointS: number;
  readonly saveS: number;
  readonly deadlineS: number | null;
}

export const MAX_TASKS_PER_JOB = 100_000;
export const MAX_REQUEST_BODY_BYTES = 64 * 1024;

const KINDS: Record<string, JobKind> = { batch: 'array', ensemble: 'gang', daemon: 'service' };
const PRIORITIES: Record<string, JobPriority> = {
  critical: 'production',
  high: 'high',
  normal: 'normal',
  idle: 'low',
};
const KIND_NAMES = { array: 'batch', gang: 'ensemble', service: 'daemon' } as const;
const PRIORITY_NAMES = { production: 'critical', high: 'high', normal: 'normal', low: 'idle' } as const;

/** The id alone: a retry of a known job is answered even if the rest no longer passes. */
export function parseSubmissionId(body: unknown): JobId {
  const id = r.string(r.asObject(body, 'body'), 'nameId');
  if (!isJobId(id)) throw new r.ValidationError('nameId', 'a job id');
  return id;
}

export function parseSubmission(body: unknown): JobSpec {
  const o = r.asObject(body, 'body');
  const id = parseSubmissionId(body);
  const kind = KINDS[r.oneOf(o, 'shape', ['batch', 'ensemble', 'daemon'])] as JobKind;
  const priority = PRIORITIES[r.oneOf(o, 'rank', ['critical', 'high', 'normal', 'idle'])] as JobPriority;
  const tasks = r.count(o, 'pieces', 1);
  if (tasks > MAX_TASKS_PER_JOB) throw new r.ValidationError('pieces', `at most ${MAX_TASKS_PER_JOB}`);
  return {
    id,
    class: r.name(o, 'lot'),
    team: r.name(o, 'crew'),
    kind,
    priority,
    tasks,
    cpus: r.amount(o, 'cpus'),
    gpus: r.amount(o, 'accelerators'),
    memoryGb: r.amount(o, 'memGb'),
    image: r.name(o, 'kit'),
    imageGb: r.amount(o, 'pullGb'),
    types: r.optionalStrings(o, 'builds'),
    zone: r.optionalString(o, 'yard'),
    oneZone: r.boolean(o, 'oneZone'),
    spread: r.boolean(o, 'scatter'),
    spot: r.boolean(o, 'loaners'),
    estimateS: r.amount(o, 'guessS'),
    checkpointS: r.amount(o, 'bookmarkS'),
    saveS: r.amount(o, 'stowS'),
    deadlineS: r.optionalAmount(o, 'dueS'),
  };
}

export function formatSubmission(s: JobSpec): Record<string, unknown> {
  return {
    nameId: s.id,
    lot: s.class,
    crew: s.team,
    shape: KIND_NAMES[s.kind],
    rank: PRIORITY_NAMES[s.priority],
    pieces: s.tasks,
    cpus: s.cpus,
    accelerators: s.gpus,
    memGb: s.memoryGb,
    kit: s.image,
    pullGb: s.imageGb,
    builds: s.types,
    yard: s.zone,
    oneZone: s.oneZone,
    scatter: s.spread,
    loaners: s.spot,
    guessS: s.estimateS,
    bookmarkS: s.checkpointS,
    stowS: s.saveS,
    dueS: s.deadlineS,
  };
}

export interface JobStatus {
  readonly id: JobId;
  readonly phase: JobPhase;
  readonly done?: number;
  readonly running?: number;
}

export function formatJobStatus(s: JobStatus): Record<string, unknown> {
  return { nameId: s.id, phase: s.phase, done: s.done, running: s.running };
}

const PHASES: readonly JobPhase[] = ['queued', 'running', 'done', 'cancelled'];

/** The phase in an answer of 200 or 201 to a user. */
export function parseJobPhase(body: unknown): JobPhase {
  return r.oneOf(r.asObject(body, 'body'), 'phase', PHASES);
}
