/**
 * The recorded states of one batch's tasks, encoded so compactly that a whole batch fits into one record.
 *
 * @module
 */
import type { TaskEntry } from './task-entry.js';
import type { ResultState, TaskState } from './task-state.js';
import { FAILURE_KINDS, RESULT_STATES, TASK_STATES } from './task-state.js';

/** Values by position in the batch; sparse. */
export type SparseList = readonly (readonly [position: number, value: number])[];

/** States of one batch's tasks, in the order of the batch. Stored as it is. */
export interface TaskStatesRecord {
  /** For each task a digit: its position in {@link TASK_STATES}. */
  readonly states: string;
  /** For each task a digit: the position of its result's state in {@link RESULT_STATES}. */
  readonly kept: string;
  /** For each task `1` if a client holds its result, otherwise `0`. */
  readonly held: string;
  /** The number of failed runs per task. */
  readonly errors: SparseList;
  /** Graph index of the task whose end caused the end of this one. */
  readonly endedBy: SparseList;
  /** Position in {@link FAILURE_KINDS}, counted from 1. */
  readonly failures: SparseList;
}

/** The record of one batch's tasks. Its indices are valid only while batches are added in the same order. */
export function encodeTaskStates(tasks: readonly TaskEntry[]): TaskStatesRecord {
  return {
    states: tasks.map((task) => TASK_STATES.indexOf(task.state)).join(''),
    kept: tasks.map((task) => RESULT_STATES.indexOf(task.result)).join(''),
    held: tasks.map((task) => (task.isHeld ? 1 : 0)).join(''),
    errors: sparse(tasks, (task) => (task.failedRuns === 0 ? null : task.failedRuns)),
    endedBy: sparse(tasks, (task) => (task.endedBy < 0 ? null : task.endedBy)),
    failures: sparse(tasks, (task) =>
      task.failure === null ? null : FAILURE_KINDS.indexOf(task.failure) + 1,
    ),
  };
}

function sparse(tasks: readonly TaskEntry[], valueOf: (task: TaskEntry) => number | null): SparseList {
  return tasks.flatMap((task, position) => {
    const value = valueOf(task);
    return value === null ? [] : [[position, value] as const];
  });
}

/** Restores the states of one batch's tasks from a record of {@link encodeTaskStates}. */
export function restoreTaskStates(tasks: readonly TaskEntry[], record: TaskStatesRecord): void {
  tasks.forEach((task, position) => {
    task.state = TASK_STATES[Number(record.states[position])] as TaskState;
    task.result = RESULT_STATES[Number(record.kept[position])] as ResultState;
    task.isHeld = record.held[position] === '1';
  });
  const at = (position: number): TaskEntry => tasks[position] as TaskEntry;
  for (const [position, failedRuns] of record.errors) at(position).failedRuns = failedRuns;
  for (const [position, endedBy] of record.endedBy) at(position).endedBy = endedBy;
  for (const [position, kind] of record.failures) at(position).failure = FAILURE_KINDS[kind - 1] ?? null;
}
