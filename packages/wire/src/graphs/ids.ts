/**
 * Identifiers of task graphs, their batches and their tasks.
 *
 * @module
 */
import type { Brand } from '../ids.js';
import { ValidationError } from '../json-fields.js';

/** Id of a task graph, chosen by the client. */
export type GraphId = Brand<string, 'GraphId'>;
/** Id of a batch, unique within its graph. Chosen by the client; a task that adds a batch derives it from its id. */
export type BatchId = Brand<string, 'BatchId'>;
/** Id of a task of a graph: `BATCH:N` is task N, counted from 0, of a batch of the same graph. */
export type GraphTaskId = Brand<string, 'GraphTaskId'>;

/** A task of a graph by its batch and its number within the batch. */
export interface GraphTaskName {
  readonly batch: BatchId;
  readonly task: number;
}

const GRAPH_ID = /^gr-[A-Za-z0-9_-]{1,36}$/;
const BATCH_ID = /^[A-Za-z0-9_.~-]{1,60}$/;
const TASK_ID = /^([A-Za-z0-9_.~-]{1,60}):(0|[1-9]\d{0,3})$/;

/** Whether the text has the form of a graph id. */
export function isGraphId(text: string): text is GraphId {
  return GRAPH_ID.test(text);
}

/** Whether the text has the form of a batch id. */
export function isBatchId(text: string): text is BatchId {
  return BATCH_ID.test(text);
}

/** The id of a task from its parts. */
export function formatGraphTaskId(batch: BatchId, task: number): GraphTaskId {
  return `${batch}:${task}` as GraphTaskId;
}

/** The parts of a valid task id. */
export function parseGraphTaskId(id: GraphTaskId): GraphTaskName {
  const colon = id.lastIndexOf(':');
  return { batch: id.slice(0, colon) as BatchId, task: Number(id.slice(colon + 1)) };
}

/** The value itself, if it is a task id; throws a `ValidationError` that names `field` otherwise. */
export function asGraphTaskId(value: unknown, field: string): GraphTaskId {
  if (typeof value !== 'string' || !TASK_ID.test(value))
    throw new ValidationError(field, 'a task id such as b1:0');
  return value as GraphTaskId;
}
