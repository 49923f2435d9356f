/**
 * The in-memory representation of one task of a graph.
 *
 * @module
 */
import type { BatchId, TaskShape } from '@spurbridge/wire';
import type { FailureKind, ResultState, TaskState } from './task-state.js';

/** Marks the absence of a task where an index is expected. */
export const NO_TASK = -1;

/** One task. All references to tasks are indices in the graph's table. */
export interface TaskEntry {
  readonly batch: BatchId;
  /** Position in the batch. */
  readonly position: number;
  readonly shape: TaskShape;
  /** The tasks that it depends on. */
  readonly dependencies: readonly number[];
  /** The tasks that depend on it. */
  readonly dependents: number[];
  /** The task that spawned it, or {@link NO_TASK}. */
  readonly parent: number;
  readonly children: number[];
  state: TaskState;
  result: ResultState;
  /** The number of dependencies whose results are not kept. */
  missingInputs: number;
  /** The number of dependents that have not ended and therefore still refer to the result. */
  pendingDependents: number;
  /** Whether a client holds the result. */
  isHeld: boolean;
  failedRuns: number;
  /** The task whose end caused the end of this one, or {@link NO_TASK}. */
  endedBy: number;
  failure: FailureKind | null;
}

/** Creates a task that was just added: it is waiting, and its counters are zero. */
export function newTaskEntry(
  batch: BatchId,
  position: number,
  shape: TaskShape,
  dependencies: readonly number[],
  parent: number,
): TaskEntry {
  return {
    batch,
    position,
    shape,
    dependencies,
    dependents: [],
    parent,
    children: [],
    state: 'waiting',
    result: 'none',
    missingInputs: 0,
    pendingDependents: 0,
    isHeld: false,
    failedRuns: 0,
    endedBy: NO_TASK,
    failure: null,
  };
}
