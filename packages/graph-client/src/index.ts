/**
 * Client of task graphs: calls of functions return futures, and futures as arguments create dependencies
 * between tasks.
 *
 * @module
 */
export type { TaskOptions } from './batch-sender.js';
export type { Future, WaitResult } from './client-graph.js';
export { ClientGraph } from './client-graph.js';
export { RefusedError, RequestTimeoutError, TaskCancelledError, TaskFailedError } from './errors.js';
export type { ClientOptions, GraphOptions } from './graph-client.js';
export { GraphClient } from './graph-client.js';
export type { Reply, Transport } from './transport.js';
export { httpTransport } from './transport.js';
