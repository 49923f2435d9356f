/**
 * Task graphs as a service: clients' requests, their HTTP interface, and the leader component that runs
 * graphs.
 *
 * @module
 */
export type { GraphLimits } from './batch-admission.js';
export { DEFAULT_GRAPH_LIMITS } from './batch-admission.js';
export { graphControllerFactory } from './graph-controller.js';
export type { GraphFailure, GraphResponse, GraphResult } from './graph-result.js';
export { respond } from './graph-result.js';
export { GraphService } from './graph-service.js';
export { batchStateKey, graphKey } from './keys.js';
export type {
  AssignmentEntry,
  BatchStateRecord,
  CancelledSubtree,
  GraphPhase,
  GraphRecord,
  GraphSummary,
  StoredBatch,
} from './records.js';
export { decodeBatch, decodeBatchState, decodeGraph, encodeBatch, encodeGraph } from './records.js';
export { registerGraphRoutes } from './routes.js';
