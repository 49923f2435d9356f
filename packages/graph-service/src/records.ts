import type { BatchRecord } from '@spurbridge/graph';
import type { Batch, BatchId, GraphHead, GraphId, GraphTaskId } from '@spurbridge/wire';
import { formatBatch, parseBatch, parseGraphHead, read } from '@spurbridge/wire';

/** Heads and batches: written by any node, watched by the leader. */
export const GRAPH_PREFIX = 'g/';
/** Which graphs of which team are open: what a new leader and admission read. */
export const OPEN_PREFIX = 'go/';
/** What became of a batch's tasks: written by the leader. */
export const STATE_PREFIX = 'gs/';

export function headKey(id: GraphId): string {
  return GRAPH_PREFIX + id;
}

export function batchPrefix(id: GraphId): string {
  return `${GRAPH_PREFIX}${id}/b/`;
}

export function batchKey(id: GraphId, batch: BatchId): string {
  return batchPrefix(id) + batch;
}

export function notePrefix(id: GraphId): string {
  return `${GRAPH_PREFIX}${id}/n/`;
}

export function noteKey(id: GraphId, note: string): string {
  return notePrefix(id) + note;
}

export function openKey(team: string, id: GraphId): string {
  return `${OPEN_PREFIX}${encodeURIComponent(team)}/${id}`;
}

export function statePrefix(id: GraphId): string {
  return `${STATE_PREFIX}${id}/`;
}

export function stateKey(id: GraphId, batch: BatchId): string {
  return statePrefix(id) + batch;
}

/** open -> sealed -> done | failed; open, sealed -> cancelled. Sealed: no batch is added any more. */
export type GraphPhase = 'open' | 'sealed' | 'done' | 'failed' | 'cancelled';
const PHASES: readonly GraphPhase[] = ['open', 'sealed', 'done', 'failed', 'cancelled'];

/** How many tasks ended how, once all have. */
export interface Tally {
  readonly done: number;
  readonly failed: number;
  readonly cancelled: number;
  /** Some of those that failed first, with what they are called. */
  readonly failures: readonly GraphTaskId[];
}

export interface HeadRecord {
  readonly head: GraphHead;
  readonly phase: GraphPhase;
  readonly tasks: number;
  readonly batches: number;
  /** Roots of cancelled subtrees. */
  readonly cancelled: readonly { readonly task: GraphTaskId; readonly recursive: boolean }[];
  readonly tally: Tally | null;
}

export function encodeHead(h: HeadRecord): Record<string, unknown> {
  return {
    head: { graph: h.head.id, class: h.head.class, team: h.head.team, priority: h.head.priority },
    phase: h.phase,
    tasks: h.tasks,
    batches: h.batches,
    cancelled: h.cancelled.map((c) => [c.task, c.recursive]),
    tally: h.tally,
  };
}

export function decodeHead(value: unknown): HeadRecord {
  const o = read.asObject(value, 'graph record');
  return {
    head: parseGraphHead(o['head']),
    phase: read.oneOf(o, 'phase', PHASES),
    tasks: read.count(o, 'tasks'),
    batches: read.count(o, 'batches'),
    cancelled: read.asArray(o['cancelled'], 'cancelled').map((c) => {
      const [task, recursive] = read.asArray(c, 'cancelled');
      return { task: task as GraphTaskId, recursive: recursive === true };
    }),
    tally: (o['tally'] ?? null) as Tally | null,
  };
}

/** A batch as it is kept: in which order it came, and how many tasks deep it was spawned. */
export interface KeptBatch {
  readonly batch: Batch;
  readonly order: number;
  readonly depth: number;
}

export function encodeBatch(b: KeptBatch): Record<string, unknown> {
  return { ...formatBatch(b.batch), order: b.order, depth: b.depth };
}

export function decodeBatch(value: unknown): KeptBatch {
  const o = read.asObject(value, 'batch record');
  return { batch: parseBatch(o), order: read.count(o, 'order'), depth: read.count(o, 'depth') };
}

/** Task of the batch, name of the cotask that it is a part of, and its place there. */
export type Part = readonly [task: number, cotask: string, piece: number];

export interface StateRecord extends BatchRecord {
  readonly parts: readonly Part[];
}

export function decodeState(value: unknown): StateRecord {
  const o = read.asObject(value, 'state record');
  for (const field of ['states', 'kept', 'held']) read.str(o, field);
  for (const field of ['errors', 'endedBy', 'failures', 'parts']) read.asArray(o[field], field);
  return o as unknown as StateRecord;
}
