/**
 * Batches of tasks, which extend a task graph. A batch is added atomically and idempotently: one that is sent again
 * with the same content has no further effect.
 *
 * @module
 */
import * as read from '../json-fields.js';
import type { BatchId, GraphTaskId } from './ids.js';
import { asGraphTaskId, isBatchId, parseGraphTaskId } from './ids.js';

/** Resources and limits of a task of a graph; the tasks of a batch share a few shapes. */
export interface TaskShape {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
  readonly image: string;
  readonly imageGb: number;
  /** The owner's estimate of a task's run time, in seconds. */
  readonly estimateS: number;
  /** Maximum number of retries of a failed task. */
  readonly retries: number;
  /** Whether it may run on spot machines. */
  readonly spot: boolean;
}

/** One task of a batch. */
export interface BatchTask {
  /** Index into the batch's shapes. */
  readonly shape: number;
  /** Tasks whose results it depends on, without repetition. */
  readonly after: readonly GraphTaskId[];
  /** Whether its result is retained until the client releases it, and not only while other tasks need it. */
  readonly held: boolean;
}

/** Tasks that are added to a graph together. */
export interface Batch {
  readonly id: BatchId;
  /** The task that added the batch; null if the client added it. */
  readonly parent: GraphTaskId | null;
  readonly shapes: readonly TaskShape[];
  readonly tasks: readonly BatchTask[];
}

/** Maximum number of tasks in one batch. */
export const MAX_BATCH_TASKS = 400;
/** Maximum number of tasks that one task depends on. */
const MAX_TASK_DEPENDENCIES = 64;
const MAX_SHAPES = 32;
const MAX_RETRIES = 100;

function parseShape(value: unknown, field: string): TaskShape {
  return read.withFieldPath(field, () => {
    const fields = read.asObject(value, 'entry');
    const retries = read.optionalCount(fields, 'retries') ?? 0;
    if (retries > MAX_RETRIES) throw new read.ValidationError('retries', `at most ${MAX_RETRIES}`);
    return {
      cpus: read.amount(fields, 'cpus'),
      gpus: read.optionalAmount(fields, 'gpus') ?? 0,
      memoryGb: read.optionalAmount(fields, 'memoryGb') ?? 0,
      image: read.name(fields, 'image'),
      imageGb: read.optionalAmount(fields, 'imageGb') ?? 0,
      estimateS: read.amount(fields, 'estimateS'),
      retries,
      spot: read.booleanOrFalse(fields, 'spot'),
    };
  });
}

/** The properties of a batch that are needed to validate its tasks. */
interface BatchOutline {
  readonly id: BatchId;
  readonly taskCount: number;
  readonly shapeCount: number;
}

/** Reads one dependency: a task id, or the number of a task of the same batch. */
function parseDependency(value: unknown, field: string, batch: BatchOutline, dependent: number): GraphTaskId {
  const id = asGraphTaskId(typeof value === 'number' ? `${batch.id}:${value}` : value, field);
  const dependency = parseGraphTaskId(id);
  if (dependency.batch !== batch.id) return id;
  if (dependency.task >= batch.taskCount) throw new read.ValidationError(field, 'a task of the batch');
  if (dependency.task === dependent) throw new read.ValidationError(field, 'a task other than itself');
  return id;
}

function parseDependencies(
  value: unknown,
  field: string,
  batch: BatchOutline,
  dependent: number,
): readonly GraphTaskId[] {
  const listed = read.asArray(value, field);
  if (listed.length > MAX_TASK_DEPENDENCIES)
    throw new read.ValidationError(field, `at most ${MAX_TASK_DEPENDENCIES} tasks`);
  const dependencies = new Set<GraphTaskId>();
  listed.forEach((entry, index) => {
    const path = `${field}[${index}]`;
    const id = parseDependency(entry, path, batch, dependent);
    if (dependencies.has(id)) throw new read.ValidationError(path, 'each task at most once');
    dependencies.add(id);
  });
  return [...dependencies];
}

/** Reads `[shape, [dependencies...], held]`, where the last two elements are optional. */
function parseTask(value: unknown, index: number, batch: BatchOutline): BatchTask {
  const field = `tasks[${index}]`;
  const [shape, after, held] = read.asArray(value, field);
  if (typeof shape !== 'number' || !Number.isInteger(shape) || shape < 0 || shape >= batch.shapeCount)
    throw new read.ValidationError(`${field}[0]`, `a shape index from 0 to ${batch.shapeCount - 1}`);
  const dependencies = parseDependencies(after ?? [], `${field}[1]`, batch, index);
  if (held !== undefined && typeof held !== 'boolean')
    throw new read.ValidationError(`${field}[2]`, 'true or false');
  return { shape, after: dependencies, held: held ?? false };
}

/** The numbers of the tasks in the same batch that a task depends on. */
function dependenciesWithin(batch: BatchId, task: BatchTask): number[] {
  return task.after
    .map(parseGraphTaskId)
    .filter((dependency) => dependency.batch === batch)
    .map((dependency) => dependency.task);
}

/** Throws a `ValidationError` that names a task on a cycle of dependencies, if there is one. */
function checkAcyclic(batch: BatchId, tasks: readonly BatchTask[]): void {
  const dependencies = tasks.map((task) => dependenciesWithin(batch, task));
  const pendingCounts = dependencies.map((numbers) => numbers.length);
  const dependents: number[][] = tasks.map(() => []);
  dependencies.forEach((numbers, index) => {
    for (const dependency of numbers) dependents[dependency]?.push(index);
  });
  const ready = [...tasks.keys()].filter((index) => pendingCounts[index] === 0);
  for (let next = ready.pop(); next !== undefined; next = ready.pop())
    for (const dependent of dependents[next] ?? []) {
      const pending = (pendingCounts[dependent] as number) - 1;
      pendingCounts[dependent] = pending;
      if (pending === 0) ready.push(dependent);
    }
  const cyclic = pendingCounts.findIndex((pending) => pending > 0);
  if (cyclic >= 0) throw new read.ValidationError(`tasks[${cyclic}][1]`, 'no dependency cycle');
}

function parseBoundedArray(fields: read.JsonObject, field: string, max: number): readonly unknown[] {
  const entries = read.asArray(fields[field], field);
  if (entries.length === 0 || entries.length > max)
    throw new read.ValidationError(field, `1 to ${max} entries`);
  return entries;
}

/** Reads a batch as a client sends it; throws a `ValidationError` that names the field by its path. */
export function parseBatch(body: unknown): Batch {
  const fields = read.asObject(body, 'body');
  const id = read.string(fields, 'batch');
  if (!isBatchId(id)) throw new read.ValidationError('batch', '1 to 60 letters, digits or any of _.~-');
  const parent = read.optionalString(fields, 'parent');
  const shapes = parseBoundedArray(fields, 'shapes', MAX_SHAPES);
  const listed = parseBoundedArray(fields, 'tasks', MAX_BATCH_TASKS);
  const outline = { id, taskCount: listed.length, shapeCount: shapes.length };
  const tasks = listed.map((task, index) => parseTask(task, index, outline));
  checkAcyclic(id, tasks);
  return {
    id,
    parent: parent === null ? null : asGraphTaskId(parent, 'parent'),
    shapes: shapes.map((shape, index) => parseShape(shape, `shapes[${index}]`)),
    tasks,
  };
}

/** A dependency as it is sent: a task of the same batch is represented by its number alone. */
function formatDependency(id: GraphTaskId, batch: BatchId): GraphTaskId | number {
  const dependency = parseGraphTaskId(id);
  return dependency.batch === batch ? dependency.task : id;
}

function formatTask(task: BatchTask, batch: BatchId): unknown[] {
  const after = task.after.map((id) => formatDependency(id, batch));
  return task.held ? [task.shape, after, true] : [task.shape, after];
}

/** The batch as it is sent and stored; `parseBatch` reads it back. */
export function formatBatch(batch: Batch): Record<string, unknown> {
  return {
    batch: batch.id,
    parent: batch.parent,
    shapes: batch.shapes,
    tasks: batch.tasks.map((task) => formatTask(task, batch.id)),
  };
}
