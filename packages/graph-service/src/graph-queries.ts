/**
 * Clients' queries about graphs and their tasks.
 *
 * @module
 */
import type { TaskState } from '@spurbridge/graph';
import { FAILURE_KINDS, TASK_STATES } from '@spurbridge/graph';
import type { KeyValueStore } from '@spurbridge/store';
import type { BatchId, GraphTaskId } from '@spurbridge/wire';
import { formatGraphTaskId, parseGraphTaskId } from '@spurbridge/wire';
import type { GraphReader } from './graph-reader.js';
import type { GraphResult } from './graph-result.js';
import { describeGraph, storeDoesNotRespond } from './graph-result.js';
import { batchPrefix, batchStateKey, batchStatePrefix, parseBatchStateKey } from './keys.js';
import { BACKGROUND_PRIORITY } from './priorities.js';
import type { BatchStateRecord, StoredBatch } from './records.js';
import { decodeBatch, decodeBatchState } from './records.js';

/** Tasks on one page of a list. */
const PAGE_TASKS = 50;
/** Maximum number of links in a reported chain of failures. */
const MAX_CHAIN_TASKS = 1000;

/** Answers queries from the records in the key-value store, so that any node can. */
export class GraphQueries {
  constructor(
    private readonly store: KeyValueStore,
    private readonly reader: GraphReader,
  ) {}

  /** Phase of a graph, and how many of its tasks are in which state. */
  async status(id: string): Promise<GraphResult> {
    const found = await this.reader.findGraph(id);
    if (found.kind !== 'found') return found;
    const { record } = found;
    if (record.summary !== null) return { kind: 'ok', body: describeGraph(record) };
    const states = await this.store.list(batchStatePrefix(record.spec.id), BACKGROUND_PRIORITY);
    if (states.outcome !== 'listed') return storeDoesNotRespond();
    const counts = countTasks(states.items.map((item) => decodeBatchState(item.value)));
    return { kind: 'ok', body: { ...describeGraph(record), ...counts } };
  }

  /** Why a task failed, and the chain of tasks from the one that failed first. */
  async explainFailure(id: string, task: string): Promise<GraphResult> {
    const found = await this.reader.findGraph(id);
    if (found.kind !== 'found') return found;
    const graph = found.record.spec.id;
    const batches = await this.store.list(batchPrefix(graph), BACKGROUND_PRIORITY);
    const states = await this.store.list(batchStatePrefix(graph), BACKGROUND_PRIORITY);
    if (batches.outcome !== 'listed' || states.outcome !== 'listed') return storeDoesNotRespond();
    const history = new FailureHistory(
      batches.items.map((item) => decodeBatch(item.value)),
      new Map(
        states.items.map((item) => [parseBatchStateKey(graph, item.key), decodeBatchState(item.value)]),
      ),
    );
    const body = history.explain(task as GraphTaskId);
    return body === null ? { kind: 'not-found', error: 'no such task' } : { kind: 'ok', body };
  }

  /** States of a batch's tasks from the given position on, at most one page. */
  async listTasks(id: string, batch: string, from: number): Promise<GraphResult> {
    const found = await this.reader.findGraph(id);
    if (found.kind !== 'found') return found;
    const graph = found.record.spec.id;
    const batchId = batch as BatchId;
    const foundBatch = await this.reader.findBatch(graph, batchId);
    if (foundBatch.kind === 'absent') return { kind: 'not-found', error: 'no such batch' };
    if (foundBatch.kind !== 'found') return foundBatch;
    const state = await this.store.read(batchStateKey(graph, batchId), BACKGROUND_PRIORITY);
    if (state.outcome !== 'found' && state.outcome !== 'absent') return storeDoesNotRespond();
    const states = state.outcome === 'found' ? decodeBatchState(state.item.value).states : '';
    const count = Math.max(0, Math.min(PAGE_TASKS, foundBatch.size - from));
    const tasks = Array.from({ length: count }, (_, index) => ({
      task: `${batch}:${from + index}`,
      state: publicState(states[from + index] ?? '0'),
    }));
    return { kind: 'ok', body: { tasks, more: from + PAGE_TASKS < foundBatch.size } };
  }
}

/** Task counts reported to clients for a graph that has not ended. */
interface TaskCounts {
  readonly done: number;
  readonly failed: number;
  readonly cancelled: number;
  readonly running: number;
}

function countTasks(records: readonly BatchStateRecord[]): TaskCounts {
  const counts = { done: 0, failed: 0, cancelled: 0, running: 0 };
  for (const record of records)
    for (const digit of record.states) {
      const state = decodeState(digit);
      if (state === 'done' || state === 'failed' || state === 'cancelled') counts[state] += 1;
      else if (state === 'submitted' || state === 'cancelling') counts.running += 1;
    }
  return counts;
}

function decodeState(digit: string): TaskState | undefined {
  return TASK_STATES[Number(digit)];
}

/** A task's state as reported to clients. */
function publicState(digit: string): string | undefined {
  const state = decodeState(digit);
  return state === 'submitted' ? 'running' : state;
}

/** How a task ended, according to its batch's state record. */
interface RecordedEnd {
  /** Position in {@link FAILURE_KINDS} counted from 1, or -1. */
  readonly failure: number;
  /** Index of the task whose end caused the end of this one, or -1. */
  readonly endedBy: number;
}

/** The recorded causes of the ends of a graph's tasks. */
class FailureHistory {
  /** All tasks, by the indices used in state records. */
  private readonly tasks: readonly GraphTaskId[];

  constructor(
    batches: readonly StoredBatch[],
    private readonly states: ReadonlyMap<BatchId, BatchStateRecord>,
  ) {
    this.tasks = [...batches]
      .sort((left, right) => left.order - right.order)
      .flatMap(({ batch }) => batch.tasks.map((_, position) => formatGraphTaskId(batch.id, position)));
  }

  /** The description of a task's failure for a client, or null if the graph has no such task. */
  explain(task: GraphTaskId): Record<string, unknown> | null {
    let index = this.tasks.indexOf(task);
    if (index < 0) return null;
    const failure = FAILURE_KINDS[this.endOf(index).failure - 1] ?? null;
    const chain = [this.tasks[index]];
    while (chain.length < MAX_CHAIN_TASKS && this.endOf(index).endedBy >= 0) {
      index = this.endOf(index).endedBy;
      chain.unshift(this.tasks[index]);
    }
    return { task, failure, chain };
  }

  private endOf(index: number): RecordedEnd {
    const { batch, task } = parseGraphTaskId(this.tasks[index] as GraphTaskId);
    const state = this.states.get(batch);
    return { failure: valueAt(state?.failures, task), endedBy: valueAt(state?.endedBy, task) };
  }
}

/** The value at a position of a sparse list, or -1. */
function valueAt(entries: readonly (readonly [number, number])[] | undefined, position: number): number {
  return entries?.find(([at]) => at === position)?.[1] ?? -1;
}
