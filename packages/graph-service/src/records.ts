/**
 * Records that task graphs keep in the key-value store, and how they are encoded.
 *
 * @module
 */
import type { TaskStatesRecord } from '@spurbridge/graph';
import type { Batch, GraphSpec, GraphTaskId } from '@spurbridge/wire';
import { formatBatch, parseBatch, parseGraphSpec, read } from '@spurbridge/wire';

/**
 * Phase of a whole graph. open -> sealed -> done | failed; open, sealed -> cancelled. A sealed graph accepts
 * no further batches.
 */
export type GraphPhase = 'open' | 'sealed' | 'done' | 'failed' | 'cancelled';
const PHASES: readonly GraphPhase[] = ['open', 'sealed', 'done', 'failed', 'cancelled'];

/** The number of tasks of an ended graph by final state. Stored as it is. */
export interface GraphSummary {
  readonly done: number;
  readonly failed: number;
  readonly cancelled: number;
  /** Some of the tasks that failed by themselves, in the order in which they were added. */
  readonly failures: readonly GraphTaskId[];
}

/** A task cancelled by a client, and whether the tasks that it spawned are cancelled with it. */
export interface CancelledSubtree {
  readonly task: GraphTaskId;
  readonly recursive: boolean;
}

/** The record of a whole graph. */
export interface GraphRecord {
  readonly spec: GraphSpec;
  readonly phase: GraphPhase;
  /** The number of tasks in all batches. */
  readonly tasks: number;
  readonly batches: number;
  readonly cancelledSubtrees: readonly CancelledSubtree[];
  /** Null until all tasks have ended. */
  readonly summary: GraphSummary | null;
}

/** Whether a graph in this phase may still change: it was not cancelled and has not ended. */
export function isActivePhase(phase: GraphPhase): boolean {
  return phase === 'open' || phase === 'sealed';
}

/** The stored form of a graph's record. */
export function encodeGraph(graph: GraphRecord): Record<string, unknown> {
  const { spec } = graph;
  return {
    head: { graph: spec.id, class: spec.class, team: spec.team, priority: spec.priority },
    phase: graph.phase,
    tasks: graph.tasks,
    batches: graph.batches,
    cancelled: graph.cancelledSubtrees.map((subtree) => [subtree.task, subtree.recursive]),
    tally: graph.summary,
  };
}

/**
 * Reads what {@link encodeGraph} wrote.
 *
 * @throws ValidationError naming the field
 */
export function decodeGraph(value: unknown): GraphRecord {
  const fields = read.asObject(value, 'graph record');
  return {
    spec: parseGraphSpec(fields['head']),
    phase: read.oneOf(fields, 'phase', PHASES),
    tasks: read.count(fields, 'tasks'),
    batches: read.count(fields, 'batches'),
    cancelledSubtrees: read.asArray(fields['cancelled'], 'cancelled').map((subtree) => {
      const [task, recursive] = read.asArray(subtree, 'cancelled');
      return { task: task as GraphTaskId, recursive: recursive === true };
    }),
    summary: (fields['tally'] ?? null) as GraphSummary | null,
  };
}

/** A batch with its position in the graph. */
export interface StoredBatch {
  readonly batch: Batch;
  /** Position among the graph's batches, in the order in which they were accepted. */
  readonly order: number;
  /** Spawn depth: the length of the chain of spawning tasks down to this batch; 0 if a client added it. */
  readonly depth: number;
}

/** The stored form of a batch. */
export function encodeBatch(stored: StoredBatch): Record<string, unknown> {
  return { ...formatBatch(stored.batch), order: stored.order, depth: stored.depth };
}

/**
 * Reads what {@link encodeBatch} wrote.
 *
 * @throws ValidationError naming the field
 */
export function decodeBatch(value: unknown): StoredBatch {
  const fields = read.asObject(value, 'batch record');
  return {
    batch: parseBatch(fields),
    order: read.count(fields, 'order'),
    depth: read.count(fields, 'depth'),
  };
}

/**
 * Position of a task in its batch, the cotask that it was submitted in, and its index in the cotask's job
 * array.
 */
export type AssignmentEntry = readonly [task: number, cotask: string, taskIndex: number];

/** States of one batch's tasks, and the cotasks of the submitted ones. Stored as it is. */
export interface BatchStateRecord extends TaskStatesRecord {
  readonly parts: readonly AssignmentEntry[];
}

/**
 * Reads the states of a batch's tasks.
 *
 * @throws ValidationError naming the field
 */
export function decodeBatchState(value: unknown): BatchStateRecord {
  const fields = read.asObject(value, 'state record');
  for (const field of ['states', 'kept', 'held']) read.string(fields, field);
  for (const field of ['errors', 'endedBy', 'failures', 'parts']) read.asArray(fields[field], field);
  return fields as unknown as BatchStateRecord;
}
