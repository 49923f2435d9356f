/**
 * Errors of task graphs. A call that throws one leaves the graph unchanged.
 *
 * @module
 */
import type { BatchId, GraphId, GraphTaskId } from '@spurbridge/wire';
import { SpurbridgeError } from '@spurbridge/wire';
import type { TaskState } from './task-state.js';

/** A call names an unknown element of the graph, or is not allowed in a task's current state. */
export abstract class GraphError extends SpurbridgeError {}

/** A task is named that is not in the graph. */
export class UnknownTaskError extends GraphError {
  constructor(
    readonly graph: GraphId,
    readonly task: GraphTaskId,
  ) {
    super('UNKNOWN_GRAPH_TASK', `${task}: no such task in ${graph}`);
  }
}

/** A batch is named that is not in the graph. */
export class UnknownBatchError extends GraphError {
  constructor(
    readonly graph: GraphId,
    readonly batch: BatchId,
  ) {
    super('UNKNOWN_GRAPH_BATCH', `${batch}: no such batch in ${graph}`);
  }
}

/** A run of a task was reported to have failed although none is in progress. */
export class TaskNotSubmittedError extends GraphError {
  constructor(
    readonly task: GraphTaskId,
    readonly state: TaskState,
  ) {
    super('GRAPH_TASK_NOT_SUBMITTED', `${task}: expected the state submitted for a failed run, got ${state}`);
  }
}
