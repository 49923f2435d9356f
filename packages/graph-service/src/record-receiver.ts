/**
 * Applies records written by any node to the leader's state.
 *
 * @module
 */
import type { GraphId, KeyValue, Version } from '@spurbridge/wire';
import { KEY_ABSENT, parseResultUpdate } from '@spurbridge/wire';
import type { GraphCancellation } from './cancellation.js';
import type { GraphControllerState } from './controller-state.js';
import { parseGraphRecordKey } from './keys.js';
import { OpenGraph } from './open-graph.js';
import type { GraphRecord, StoredBatch } from './records.js';
import { decodeBatch, decodeGraph } from './records.js';

/** Receives graph records, batches and result updates, from a list or a watch. */
export class GraphRecordReceiver {
  constructor(
    private readonly state: GraphControllerState,
    private readonly cancellation: GraphCancellation,
  ) {}

  /** Applies one record; logs and skips one that cannot be read. */
  receive(item: KeyValue): void {
    try {
      const { graph, kind } = parseGraphRecordKey(item.key);
      if (kind === 'graph') this.receiveGraph(graph, decodeGraph(item.value), item.version);
      else if (kind === 'batch') this.receiveBatch(graph, decodeBatch(item.value));
      else this.receiveResultUpdate(graph, item);
    } catch (error) {
      const { log } = this.state.term.context;
      log.error({ key: item.key, error: String(error) }, 'graph record cannot be read');
    }
  }

  /** Applies the record of a whole graph; a version older than the known one has no effect. */
  receiveGraph(id: GraphId, record: GraphRecord, version: Version): void {
    let graph = this.state.graphs.get(id);
    if (graph === undefined) {
      if (record.summary !== null) return;
      graph = new OpenGraph(record, version);
      this.state.graphs.set(id, graph);
    } else graph.updateRecord(record, version);
    this.cancellation.apply(graph);
  }

  private receiveBatch(id: GraphId, stored: StoredBatch): void {
    const graph = this.state.graphs.get(id);
    if (graph === undefined || graph.batches.has(stored.batch.id)) return;
    graph.tasks.addBatch(stored.batch);
    graph.trackBatch(stored, KEY_ABSENT);
    this.cancellation.apply(graph);
  }

  /** Applies a client's update on results, once. */
  receiveResultUpdate(id: GraphId, item: KeyValue): void {
    const graph = this.state.graphs.get(id);
    const update = parseResultUpdate(item.value);
    if (graph === undefined || graph.record.summary !== null || graph.appliedUpdates.has(item.key)) return;
    for (const task of update.lost) graph.tasks.markResultLost(task);
    for (const task of update.hold) graph.tasks.setHeld(task, true);
    for (const task of update.release) graph.tasks.setHeld(task, false);
    graph.appliedUpdates.add(item.key);
    graph.collectChanges();
  }
}

/**
 * Sorts graphs first, then batches as they were accepted, then result updates. No record refers to a later
 * one.
 */
export function inDependencyOrder(items: readonly KeyValue[]): KeyValue[] {
  return items
    .map((item) => ({ item, rank: rankOf(item) }))
    .sort((left, right) => (left.rank === right.rank ? 0 : left.rank - right.rank))
    .map(({ item }) => item);
}

function rankOf(item: KeyValue): number {
  const { kind } = parseGraphRecordKey(item.key);
  if (kind === 'result-update') return Infinity;
  return kind === 'batch' ? decodeBatch(item.value).order : -1;
}
