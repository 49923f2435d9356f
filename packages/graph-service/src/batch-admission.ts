/**
 * Decides whether a batch may be added to a graph.
 *
 * @module
 */
import { fitsMachineType } from '@spurbridge/model';
import type { KeyValueStore } from '@spurbridge/store';
import type { Batch, BatchId, GraphId, GraphTaskId, MachineType } from '@spurbridge/wire';
import { parseGraphTaskId } from '@spurbridge/wire';
import type { GraphReader } from './graph-reader.js';
import { unknownTask } from './graph-reader.js';
import type { GraphFailure, GraphResult } from './graph-result.js';
import { storeDoesNotRespond, unavailable } from './graph-result.js';
import { jobSpecForShape } from './job-spec.js';
import { batchKey } from './keys.js';
import { NORMAL_PRIORITY } from './priorities.js';
import type { GraphRecord, StoredBatch } from './records.js';
import { decodeBatch, encodeBatch } from './records.js';

/** Limits on the open graphs of one team and on the size of one graph. */
export interface GraphLimits {
  readonly openPerTeam: number;
  /** Tasks of one graph. */
  readonly tasks: number;
  /** Maximum depth of a chain of tasks that spawn each other. */
  readonly depth: number;
  /** Maximum number of other batches that one batch refers to. */
  readonly references: number;
}

/** Default limits. */
export const DEFAULT_GRAPH_LIMITS: GraphLimits = {
  openPerTeam: 200,
  tasks: 100_000,
  depth: 64,
  references: 32,
};

/** Bytes of a key-value store value reserved for data other than the batch. */
const VALUE_RESERVE_BYTES = 256;

/** An admitted batch, in its stored form. */
export interface AdmittedBatch {
  readonly kind: 'admitted';
  readonly value: Record<string, unknown>;
}

interface ReferencesChecked {
  readonly kind: 'checked';
  /** Spawn depth of the batch. */
  readonly depth: number;
}

/** A reference of a batch to a task of another batch. */
interface TaskReference {
  readonly task: GraphTaskId;
  /** The request field that contains the reference. */
  readonly field: string;
}

/** Checks batches against the available machine types, the limits and the tasks that they refer to. */
export class BatchAdmission {
  constructor(
    private readonly store: KeyValueStore,
    private readonly reader: GraphReader,
    private readonly machineTypes: () => readonly MachineType[],
    private readonly limits: GraphLimits,
    /** Size limit of a value in the key-value store, in KiB. */
    private readonly maxValueKb: number,
  ) {}

  /** The rejection of a batch with a task that fits no machine type; null if all tasks fit one. */
  checkShapes(batch: Batch): GraphFailure | null {
    const types = this.machineTypes();
    if (types.length === 0) return unavailable('machine types are not known yet');
    const index = batch.shapes.findIndex(
      (shape) => !types.some((type) => fitsMachineType(jobSpecForShape(shape), type)),
    );
    if (index < 0) return null;
    return { kind: 'unprocessable', error: `shapes[${index}]: a task of this shape fits no machine type` };
  }

  /** The result for a batch that was added before; null for a new one. */
  async findEarlier(graph: GraphId, batch: Batch): Promise<GraphResult | null> {
    const found = await this.store.read(batchKey(graph, batch.id), NORMAL_PRIORITY);
    if (found.outcome === 'absent') return null;
    if (found.outcome !== 'found') return storeDoesNotRespond();
    const earlier = decodeBatch(found.item.value).batch;
    return JSON.stringify(earlier) === JSON.stringify(batch)
      ? { kind: 'ok', body: { batch: batch.id, tasks: batch.tasks.length } }
      : { kind: 'conflict', error: `batch: ${batch.id} already exists with different content` };
  }

  /** Admits a batch to the graph, unless it exceeds a limit or refers to unknown tasks. */
  async admit(graph: GraphRecord, batch: Batch): Promise<AdmittedBatch | GraphFailure> {
    const { id } = graph.spec;
    if (graph.tasks + batch.tasks.length > this.limits.tasks)
      return unprocessable(
        `tasks: expected at most ${this.limits.tasks} in a graph, ` +
          `got ${batch.tasks.length} in addition to ${graph.tasks} of ${id}`,
      );
    const checked = await this.checkReferences(id, batch);
    if (checked.kind !== 'checked') return checked;
    const stored: StoredBatch = { batch, order: graph.batches, depth: checked.depth };
    const value = encodeBatch(stored);
    if (JSON.stringify(value).length > this.maxValueKb * 1024 - VALUE_RESERVE_BYTES)
      return unprocessable(
        `tasks: expected at most ${this.maxValueKb} KiB in a stored batch; send fewer tasks`,
      );
    return { kind: 'admitted', value };
  }

  private async checkReferences(graph: GraphId, batch: Batch): Promise<ReferencesChecked | GraphFailure> {
    const references = referencesByBatch(batch);
    if (references.size > this.limits.references)
      return unprocessable(
        `tasks: expected references to at most ${this.limits.references} other batches, ` +
          `got ${references.size}`,
      );
    let depth = 0;
    for (const [other, tasks] of references) {
      const found = await this.reader.findBatch(graph, other);
      if (found.kind !== 'found' && found.kind !== 'absent') return found;
      const unknown = tasks.find(
        ({ task }) => found.kind === 'absent' || parseGraphTaskId(task).task >= found.size,
      );
      if (unknown !== undefined) return unknownTask(graph, unknown.task, unknown.field);
      const isParent = batch.parent !== null && parseGraphTaskId(batch.parent).batch === other;
      if (isParent && found.kind === 'found') depth = found.depth + 1;
    }
    if (depth <= this.limits.depth) return { kind: 'checked', depth };
    return unprocessable(`parent: expected a spawn depth of at most ${this.limits.depth}, got ${depth}`);
  }
}

function unprocessable(error: string): GraphFailure {
  return { kind: 'unprocessable', error };
}

/** The references of a batch to tasks of other batches, grouped by batch. */
function referencesByBatch(batch: Batch): Map<BatchId, TaskReference[]> {
  const references = new Map<BatchId, TaskReference[]>();
  const refer = (task: GraphTaskId, field: string): void => {
    const other = parseGraphTaskId(task).batch;
    if (other === batch.id) return;
    references.set(other, [...(references.get(other) ?? []), { task, field }]);
  };
  batch.tasks.forEach((task, index) => {
    for (const dependency of task.after) refer(dependency, `tasks[${index}][1]`);
  });
  if (batch.parent !== null) refer(batch.parent, 'parent');
  return references;
}
