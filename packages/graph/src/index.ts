/**
 * Graphs of tasks that depend on each other's results.
 *
 * @module
 */
export type { TaskStatesRecord } from './batch-record.js';
export { GraphError, TaskNotSubmittedError, UnknownBatchError, UnknownTaskError } from './errors.js';
export type { RecordedBatch, TaskFailure } from './task-graph.js';
export { TaskGraph } from './task-graph.js';
export type { FailureKind, ResultState, TaskState } from './task-state.js';
export { FAILURE_KINDS, TASK_STATES } from './task-state.js';
