/**
 * Reads graphs and batches from the key-value store for clients' requests.
 *
 * @module
 */
import type { KeyValueStore } from '@spurbridge/store';
import type { BatchId, GraphId, GraphTaskId, Version } from '@spurbridge/wire';
import { isGraphId, parseGraphTaskId } from '@spurbridge/wire';
import type { GraphFailure } from './graph-result.js';
import { GRAPH_NOT_FOUND, storeDoesNotRespond } from './graph-result.js';
import { batchKey, graphKey } from './keys.js';
import { NORMAL_PRIORITY } from './priorities.js';
import type { GraphRecord } from './records.js';
import { decodeBatch, decodeGraph } from './records.js';

/** Maximum number of cached batches. */
const MAX_CACHED_BATCHES = 5000;

/** A graph's record and its version. */
export interface FoundGraph {
  readonly kind: 'found';
  readonly record: GraphRecord;
  readonly version: Version;
}

/** The immutable properties of a batch: its number of tasks and its spawn depth. */
export interface FoundBatch {
  readonly kind: 'found';
  readonly size: number;
  readonly depth: number;
}

/** The graph has no such batch. */
export interface AbsentBatch {
  readonly kind: 'absent';
}

/** Reads graphs, and caches the immutable properties of batches. */
export class GraphReader {
  private readonly batches = new Map<string, FoundBatch>();

  constructor(private readonly store: KeyValueStore) {}

  /** Reads the record of a graph. */
  async findGraph(id: string): Promise<FoundGraph | GraphFailure> {
    if (!isGraphId(id)) return GRAPH_NOT_FOUND;
    const found = await this.store.read(graphKey(id), NORMAL_PRIORITY);
    if (found.outcome === 'absent') return GRAPH_NOT_FOUND;
    if (found.outcome !== 'found') return storeDoesNotRespond();
    return { kind: 'found', record: decodeGraph(found.item.value), version: found.item.version };
  }

  /** Looks up a batch. */
  async findBatch(graph: GraphId, batch: BatchId): Promise<FoundBatch | AbsentBatch | GraphFailure> {
    const key = batchKey(graph, batch);
    const cached = this.batches.get(key);
    if (cached !== undefined) return cached;
    const read = await this.store.read(key, NORMAL_PRIORITY);
    if (read.outcome === 'absent') return { kind: 'absent' };
    if (read.outcome !== 'found') return storeDoesNotRespond();
    const stored = decodeBatch(read.item.value);
    const found: FoundBatch = { kind: 'found', size: stored.batch.tasks.length, depth: stored.depth };
    if (this.batches.size >= MAX_CACHED_BATCHES) this.batches.clear();
    this.batches.set(key, found);
    return found;
  }

  /**
   * Checks that the graph has all of the tasks.
   *
   * @param field the request field that names the tasks
   * @returns null if it has
   */
  async checkTasks(
    graph: GraphId,
    tasks: readonly GraphTaskId[],
    field: string,
  ): Promise<GraphFailure | null> {
    for (const [index, task] of tasks.entries()) {
      const batch = await this.findBatch(graph, parseGraphTaskId(task).batch);
      if (batch.kind === 'absent' || (batch.kind === 'found' && parseGraphTaskId(task).task >= batch.size))
        return unknownTask(graph, task, `${field}[${index}]`);
      if (batch.kind !== 'found') return batch;
    }
    return null;
  }
}

/** The rejection of a request that names an unknown task. */
export function unknownTask(graph: GraphId, task: GraphTaskId, field: string): GraphFailure {
  return { kind: 'malformed', error: `${field}: expected a task of ${graph}, got unknown task ${task}` };
}
