/**
 * One task of a graph, as it is held in memory.
 *
 * @module
 */
import type { BatchId, TaskShape } from '@spurbridge/wire';
import type { FailureKind, ResultState, TaskState } from './task-state.js';

/** Stands for no task where an index is expected. */
export const NO_TASK = -1;

/** One task. All references to tasks are indices in the graph's table. */
export interface TaskEntry {
  readonly batch: BatchId;
  /** Position in the batch. */
  readonly position: number;
  readonly shape: TaskShape;
  /** Tasks whose results it takes. */
  readonly dependencies: readonly number[];
  /** Tasks that take its result. */
  readonly dependents: number[];
  /** The task that spawned it, or {@link NO_TASK}. */
  readonly parent: number;
  readonly children: number[];
  state: TaskState;
  result: ResultState;
  /** Dependencies whose results are not kept. */
  missingInputs: number;
  /** Dependents that have not ended: each still refers to the result. */
  pendingDependents: number;
  /** Whether a client refers to the result. */
  isHeld: boolean;
  failedRuns: number;
  /** The task whose end ended this one, or {@link NO_TASK}. */
  endedBy: number;
  failure: FailureKind | null;
}

/** A task that was just added: it waits, and nothing is counted of it yet. */
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
