import type { Brand } from './ids.js';
import * as r from './read.js';
import type { JobPriority } from './users.js';

/**
 * Task graphs, beside the users' interface of jobs. A graph grows by batches; a batch is added whole or not at
 * all, and a batch that is added again with the same content is the same batch.
 */
export type GraphId = Brand<string, 'GraphId'>;
/** Unique within its graph, chosen by the client; a spawning task derives it from its own name. */
export type BatchId = Brand<string, 'BatchId'>;
/** `BATCH:N`, the N-th task of a batch of the same graph, counted from 0. */
export type GraphTaskId = Brand<string, 'GraphTaskId'>;

/** What a task of a graph takes; tasks of one batch share a few of these. */
export interface TaskShape {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** The owner's estimate of a task's run time, in seconds. */
  readonly estimateS: number;
  /** How often a task that failed is started again. */
  readonly retries: number;
  readonly spot: boolean;
}

export interface BatchTask {
  /** Index into the batch's shapes. */
  readonly shape: number;
  /** Tasks whose results it takes, without repetition. */
  readonly after: readonly GraphTaskId[];
  /** Whether its result is kept for the client until released, and not for other tasks alone. */
  readonly held: boolean;
}

export interface Batch {
  readonly id: BatchId;
  /** The task that spawned it, or null. */
  readonly parent: GraphTaskId | null;
  readonly shapes: readonly TaskShape[];
  readonly tasks: readonly BatchTask[];
}

export interface GraphSpec {
  readonly id: GraphId;
  readonly class: string;
  readonly team: string;
  readonly priority: JobPriority;
}

export const MAX_BATCH_TASKS = 400;
export const MAX_TASK_DEPENDENCIES = 64;
const MOST_SHAPES = 32;
const MOST_RETRIES = 100;
const GRAPH_ID = /^gr-[A-Za-z0-9_-]{1,36}$/;
const BATCH_ID = /^[A-Za-z0-9_.~-]{1,60}$/;
const TASK_ID = /^([A-Za-z0-9_.~-]{1,60}):(0|[1-9]\d{0,3})$/;

export function isGraphId(text: string): text is GraphId {
  return GRAPH_ID.test(text);
}

export function formatGraphTaskId(batch: BatchId, task: number): GraphTaskId {
  return `${batch}:${task}` as GraphTaskId;
}

export function parseGraphTaskId(id: GraphTaskId): { readonly batch: BatchId; readonly task: number } {
  const colon = id.lastIndexOf(':');
  return { batch: id.slice(0, colon) as BatchId, task: Number(id.slice(colon + 1)) };
}

function taskId(text: unknown, field: string): GraphTaskId {
  if (typeof text !== 'string' || !TASK_ID.test(text))
    throw new r.ValidationError(field, 'a task name such as b1:0');
  return text as GraphTaskId;
}

function shape(value: unknown, field: string): TaskShape {
  return r.withFieldPath(field, () => {
    const o = r.asObject(value, 'entry');
    const retries = r.optionalCount(o, 'retries') ?? 0;
    if (retries > MOST_RETRIES) throw new r.ValidationError('retries', `at most ${MOST_RETRIES}`);
    return {
      cpus: r.amount(o, 'cpus'),
      gpus: r.optionalAmount(o, 'gpus') ?? 0,
      memoryGb: r.optionalAmount(o, 'memoryGb') ?? 0,
      image: r.name(o, 'image'),
      imageGb: r.optionalAmount(o, 'imageGb') ?? 0,
      estimateS: r.amount(o, 'estimateS'),
      retries,
      spot: r.booleanOrFalse(o, 'spot'),
    };
  });
}

/** `[shape, [after...], held]`; an `after` that is a number means that task of the same batch. */
function task(
  value: unknown,
  field: string,
  batch: BatchId,
  tasks: number,
  shapes: number,
  self: number,
): BatchTask {
  const [which, after, held] = r.asArray(value, field);
  if (typeof which !== 'number' || !Number.isInteger(which) || which < 0 || which >= shapes)
    throw new r.ValidationError(`${field}[0]`, `a shape from 0 to ${shapes - 1}`);
  const names = r.asArray(after ?? [], `${field}[1]`);
  if (names.length > MAX_TASK_DEPENDENCIES)
    throw new r.ValidationError(`${field}[1]`, `at most ${MAX_TASK_DEPENDENCIES} tasks`);
  const seen = new Set<GraphTaskId>();
  names.forEach((a, i) => {
    const path = `${field}[1][${i}]`;
    const id = typeof a === 'number' ? taskId(`${batch}:${a}`, path) : taskId(a, path);
    const local = parseGraphTaskId(id);
    if (local.batch === batch && local.task >= tasks)
      throw new r.ValidationError(path, 'a task of the batch');
    if (local.batch === batch && local.task === self)
      throw new r.ValidationError(path, 'another task than itself');
    if (seen.has(id)) throw new r.ValidationError(path, 'no task twice');
    seen.add(id);
  });
  if (held !== undefined && typeof held !== 'boolean')
    throw new r.ValidationError(`${field}[2]`, 'true or false');
  return { shape: which, after: [...seen], held: held ?? false };
}

/** Refuses a batch whose tasks wait for each other in a circle, and names one that does. */
function checkCircles(batch: BatchId, tasks: readonly BatchTask[]): void {
  const unmet = tasks.map((t) => t.after.filter((a) => parseGraphTaskId(a).batch === batch).length);
  const consumers: number[][] = tasks.map(() => []);
  tasks.forEach((t, i) => {
    for (const a of t.after) {
      const on = parseGraphTaskId(a);
      if (on.batch === batch) consumers[on.task]?.push(i);
    }
  });
  const free = [...tasks.keys()].filter((i) => unmet[i] === 0);
  for (let n = free.pop(); n !== undefined; n = free.pop())
    for (const c of consumers[n] ?? []) {
      unmet[c] = (unmet[c] as number) - 1;
      if (unmet[c] === 0) free.push(c);
    }
  const circular = unmet.findIndex((n) => n > 0);
  if (circular >= 0)
    throw new r.ValidationError(`tasks[${circular}][1]`, 'no circle of tasks that wait for each other');
}

/** Checks a batch of tasks as a client sends it; the error names the field by its path. */
export function parseBatch(body: unknown): Batch {
  const o = r.asObject(body, 'body');
  const id = r.string(o, 'batch');
  if (!BATCH_ID.test(id)) throw new r.ValidationError('batch', 'a batch id');
  const batch = id as BatchId;
  const parent = r.optionalString(o, 'parent');
  const shapes = r.asArray(o['shapes'], 'shapes');
  if (shapes.length === 0 || shapes.length > MOST_SHAPES)
    throw new r.ValidationError('shapes', `1 to ${MOST_SHAPES} entries`);
  const listed = r.asArray(o['tasks'], 'tasks');
  if (listed.length === 0 || listed.length > MAX_BATCH_TASKS)
    throw new r.ValidationError('tasks', `1 to ${MAX_BATCH_TASKS} entries`);
  const tasks = listed.map((t, i) => task(t, `tasks[${i}]`, batch, listed.length, shapes.length, i));
  checkCircles(batch, tasks);
  return {
    id: batch,
    parent: parent === null ? null : taskId(parent, 'parent'),
    shapes: shapes.map((s, i) => shape(s, `shapes[${i}]`)),
    tasks,
  };
}

/** What a client knows of results: which are lost, and which it holds on to or lets go of. */
export interface ResultUpdate {
  /** Unique within the graph; the same note again is the same. */
  readonly id: string;
  readonly lost: readonly GraphTaskId[];
  readonly hold: readonly GraphTaskId[];
  readonly release: readonly GraphTaskId[];
}

const MOST_NOTED = 200;

/** Checks a note on results; the error names the field. */
export function parseResultUpdate(body: unknown): ResultUpdate {
  const o = r.asObject(body, 'body');
  const id = r.string(o, 'note');
  if (!BATCH_ID.test(id)) throw new r.ValidationError('note', 'a note id');
  const listed = (field: string): GraphTaskId[] => {
    const all = r.optionalStrings(o, field) ?? [];
    if (all.length > MOST_NOTED) throw new r.ValidationError(field, `at most ${MOST_NOTED} tasks`);
    return all.map((t, i) => taskId(t, `${field}[${i}]`));
  };
  return { id, lost: listed('lost'), hold: listed('hold'), release: listed('release') };
}

/** The batch as it is sent and kept; `parseBatch` reads it back. */
export function formatBatch(b: Batch): Record<string, unknown> {
  return {
    batch: b.id,
    parent: b.parent,
    shapes: b.shapes,
    tasks: b.tasks.map((t) => {
      const after = t.after.map((a) => {
        const on = parseGraphTaskId(a);
        return on.batch === b.id ? on.task : a;
      });
      return t.held ? [t.shape, after, true] : [t.shape, after];
    }),
  };
}

/** Checks the head of a graph as a client creates it. */
export function parseGraphSpec(body: unknown): GraphSpec {
  const o = r.asObject(body, 'body');
  const id = r.string(o, 'graph');
  if (!isGraphId(id)) throw new r.ValidationError('graph', 'a graph id such as gr-nightly');
  return {
    id,
    class: r.name(o, 'class'),
    team: r.name(o, 'team'),
    priority: r.oneOf(o, 'priority', ['production', 'high', 'normal', 'low']),
  };
}
