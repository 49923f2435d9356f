/**
 * Errors of the graph client.
 *
 * @module
 */
import type { GraphTaskId } from '@spurbridge/wire';
import { SpurbridgeError } from '@spurbridge/wire';

/** The server's final response to a request: it is malformed, or what it asks for is impossible. */
export class RefusedError extends SpurbridgeError {
  constructor(
    /** HTTP status code. */
    readonly status: number,
    message: string,
  ) {
    super('GRAPH_REQUEST_REFUSED', message);
  }
}

/** No server gave a final response within the time that the client allows for a request. */
export class RequestTimeoutError extends SpurbridgeError {
  constructor(method: string, path: string, lastProblem: string, options?: ErrorOptions) {
    super('GRAPH_REQUEST_TIMEOUT', `${method} ${path}: no answer in time; last: ${lastProblem}`, options);
  }
}

/** A task that was waited for failed, or cannot run since another one failed. */
export class TaskFailedError extends SpurbridgeError {
  constructor(
    readonly graph: string,
    readonly task: GraphTaskId,
    /** `error`, `upstream`, `lineage`, or `over` where the graph has ended and no longer tells. */
    readonly kind: string,
    /** From the task that failed first to this one. */
    readonly chain: readonly GraphTaskId[],
    options?: ErrorOptions,
  ) {
    super(
      'GRAPH_TASK_FAILED',
      chain.length > 1
        ? `${graph}: ${task} cannot run, since ${chain[0]} failed (${chain.join(' -> ')})`
        : `${graph}: ${task} failed`,
      options,
    );
  }
}

/** A task that was waited for was cancelled. */
export class TaskCancelledError extends SpurbridgeError {
  constructor(
    readonly graph: string,
    readonly task: GraphTaskId,
  ) {
    super('GRAPH_TASK_CANCELLED', `${graph}: ${task} was cancelled`);
  }
}
