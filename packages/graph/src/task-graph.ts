/**
 * One graph of tasks: tracks which tasks are ready, which have ended and why, and which results are still
 * needed.
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
  /** The task that failed first, possibly the task itself. */
  readonly first: GraphTaskId;
  /** The chain from the task that failed first to this one. */
  readonly chain: readonly GraphTaskId[];
}

/** A batch with the recorded states of its tasks; null for a batch that no leader has processed yet. */
export interface RecordedBatch {
  readonly batch: Batch;
  readonly record: TaskStatesRecord | null;
}

/**
 * A graph of tasks. It is independent of machines: callers take ready tasks, place them and report the
 * outcome. Functions that take the name of a task throw an `UnknownTaskError` if the graph has no such task.
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

  /** The number of tasks. */
  get size(): number {
    return this.table.size;
  }

  /** The number of tasks in each state. */
  get counts(): Readonly<Record<TaskState, number>> {
    return this.table.counts;
  }

  /** Whether all tasks have ended. Only the loss of a result can still change one. */
  get isComplete(): boolean {
    const { done, failed, cancelled } = this.counts;
    return done + failed + cancelled === this.size;
  }

  // --- adding batches --------------------------------------------------------------------------

  /** Whether the batch was added. */
  hasBatch(batch: BatchId): boolean {
    return this.table.hasBatch(batch);
  }

  /**
   * Adds a whole batch. Adding the same batch again has no effect.
   *
   * @throws UnknownTaskError if it refers to an unknown task; the graph is then unchanged
   */
  addBatch(batch: Batch): void {
    if (this.hasBatch(batch.id)) return;
    this.table.insert(batch);
    this.lifecycle.activate(this.table.indicesOf(batch.id));
  }

  // --- task execution --------------------------------------------------------------------------

  /** The ready tasks, those with the longest chain after them first. */
  readyTasks(): GraphTaskId[] {
    const lengthS = (index: number): number => this.criticalPaths.lengthS(index);
    return [...this.table.readyIndices]
      .sort((left, right) => lengthS(right) - lengthS(left) || left - right)
      .map((index) => this.table.idAt(index));
  }

  /** Marks a ready task as submitted in a cotask. */
  markSubmitted(id: GraphTaskId): void {
    this.lifecycle.transition(this.table.indexOf(id), 'submitted');
  }

  /** Records that the task completed; one that was cancelled meanwhile stays cancelled. */
  markDone(id: GraphTaskId): void {
    const index = this.table.indexOf(id);
    if (this.table.at(index).state === 'cancelling') return this.lifecycle.transition(index, 'cancelled');
    this.lifecycle.transition(index, 'done');
    this.lifecycle.storeResult(index);
  }

  /**
   * Records a failed run of the task. The task is retried, or fails permanently together with all tasks that
   * wait for its result.
   *
   * @throws TaskNotSubmittedError if no run of the task is in progress
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

  /** Records that a cancelled task, or one withdrawn from its cotask, is proven to be on no machine. */
  markStopped(id: GraphTaskId): void {
    const index = this.table.indexOf(id);
    const { state } = this.table.at(index);
    if (state === 'cancelling') this.lifecycle.transition(index, 'cancelled');
    else if (state === 'submitted') this.lifecycle.returnToPending(index);
  }

  // --- results ---------------------------------------------------------------------------------

  /** Records that a client holds or releases a result. */
  setHeld(id: GraphTaskId, isHeld: boolean): void {
    this.lifecycle.setHeld(this.table.indexOf(id), isHeld);
  }

  /** Records the loss of a result. Its task runs again, once, if the result is still needed. */
  markResultLost(id: GraphTaskId): void {
    this.lifecycle.loseResult(this.table.indexOf(id));
  }

  /** Returns the results that became unreferenced since the last call; they can be deleted. */
  takeDroppedResults(): GraphTaskId[] {
    return this.lifecycle.takeDropped().map((index) => this.table.idAt(index));
  }

  // --- cancellation ----------------------------------------------------------------------------

  /**
   * Cancels tasks, all tasks that wait for them and, if `recursive`, all tasks that they spawned.
   *
   * @returns those that may be on machines: they stay in the cancelling state until `markStopped`
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

  // --- queries ---------------------------------------------------------------------------------

  /** State of a task. */
  state(id: GraphTaskId): TaskState {
    return this.table.find(id).state;
  }

  /** State of a task's result. */
  resultState(id: GraphTaskId): ResultState {
    return this.table.find(id).result;
  }

  /** The resources that a task requires of a machine. */
  shape(id: GraphTaskId): TaskShape {
    return this.table.find(id).shape;
  }

  /** Estimated seconds of the longest chain of tasks that begins with this one. */
  criticalPathS(id: GraphTaskId): number {
    return this.criticalPaths.lengthS(this.table.indexOf(id));
  }

  /** Why a task failed; null if it did not fail. */
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

  /** At most `limit` tasks that failed by themselves, in the order in which they were added. */
  rootFailures(limit: number): GraphTaskId[] {
    const found: GraphTaskId[] = [];
    for (let index = 0; index < this.size && found.length < limit; index += 1)
      if (this.table.at(index).failure === 'error') found.push(this.table.idAt(index));
    return found;
  }

  // --- records ---------------------------------------------------------------------------------

  /** Returns the batches whose tasks changed since the last call; their records are outdated. */
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

  /** Restores a graph from its batches and their records; no batch may refer to a later one. */
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
