/**
 * Errors of task graphs. A call that throws one leaves the graph as it was.
 *
 * @module
 */
import type { BatchId, GraphId, GraphTaskId } from '@spurbridge/wire';
import { SpurbridgeError } from '@spurbridge/wire';
import type { TaskState } from './task-state.js';

/** A call names something that the graph does not have, or asks for what a task's state does not allow. */
export abstract class GraphError extends SpurbridgeError {}

/** A task is named that the graph does not have. */
export class UnknownTaskError extends GraphError {
  constructor(
    readonly graph: GraphId,
    readonly task: GraphTaskId,
  ) {
    super('UNKNOWN_GRAPH_TASK', `${task}: no such task in ${graph}`);
  }
}

/** A batch is named that the graph does not have. */
export class UnknownBatchError extends GraphError {
  constructor(
    readonly graph: GraphId,
    readonly batch: BatchId,
  ) {
    super('UNKNOWN_GRAPH_BATCH', `${batch}: no such batch in ${graph}`);
  }
}

/** A run of a task is said to have failed while no run of it is under way. */
export class TaskNotSubmittedError extends GraphError {
  constructor(
    readonly task: GraphTaskId,
    readonly state: TaskState,
  ) {
    super('GRAPH_TASK_NOT_SUBMITTED', `${task} is ${state}: it cannot fail`);
  }
}
