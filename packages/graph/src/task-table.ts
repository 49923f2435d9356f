/**
 * The tasks of one graph, by index and by name, with counters over them.
 *
 * @module
 */
import type { Batch, BatchId, GraphId, GraphTaskId, TaskShape } from '@spurbridge/wire';
import { formatGraphTaskId, parseGraphTaskId } from '@spurbridge/wire';
import type { TaskStatesRecord } from './batch-record.js';
import { encodeTaskStates, restoreTaskStates } from './batch-record.js';
import { UnknownBatchError, UnknownTaskError } from './errors.js';
import type { TaskEntry } from './task-entry.js';
import { NO_TASK, newTaskEntry } from './task-entry.js';
import type { TaskState } from './task-state.js';
import { TASK_STATES, isTerminal, taskTransitions } from './task-state.js';

/** Indices of one batch's tasks. */
interface BatchRange {
  readonly first: number;
  readonly size: number;
}

/** Holds tasks, and tracks which are ready, which have changed, and how many are in each state. */
export class TaskTable {
  private readonly entries: TaskEntry[] = [];
  private readonly batches = new Map<BatchId, BatchRange>();
  private readonly ready = new Set<number>();
  private changed = new Set<number>();
  private readonly countByState: Record<TaskState, number> = {
    waiting: 0,
    ready: 0,
    submitted: 0,
    cancelling: 0,
    done: 0,
    failed: 0,
    cancelled: 0,
  };

  constructor(private readonly graph: GraphId) {}

  get size(): number {
    return this.entries.length;
  }

  get counts(): Readonly<Record<TaskState, number>> {
    return this.countByState;
  }

  get readyIndices(): ReadonlySet<number> {
    return this.ready;
  }

  /** The task at a valid index. */
  at(index: number): TaskEntry {
    return this.entries[index] as TaskEntry;
  }

  /** @throws UnknownTaskError */
  indexOf(id: GraphTaskId): number {
    const { batch, task } = parseGraphTaskId(id);
    const range = this.batches.get(batch);
    if (range === undefined || task >= range.size) throw new UnknownTaskError(this.graph, id);
    return range.first + task;
  }

  /** @throws UnknownTaskError */
  find(id: GraphTaskId): TaskEntry {
    return this.at(this.indexOf(id));
  }

  /** Name of the task at an index. */
  idAt(index: number): GraphTaskId {
    const { batch, position } = this.at(index);
    return formatGraphTaskId(batch, position);
  }

  hasBatch(batch: BatchId): boolean {
    return this.batches.has(batch);
  }

  /** Indices of a batch's tasks; none for an unknown batch. */
  indicesOf(batch: BatchId): number[] {
    const range = this.batches.get(batch);
    if (range === undefined) return [];
    return Array.from({ length: range.size }, (_, position) => range.first + position);
  }

  // --- adding batches --------------------------------------------------------------------------

  /**
   * Adds the tasks of a batch in the waiting state.
   *
   * @throws UnknownTaskError if it refers to an unknown task; nothing is added then
   */
  insert(batch: Batch): void {
    const first = this.size;
    const parent = batch.parent === null ? NO_TASK : this.indexOf(batch.parent);
    const dependencies = batch.tasks.map((task) =>
      task.after.map((dependency) => this.resolve(dependency, batch, first)),
    );
    this.batches.set(batch.id, { first, size: batch.tasks.length });
    batch.tasks.forEach((task, position) => {
      const shape = batch.shapes[task.shape] as TaskShape;
      const entry = newTaskEntry(batch.id, position, shape, dependencies[position] ?? [], parent);
      entry.isHeld = task.held;
      this.append(entry);
    });
    for (let index = first; index < this.size; index += 1) this.link(index);
  }

  /** The index of a task that a batch refers to, which may be one of the batch itself. */
  private resolve(id: GraphTaskId, batch: Batch, first: number): number {
    const reference = parseGraphTaskId(id);
    if (reference.batch !== batch.id) return this.indexOf(id);
    if (reference.task >= batch.tasks.length) throw new UnknownTaskError(this.graph, id);
    return first + reference.task;
  }

  private append(entry: TaskEntry): void {
    const index = this.entries.push(entry) - 1;
    this.countByState.waiting += 1;
    this.changed.add(index);
    if (entry.parent !== NO_TASK) this.at(entry.parent).children.push(index);
  }

  private link(index: number): void {
    const entry = this.at(index);
    for (const dependency of entry.dependencies) {
      const input = this.at(dependency);
      input.dependents.push(index);
      input.pendingDependents += 1;
      if (input.result !== 'kept') entry.missingInputs += 1;
    }
  }

  // --- states ----------------------------------------------------------------------------------

  /** Changes a task's state and the counters, but no other task. */
  setState(index: number, next: TaskState): void {
    const entry = this.at(index);
    taskTransitions.assertAllowed(entry.state, next);
    this.countByState[entry.state] -= 1;
    this.countByState[next] += 1;
    if (entry.state === 'ready') this.ready.delete(index);
    if (next === 'ready') this.ready.add(index);
    entry.state = next;
    this.markChanged(index);
  }

  /** Marks the task's record as outdated. */
  markChanged(index: number): void {
    this.changed.add(index);
  }

  /** Returns the batches whose tasks changed since the last call. */
  takeChangedBatches(): Set<BatchId> {
    const batches = new Set<BatchId>();
    for (const index of this.changed) batches.add(this.at(index).batch);
    this.changed = new Set();
    return batches;
  }

  // --- records ---------------------------------------------------------------------------------

  /** @throws UnknownBatchError */
  encodeBatch(batch: BatchId): TaskStatesRecord {
    const range = this.batches.get(batch);
    if (range === undefined) throw new UnknownBatchError(this.graph, batch);
    return encodeTaskStates(this.entries.slice(range.first, range.first + range.size));
  }

  /** Sets the recorded states of a batch's tasks; {@link rebuildCounters} must be called afterwards. */
  restoreBatch(batch: BatchId, record: TaskStatesRecord): void {
    restoreTaskStates(
      this.indicesOf(batch).map((index) => this.at(index)),
      record,
    );
  }

  /** Recomputes all counters from the states of tasks and results. */
  rebuildCounters(): void {
    for (const state of TASK_STATES) this.countByState[state] = 0;
    this.ready.clear();
    for (const entry of this.entries) {
      entry.pendingDependents = 0;
      entry.missingInputs = 0;
    }
    this.entries.forEach((entry, index) => {
      this.countByState[entry.state] += 1;
      if (entry.state === 'ready') this.ready.add(index);
      for (const dependency of entry.dependencies) {
        const input = this.at(dependency);
        if (!isTerminal(entry.state)) input.pendingDependents += 1;
        if (input.result !== 'kept') entry.missingInputs += 1;
      }
    });
    this.changed.clear();
  }
}
