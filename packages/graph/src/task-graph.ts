/**
 * One graph of tasks: which tasks are ready, which ended and why, and which results are still needed.
 *
 * @module
 */
import type { Batch, BatchId, GraphId, GraphTaskId, TaskShape } from '@spurbridge/wire';
import type { TaskStatesRecord } from './batch-record.js';
import { CriticalPaths } from './critical-path.js';
import { TaskNotSubmittedError } from './errors.js';
import { NO_TASK } from './task-entry.js';
import { TaskLifecycle } from './task-lifecycle.js';
import type { FailureKind, ResultState, TaskState } from './task-state.js';
import { TaskTable } from './task-table.js';

/** Why a task ended without a result. */
export interface TaskFailure {
  readonly kind: FailureKind;
  /** The task that failed first, which may be the task itself. */
  readonly first: GraphTaskId;
  /** From the task that failed first to this one. */
  readonly chain: readonly GraphTaskId[];
}

/** A batch, and what was recorded of its tasks; null for a batch that no leader has seen yet. */
export interface RecordedBatch {
  readonly batch: Batch;
  readonly record: TaskStatesRecord | null;
}

/**
 * A graph of tasks. It knows nothing of machines: ready tasks are handed out, and whoever places them says
 * what became of them. Functions that take the name of a task throw an `UnknownTaskError` where the graph has
 * no such task.
 */
export class TaskGraph {
  private readonly table: TaskTable;
  private readonly lifecycle: TaskLifecycle;
  private readonly criticalPaths: CriticalPaths;

  constructor(readonly id: GraphId) {
    this.table = new TaskTable(id);
    this.lifecycle = new TaskLifecycle(this.table);
    this.criticalPaths = new CriticalPaths(this.table);
  }

  /** How many tasks there are. */
  get size(): number {
    return this.table.size;
  }

  /** How many tasks are in each state. */
  get counts(): Readonly<Record<TaskState, number>> {
    return this.table.counts;
  }

  /** Whether no task can change any more except by the loss of a result. */
  get isComplete(): boolean {
    const { done, failed, cancelled } = this.counts;
    return done + failed + cancelled === this.size;
  }

  // --- growing ---------------------------------------------------------------------------------

  /** Whether the batch was added. */
  hasBatch(batch: BatchId): boolean {
    return this.table.hasBatch(batch);
  }

  /**
   * Adds a batch whole. The same batch again changes nothing.
   *
   * @throws UnknownTaskError where it refers to a task that is not there; the graph stays as it was
   */
  addBatch(batch: Batch): void {
    if (this.hasBatch(batch.id)) return;
    this.table.insert(batch);
    this.lifecycle.activate(this.table.indicesOf(batch.id));
  }

  // --- running ---------------------------------------------------------------------------------

  /** Tasks that can run now, those with the longest chain behind them first. */
  readyTasks(): GraphTaskId[] {
    const lengthS = (index: number): number => this.criticalPaths.lengthS(index);
    return [...this.table.readyIndices]
      .sort((left, right) => lengthS(right) - lengthS(left) || left - right)
      .map((index) => this.table.idAt(index));
  }

  /** A ready task is part of a cotask from now on. */
  markSubmitted(id: GraphTaskId): void {
    this.lifecycle.transition(this.table.indexOf(id), 'submitted');
  }

  /** The task ran to its end; one that was cancelled meanwhile stays cancelled. */
  markDone(id: GraphTaskId): void {
    const index = this.table.indexOf(id);
    if (this.table.at(index).state === 'cancelling') return this.lifecycle.transition(index, 'cancelled');
    this.lifecycle.transition(index, 'done');
    this.lifecycle.storeResult(index);
  }

  /**
   * A run of the task failed. It is tried again, or has failed for good and with it all that waits for its
   * result.
   *
   * @throws TaskNotSubmittedError where no run of the task is under way
   */
  markFailed(id: GraphTaskId): void {
    const index = this.table.indexOf(id);
    const entry = this.table.at(index);
    if (entry.state === 'cancelling') return this.lifecycle.transition(index, 'cancelled');
    if (entry.state !== 'submitted') throw new TaskNotSubmittedError(id, entry.state);
    entry.failedRuns += 1;
    this.table.markChanged(index);
    if (entry.failedRuns > entry.shape.retries) this.lifecycle.end(index, 'failed', NO_TASK, 'error');
    else this.lifecycle.returnToPending(index);
  }

  /** A task that was cancelled, or withdrawn from its cotask, is proven to be on no machine. */
  markStopped(id: GraphTaskId): void {
    const index = this.table.indexOf(id);
    const { state } = this.table.at(index);
    if (state === 'cancelling') this.lifecycle.transition(index, 'cancelled');
    else if (state === 'submitted') this.lifecycle.returnToPending(index);
  }

  // --- results ---------------------------------------------------------------------------------

  /** A client refers to a result from now on, or does so no more. */
  setHeld(id: GraphTaskId, isHeld: boolean): void {
    this.lifecycle.setHeld(this.table.indexOf(id), isHeld);
  }

  /** A result is gone from where it was kept. Its task runs again, once, if anything still needs it. */
  markResultLost(id: GraphTaskId): void {
    this.lifecycle.loseResult(this.table.indexOf(id));
  }

  /** Results that nothing refers to any more since this was last called: they can be deleted. */
  takeDroppedResults(): GraphTaskId[] {
    return this.lifecycle.takeDropped().map((index) => this.table.idAt(index));
  }

  // --- cancelling ------------------------------------------------------------------------------

  /**
   * Cancels tasks, all that waits for them and, if `recursive`, all that they spawned.
   *
   * @returns those that may be on machines: they count until `markStopped`
   */
  cancel(ids: Iterable<GraphTaskId>, recursive: boolean): GraphTaskId[] {
    const indices = [...ids].map((id) => this.table.indexOf(id));
    return this.lifecycle.cancel(indices, recursive).map((index) => this.table.idAt(index));
  }

  /** Cancels all tasks; returns those that may be on machines. */
  cancelAll(): GraphTaskId[] {
    const indices = Array.from({ length: this.size }, (_, index) => index);
    return this.lifecycle.cancel(indices, false).map((index) => this.table.idAt(index));
  }

  // --- questions -------------------------------------------------------------------------------

  /** State of a task. */
  state(id: GraphTaskId): TaskState {
    return this.table.find(id).state;
  }

  /** State of a task's result. */
  resultState(id: GraphTaskId): ResultState {
    return this.table.find(id).result;
  }

  /** What a task takes of a machine. */
  shape(id: GraphTaskId): TaskShape {
    return this.table.find(id).shape;
  }

  /** Estimated seconds of the longest chain of tasks that begins with this one. */
  criticalPathS(id: GraphTaskId): number {
    return this.criticalPaths.lengthS(this.table.indexOf(id));
  }

  /** Why a task failed, or null where it did not. */
  failure(id: GraphTaskId): TaskFailure | null {
    const index = this.table.indexOf(id);
    const { failure: kind, endedBy } = this.table.at(index);
    if (kind === null) return null;
    const chain = [index];
    for (
      let cause = endedBy;
      cause !== NO_TASK && chain.length <= this.size;
      cause = this.table.at(cause).endedBy
    )
      chain.unshift(cause);
    const names = chain.map((link) => this.table.idAt(link));
    return { kind, first: names[0] ?? id, chain: names };
  }

  /** Tasks that failed by themselves, at most `limit`, in the order in which they were added. */
  rootFailures(limit: number): GraphTaskId[] {
    const found: GraphTaskId[] = [];
    for (let index = 0; index < this.size && found.length < limit; index += 1)
      if (this.table.at(index).failure === 'error') found.push(this.table.idAt(index));
    return found;
  }

  // --- records ---------------------------------------------------------------------------------

  /** Batches with tasks that changed since this was last called: their records are behind. */
  takeChangedBatches(): Set<BatchId> {
    return this.table.takeChangedBatches();
  }

  /**
   * The record of a batch's tasks.
   *
   * @throws UnknownBatchError
   */
  encodeBatch(batch: BatchId): TaskStatesRecord {
    return this.table.encodeBatch(batch);
  }

  /** A graph from its batches, in an order in which none refers to a later one, and from their records. */
  static restore(id: GraphId, batches: readonly RecordedBatch[]): TaskGraph {
    const graph = new TaskGraph(id);
    for (const { batch } of batches) graph.table.insert(batch);
    for (const { batch, record } of batches) if (record !== null) graph.table.restoreBatch(batch.id, record);
    graph.table.rebuildCounters();
    const unrecorded = batches.filter(({ record }) => record === null);
    graph.lifecycle.activate(unrecorded.flatMap(({ batch }) => graph.table.indicesOf(batch.id)));
    return graph;
  }
}
