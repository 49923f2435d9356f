/**
 * Jobs as their users submit and query them: Protocol, Users -> controller nodes.
 *
 * @module
 */
import type { JobId } from './ids.js';
import { isJobId } from './ids.js';
import * as read from './json-fields.js';
import { WireNames } from './wire-names.js';

/**
 * `array`: independent tasks that run to completion. `gang`: either all tasks run at the same time, or none does.
 * `service`: replicas that run until the job is cancelled.
 */
export type JobKind = 'array' | 'gang' | 'service';
/** From the most to the least important. */
export type JobPriority = 'production' | 'high' | 'normal' | 'low';
/** State of a job as its user sees it; `done` and `cancelled` are final. */
export type JobPhase = 'queued' | 'running' | 'done' | 'cancelled';

/** Maximum number of tasks in one job. */
export const MAX_TASKS_PER_JOB = 100_000;
/** Maximum size of a request body, in bytes. */
export const MAX_REQUEST_BODY_BYTES = 64 * 1024;

const KINDS = new WireNames<JobKind>({ array: 'batch', gang: 'ensemble', service: 'daemon' });
const PRIORITIES = new WireNames<JobPriority>({
  production: 'critical',
  high: 'high',
  normal: 'normal',
  low: 'idle',
});
const PHASES: readonly JobPhase[] = ['queued', 'running', 'done', 'cancelled'];

/** A job as its user described it (Protocol, Users -> controller nodes, POST /submissions). */
export interface JobSpec {
  readonly id: JobId;
  /** The class of jobs that it belongs to; objectives are set by class. */
  readonly class: string;
  /** The team whose guaranteed quota and limit apply. */
  readonly team: string;
  readonly kind: JobKind;
  readonly priority: JobPriority;
  /** Number of tasks. */
  readonly tasks: number;
  /** CPUs that each task takes of its machine. */
  readonly cpus: number;
  /** GPUs that each task takes of its machine. */
  readonly gpus: number;
  /** Memory that each task takes of its machine, in GB. */
  readonly memoryGb: number;
  /** The image that a machine must have before a task can start. */
  readonly image: string;
  /** Size of the image, in GB. */
  readonly imageGb: number;
  /** Allowed machine types; null: any. */
  readonly types: readonly string[] | null;
  /** The only allowed zone; null: any. */
  readonly zone: string | null;
  /** Whether all tasks must be in the same zone. */
  readonly oneZone: boolean;
  /** Whether at most half of the tasks, rounded up, may be in one zone. */
  readonly spread: boolean;
  /** Whether the job may use spot machines. */
  readonly spot: boolean;
  /**
   * The owner's estimate of a task's run time without the image fetch, in seconds; 0 for services. Frequently
   * inaccurate.
   */
  readonly estimateS: number;
  /** Progress after which a running task saves a checkpoint, in seconds; 0: it never saves. */
  readonly checkpointS: number;
  /** Time that a task needs to save when it is stopped, in seconds. */
  readonly saveS: number;
  /** When the job should be complete, in seconds from its submission; null: no deadline. */
  readonly deadlineS: number | null;
}

/**
 * The id of a submitted job alone: a repeated submission of a known job gets its response even if the rest of the body
 * is invalid. Throws a `ValidationError`.
 */
export function parseSubmissionId(body: unknown): JobId {
  const id = read.string(read.asObject(body, 'body'), 'nameId');
  if (!isJobId(id)) throw new read.ValidationError('nameId', 'a job id such as wk-000412');
  return id;
}

/** Reads the body of a submission; throws a `ValidationError`. */
export function parseSubmission(body: unknown): JobSpec {
  const fields = read.asObject(body, 'body');
  const id = parseSubmissionId(body);
  const kind = KINDS.read(fields, 'shape');
  const priority = PRIORITIES.read(fields, 'rank');
  const tasks = read.count(fields, 'pieces', 1);
  if (tasks > MAX_TASKS_PER_JOB) throw new read.ValidationError('pieces', `at most ${MAX_TASKS_PER_JOB}`);
  return {
    id,
    class: read.name(fields, 'lot'),
    team: read.name(fields, 'crew'),
    kind,
    priority,
    tasks,
    cpus: read.amount(fields, 'cpus'),
    gpus: read.amount(fields, 'accelerators'),
    memoryGb: read.amount(fields, 'memGb'),
    image: read.name(fields, 'kit'),
    imageGb: read.amount(fields, 'pullGb'),
    types: read.optionalStrings(fields, 'builds'),
    zone: read.optionalString(fields, 'yard'),
    oneZone: read.boolean(fields, 'oneZone'),
    spread: read.boolean(fields, 'scatter'),
    spot: read.boolean(fields, 'loaners'),
    estimateS: read.amount(fields, 'guessS'),
    checkpointS: read.amount(fields, 'bookmarkS'),
    saveS: read.amount(fields, 'stowS'),
    deadlineS: read.optionalAmount(fields, 'dueS'),
  };
}

/** The body of a submission; `parseSubmission` reads it back. */
export function formatSubmission(spec: JobSpec): Record<string, unknown> {
  return {
    nameId: spec.id,
    lot: spec.class,
    crew: spec.team,
    shape: KINDS.format(spec.kind),
    rank: PRIORITIES.format(spec.priority),
    pieces: spec.tasks,
    cpus: spec.cpus,
    accelerators: spec.gpus,
    memGb: spec.memoryGb,
    kit: spec.image,
    pullGb: spec.imageGb,
    builds: spec.types,
    yard: spec.zone,
    oneZone: spec.oneZone,
    scatter: spec.spread,
    loaners: spec.spot,
    guessS: spec.estimateS,
    bookmarkS: spec.checkpointS,
    stowS: spec.saveS,
    dueS: spec.deadlineS,
  };
}

/**
 * State of a job as its user sees it (Protocol, Users -> controller nodes, GET /submissions/{id}; also the response to
 * POST /submissions and POST /submissions/{id}/cancel).
 */
export interface JobStatus {
  readonly id: JobId;
  readonly phase: JobPhase;
  /** Number of completed tasks, for display. */
  readonly done?: number;
  /** Number of running tasks, for display. */
  readonly running?: number;
}

/** The body of a response with a job's state. */
export function formatJobStatus(status: JobStatus): Record<string, unknown> {
  return { nameId: status.id, phase: status.phase, done: status.done, running: status.running };
}

/** The phase in a response of 200 or 201 to a user; throws a `ValidationError`. */
export function parseJobPhase(body: unknown): JobPhase {
  return read.oneOf(read.asObject(body, 'body'), 'phase', PHASES);
}
