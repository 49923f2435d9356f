/**
 * Loads the graphs of earlier leaders when this node becomes leader.
 *
 * @module
 */
import { TaskGraph } from '@spurbridge/graph';
import type { Job } from '@spurbridge/model';
import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { BatchId, GraphId, KeyValue, JobId, Revision, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { GraphCancellation } from './cancellation.js';
import type { GraphControllerState } from './controller-state.js';
import { COTASK_JOB_ID_PREFIX, cotaskJobId, cotaskNameOf } from './cotask.js';
import {
  OPEN_GRAPH_PREFIX,
  batchPrefix,
  batchStatePrefix,
  graphKey,
  parseBatchStateKey,
  parseOpenGraphKey,
  resultUpdatePrefix,
} from './keys.js';
import { OpenGraph } from './open-graph.js';
import { NORMAL_PRIORITY, URGENT_PRIORITY } from './priorities.js';
import type { GraphRecordReceiver } from './record-receiver.js';
import type { BatchStateRecord, GraphRecord, StoredBatch } from './records.js';
import { decodeBatch, decodeBatchState, decodeGraph } from './records.js';

/** A state record and its version. */
interface LoadedBatchState {
  readonly record: BatchStateRecord;
  readonly version: Version;
}

/** All records of one graph. */
interface GraphRecords {
  readonly graph: KeyValue;
  readonly batches: readonly KeyValue[];
  readonly states: readonly KeyValue[];
  readonly updates: readonly KeyValue[];
}

type GraphRecordsOutcome =
  | { readonly outcome: 'found'; readonly records: GraphRecords }
  | { readonly outcome: 'absent' }
  | { readonly outcome: 'unavailable' };

/** Restores graphs from their records, and reconciles them with the job records of their cotasks. */
export class GraphLoader {
  constructor(
    private readonly state: GraphControllerState,
    private readonly receiver: GraphRecordReceiver,
    private readonly cancellation: GraphCancellation,
  ) {}

  /**
   * Loads all open graphs.
   *
   * @returns the revision of the list of open graphs, or null if the key-value store did not respond to
   *   all reads
   */
  async loadAll(): Promise<Revision | null> {
    const { store } = this.state.term.context;
    const open = await store.list(OPEN_GRAPH_PREFIX, URGENT_PRIORITY);
    if (open.outcome !== 'listed') return null;
    const jobs = await store.list(JOB_KEY_PREFIX + COTASK_JOB_ID_PREFIX, NORMAL_PRIORITY);
    if (jobs.outcome !== 'listed') return null;
    for (const item of open.items) if (!(await this.load(parseOpenGraphKey(item.key)))) return null;
    this.collectFinishedCotasks(jobs.items);
    this.abandonOrphanedCotasks();
    return open.revision;
  }

  /** Collects the job records of ended cotasks that the earlier leader did not delete. */
  private collectFinishedCotasks(jobs: readonly KeyValue[]): void {
    for (const item of jobs) {
      const id = item.key.slice(JOB_KEY_PREFIX.length) as JobId;
      if (!this.state.cluster.jobs.has(id)) this.state.cotasks.markFinished(id);
    }
  }

  private abandonOrphanedCotasks(): void {
    for (const job of [...this.state.cluster.jobs.values()])
      if (job.graph !== null && !this.state.graphs.has(job.graph as GraphId))
        this.abandonUnassigned(null, job);
  }

  /** Loads one graph; false if the key-value store did not respond to all reads. */
  private async load(id: GraphId): Promise<boolean> {
    const found = await this.readRecords(id);
    if (found.outcome !== 'found') return found.outcome === 'absent';
    const { records } = found;
    const states = new Map(
      records.states.map((item): [BatchId, LoadedBatchState] => [
        parseBatchStateKey(id, item.key),
        { record: decodeBatchState(item.value), version: item.version },
      ]),
    );
    const graph = restoreGraph(records, states);
    this.state.graphs.set(id, graph);
    if (graph.record.summary === null) this.restoreProgress(graph, states, records.updates);
    else for (const item of records.updates) graph.appliedUpdates.add(item.key);
    return true;
  }

  private async readRecords(id: GraphId): Promise<GraphRecordsOutcome> {
    const { store } = this.state.term.context;
    const graph = await store.read(graphKey(id), NORMAL_PRIORITY);
    if (graph.outcome === 'absent') return { outcome: 'absent' };
    const batches = await store.list(batchPrefix(id), NORMAL_PRIORITY);
    const states = await store.list(batchStatePrefix(id), NORMAL_PRIORITY);
    const updates = await store.list(resultUpdatePrefix(id), NORMAL_PRIORITY);
    if (
      graph.outcome !== 'found' ||
      batches.outcome !== 'listed' ||
      states.outcome !== 'listed' ||
      updates.outcome !== 'listed'
    )
      return { outcome: 'unavailable' };
    const records = {
      graph: graph.item,
      batches: batches.items,
      states: states.items,
      updates: updates.items,
    };
    return { outcome: 'found', records };
  }

  private restoreProgress(
    graph: OpenGraph,
    states: ReadonlyMap<BatchId, LoadedBatchState>,
    updates: readonly KeyValue[],
  ): void {
    for (const [batch, { record }] of states)
      for (const entry of record.parts) {
        graph.restoreAssignment(batch, entry);
        const [, cotask] = entry;
        this.state.cotasks.register(cotaskJobId(graph.id, cotask), { graph: graph.id, cotask });
      }
    this.reconcileAssignments(graph);
    this.cancellation.apply(graph);
    for (const item of updates) this.receiver.receiveResultUpdate(graph.id, item);
  }

  /** Applies outcomes of tasks that are in the job records of the cotasks, but not in the graph's records. */
  private reconcileAssignments(graph: OpenGraph): void {
    const { cluster } = this.state;
    for (const [task, { cotask, taskIndex }] of [...graph.assignments]) {
      const job = cluster.jobs.get(cotaskJobId(graph.id, cotask));
      if (job !== undefined && !job.isDone(taskIndex)) {
        if (graph.tasks.state(task) === 'cancelling') cluster.abandonTask(job, taskIndex);
        continue;
      }
      graph.assignments.delete(task);
      if (job === undefined || job.abandoned.has(taskIndex)) graph.tasks.markStopped(task);
      else graph.tasks.markDone(task);
    }
    for (const job of [...cluster.jobs.values()])
      if (job.graph === graph.id) this.abandonUnassigned(graph, job);
    graph.collectChanges();
  }

  /** Abandons those tasks of a cotask's job that no longer represent a task of the graph. */
  private abandonUnassigned(graph: OpenGraph | null, job: Job): void {
    const cotask = cotaskNameOf(job.spec.id);
    const tasks = graph?.cotasks.get(cotask) ?? [];
    if (graph !== null) this.state.cotasks.register(job.spec.id, { graph: graph.id, cotask });
    for (let taskIndex = 0; taskIndex < job.spec.tasks && job.state === 'active'; taskIndex += 1) {
      const task = tasks[taskIndex];
      const isAssigned = task !== undefined && graph?.isAssignedTo(task, cotask) === true;
      if (!job.isDone(taskIndex) && !isAssigned) this.state.cluster.abandonTask(job, taskIndex);
    }
  }
}

function restoreGraph(records: GraphRecords, states: ReadonlyMap<BatchId, LoadedBatchState>): OpenGraph {
  const record = decodeGraph(records.graph.value);
  const batches = records.batches
    .map((item) => decodeBatch(item.value))
    .sort((left, right) => left.order - right.order);
  const graph = new OpenGraph(record, records.graph.version, restoreTasks(record, batches, states));
  for (const stored of batches) graph.trackBatch(stored, states.get(stored.batch.id)?.version ?? KEY_ABSENT);
  return graph;
}

function restoreTasks(
  { spec, summary }: GraphRecord,
  batches: readonly StoredBatch[],
  states: ReadonlyMap<BatchId, LoadedBatchState>,
): TaskGraph {
  // Some records of an ended graph may be deleted already.
  if (summary !== null) return new TaskGraph(spec.id);
  return TaskGraph.restore(
    spec.id,
    batches.map(({ batch }) => ({ batch, record: states.get(batch.id)?.record ?? null })),
  );
}
