/**
 * Keys of the records that task graphs keep in the key-value store.
 *
 * @module
 */
import type { BatchId, GraphId } from '@spurbridge/wire';

/** Graph records, batches and result updates: written by any node, watched by the leader. */
export const GRAPH_PREFIX = 'g/';
/** The open graphs of each team: read by a new leader and by admission. */
export const OPEN_GRAPH_PREFIX = 'go/';
/** States of the tasks of each batch: written by the leader. */
export const BATCH_STATE_PREFIX = 'gs/';

const BATCH_SEGMENT = 'b';
const RESULT_UPDATE_SEGMENT = 'n';

/** Key of a graph's own record. */
export function graphKey(id: GraphId): string {
  return GRAPH_PREFIX + id;
}

/** Prefix of the keys of all batches of a graph. */
export function batchPrefix(id: GraphId): string {
  return `${GRAPH_PREFIX}${id}/${BATCH_SEGMENT}/`;
}

/** Key of one batch of a graph. */
export function batchKey(id: GraphId, batch: BatchId): string {
  return batchPrefix(id) + batch;
}

/** Prefix of the keys of all result updates of a graph. */
export function resultUpdatePrefix(id: GraphId): string {
  return `${GRAPH_PREFIX}${id}/${RESULT_UPDATE_SEGMENT}/`;
}

/** Key of one result update of a graph. */
export function resultUpdateKey(id: GraphId, update: string): string {
  return resultUpdatePrefix(id) + update;
}

/** Prefix of the keys that list the open graphs of a team. */
export function openGraphPrefix(team: string): string {
  return `${OPEN_GRAPH_PREFIX}${encodeURIComponent(team)}/`;
}

/** Key that lists a graph among the open ones of its team. */
export function openGraphKey(team: string, id: GraphId): string {
  return openGraphPrefix(team) + id;
}

/** The graph that a key made by {@link openGraphKey} refers to. */
export function parseOpenGraphKey(key: string): GraphId {
  return key.slice(key.lastIndexOf('/') + 1) as GraphId;
}

/** Prefix of the keys of all batch states of a graph. */
export function batchStatePrefix(id: GraphId): string {
  return `${BATCH_STATE_PREFIX}${id}/`;
}

/** Key of the states of one batch's tasks. */
export function batchStateKey(id: GraphId, batch: BatchId): string {
  return batchStatePrefix(id) + batch;
}

/** The batch of a key made by {@link batchStateKey} for the same graph. */
export function parseBatchStateKey(id: GraphId, key: string): BatchId {
  return key.slice(batchStatePrefix(id).length) as BatchId;
}

/** The record that a key under {@link GRAPH_PREFIX} refers to. */
export interface GraphRecordKey {
  readonly graph: GraphId;
  readonly kind: 'graph' | 'batch' | 'result-update';
}

/** Splits a key under {@link GRAPH_PREFIX}. */
export function parseGraphRecordKey(key: string): GraphRecordKey {
  const [, graph, segment] = key.split('/');
  const kind = segment === undefined ? 'graph' : segment === BATCH_SEGMENT ? 'batch' : 'result-update';
  return { graph: graph as GraphId, kind };
}
