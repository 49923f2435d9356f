/**
 * Errors of the graph client.
 *
 * @module
 */
import type { GraphTaskId } from '@spurbridge/wire';
import { SpurbridgeError } from '@spurbridge/wire';

/** The server's final rejection of a request: it is malformed, or cannot be satisfied. */
export class RefusedError extends SpurbridgeError {
  constructor(
    /** HTTP status code. */
    readonly status: number,
    message: string,
  ) {
    super('GRAPH_REQUEST_REFUSED', message);
  }
}

/** No server gave a final response within the client's timeout for a request. */
export class RequestTimeoutError extends SpurbridgeError {
  constructor(method: string, path: string, lastProblem: string, options?: ErrorOptions) {
    super(
      'GRAPH_REQUEST_TIMEOUT',
      `${method} ${path}: no final response within the timeout; last problem: ${lastProblem}`,
      options,
    );
  }
}

/** An awaited task failed, or cannot run because another one failed. */
export class TaskFailedError extends SpurbridgeError {
  constructor(
    readonly graph: string,
    readonly task: GraphTaskId,
    /** `error`, `upstream`, `lineage`, or `over` if the graph has ended and its records are deleted. */
    readonly kind: string,
    /** The chain from the task that failed first to this one. */
    readonly chain: readonly GraphTaskId[],
    options?: ErrorOptions,
  ) {
    super(
      'GRAPH_TASK_FAILED',
      chain.length > 1
        ? `${graph}: ${task} cannot run because ${chain[0]} failed (${chain.join(' -> ')})`
        : `${graph}: ${task} failed`,
      options,
    );
  }
}

/** An awaited task was cancelled. */
export class TaskCancelledError extends SpurbridgeError {
  constructor(
    readonly graph: string,
    readonly task: GraphTaskId,
  ) {
    super('GRAPH_TASK_CANCELLED', `${graph}: ${task} was cancelled`);
  }
}
