import type { TaskStatesRecord } from '@spurbridge/graph';
import type { Batch, BatchId, GraphSpec, GraphId, GraphTaskId } from '@spurbridge/wire';
import { formatBatch, parseBatch, parseGraphSpec, read } from '@spurbridge/wire';

/** Heads and batches: written by any node, watched by the leader. */
export const GRAPH_PREFIX = 'g/';
/** Which graphs of which team are open: what a new leader and admission read. */
export const OPEN_GRAPH_PREFIX = 'go/';
/** What became of a batch's tasks: written by the leader. */
export const BATCH_STATE_PREFIX = 'gs/';

export function graphKey(id: GraphId): string {
  return GRAPH_PREFIX + id;
}

export function batchPrefix(id: GraphId): string {
  return `${GRAPH_PREFIX}${id}/b/`;
}

export function batchKey(id: GraphId, batch: BatchId): string {
  return batchPrefix(id) + batch;
}

export function resultNotePrefix(id: GraphId): string {
  return `${GRAPH_PREFIX}${id}/n/`;
}

export function resultNoteKey(id: GraphId, note: string): string {
  return resultNotePrefix(id) + note;
}

export function openGraphKey(team: string, id: GraphId): string {
  return `${OPEN_GRAPH_PREFIX}${encodeURIComponent(team)}/${id}`;
}

export function batchStatePrefix(id: GraphId): string {
  return `${BATCH_STATE_PREFIX}${id}/`;
}

export function batchStateKey(id: GraphId, batch: BatchId): string {
  return batchStatePrefix(id) + batch;
}

/** open -> sealed -> done | failed; open, sealed -> cancelled. Sealed: no batch is added any more. */
export type GraphPhase = 'open' | 'sealed' | 'done' | 'failed' | 'cancelled';
const PHASES: readonly GraphPhase[] = ['open', 'sealed', 'done', 'failed', 'cancelled'];

/** How many tasks ended how, once all have. */
export interface GraphSummary {
  readonly done: number;
  readonly failed: number;
  readonly cancelled: number;
  /** Some of those that failed first, with what they are called. */
  readonly failures: readonly GraphTaskId[];
}

export interface GraphRecord {
  readonly head: GraphSpec;
  readonly phase: GraphPhase;
  readonly tasks: number;
  readonly batches: number;
  /** Roots of cancelled subtrees. */
  readonly cancelled: readonly { readonly task: GraphTaskId; readonly recursive: boolean }[];
  readonly summary: GraphSummary | null;
}

export function encodeGraph(h: GraphRecord): Record<string, unknown> {
  return {
    head: { graph: h.head.id, class: h.head.class, team: h.head.team, priority: h.head.priority },
    phase: h.phase,
    tasks: h.tasks,
    batches: h.batches,
    cancelled: h.cancelled.map((c) => [c.task, c.recursive]),
    tally: h.summary,
  };
}

export function decodeGraph(value: unknown): GraphRecord {
  const o = read.asObject(value, 'graph record');
  return {
    head: parseGraphSpec(o['head']),
    phase: read.oneOf(o, 'phase', PHASES),
    tasks: read.count(o, 'tasks'),
    batches: read.count(o, 'batches'),
    cancelled: read.asArray(o['cancelled'], 'cancelled').map((c) => {
      const [task, recursive] = read.asArray(c, 'cancelled');
      return { task: task as GraphTaskId, recursive: recursive === true };
    }),
    summary: (o['tally'] ?? null) as GraphSummary | null,
  };
}

/** A batch as it is kept: in which order it came, and how many tasks deep it was spawned. */
export interface StoredBatch {
  readonly batch: Batch;
  readonly order: number;
  readonly depth: number;
}

export function encodeBatch(b: StoredBatch): Record<string, unknown> {
  return { ...formatBatch(b.batch), order: b.order, depth: b.depth };
}

export function decodeBatch(value: unknown): StoredBatch {
  const o = read.asObject(value, 'batch record');
  return { batch: parseBatch(o), order: read.count(o, 'order'), depth: read.count(o, 'depth') };
}

/** Task of the batch, name of the cotask that it is a part of, and its place there. */
export type AssignmentEntry = readonly [task: number, cotask: string, piece: number];

export interface BatchStateRecord extends TaskStatesRecord {
  readonly parts: readonly AssignmentEntry[];
}

export function decodeBatchState(value: unknown): BatchStateRecord {
  const o = read.asObject(value, 'state record');
  for (const field of ['states', 'kept', 'held']) read.string(o, field);
  for (const field of ['errors', 'endedBy', 'failures', 'parts']) read.asArray(o[field], field);
  return o as unknown as BatchStateRecord;
}
