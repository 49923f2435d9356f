/**
 * The leader's state of a graph that has not ended: its tasks, and which of its records are up to date.
 *
 * @module
 */
import { TaskGraph } from '@spurbridge/graph';
import type { BatchId, Mutation, Compare, GraphId, GraphTaskId, Version } from '@spurbridge/wire';
import { KEY_ABSENT, formatGraphTaskId, parseGraphTaskId } from '@spurbridge/wire';
import type { CotaskName } from './cotask.js';
import { batchStateKey } from './keys.js';
import type { AssignmentEntry, GraphRecord, StoredBatch } from './records.js';

/** Maximum total size of the values of one commit. */
export const MAX_COMMIT_BYTES = 48 * 1024;
/** Bytes added to a batch state by its key, its version and the surrounding JSON. */
const BATCH_STATE_OVERHEAD_BYTES = 200;

/** A batch, and the version of its state record. */
export interface TrackedBatch {
  readonly stored: StoredBatch;
  stateVersion: Version;
}

/** The cotask that a task was submitted in, and its index in the cotask's job array. */
export interface CotaskAssignment {
  readonly cotask: CotaskName;
  readonly taskIndex: number;
}

/** A write that updates one batch's state record, on condition that nobody else wrote it. */
export interface BatchStateWrite {
  readonly batch: BatchId;
  readonly mutation: Mutation;
  readonly compare: Compare;
}

/** A graph with its records, from its creation or a failover until its last record is deleted. */
export class OpenGraph {
  readonly batches = new Map<BatchId, TrackedBatch>();
  readonly assignments = new Map<GraphTaskId, CotaskAssignment>();
  /** The tasks of each cotask by index; after a failover without those that had ended before it. */
  readonly cotasks = new Map<CotaskName, readonly (GraphTaskId | undefined)[]>();
  /** Batches whose state records are outdated. */
  readonly changedBatches = new Set<BatchId>();
  /** Batches whose state records are being written. */
  readonly batchesInFlight = new Set<BatchId>();
  /** Keys of applied result updates, which are deleted once their effects are durable. */
  readonly appliedUpdates = new Set<string>();

  constructor(
    private currentRecord: GraphRecord,
    private currentVersion: Version,
    readonly tasks: TaskGraph = new TaskGraph(currentRecord.spec.id),
  ) {}

  get id(): GraphId {
    return this.currentRecord.spec.id;
  }

  get record(): GraphRecord {
    return this.currentRecord;
  }

  get version(): Version {
    return this.currentVersion;
  }

  /** Applies a later version of the graph's record; an earlier one is ignored. */
  updateRecord(record: GraphRecord, version: Version): void {
    if (version <= this.currentVersion) return;
    this.currentRecord = record;
    this.currentVersion = version;
  }

  /** Whether the end of the graph can be recorded, or is recorded and its other records can be deleted. */
  get isReadyToFinish(): boolean {
    const { summary, phase, tasks } = this.currentRecord;
    if (summary !== null) return true;
    const endsWithItsTasks = phase === 'sealed' || phase === 'cancelled';
    return (
      endsWithItsTasks &&
      this.tasks.isComplete &&
      this.tasks.size === tasks &&
      this.changedBatches.size === 0 &&
      this.assignments.size === 0 &&
      this.appliedUpdates.size === 0
    );
  }

  /** Tracks a batch that is in the key-value store. */
  trackBatch(stored: StoredBatch, stateVersion: Version = KEY_ABSENT): void {
    this.batches.set(stored.batch.id, { stored, stateVersion });
  }

  /** The number of tasks of a batch; 0 for an unknown one. */
  batchSize(batch: BatchId): number {
    return this.batches.get(batch)?.stored.batch.tasks.length ?? 0;
  }

  /** Collects the batches that changed, whose state records must be written. */
  collectChanges(): void {
    for (const batch of this.tasks.takeChangedBatches()) this.changedBatches.add(batch);
    this.tasks.takeDroppedResults();
  }

  // --- assignments -----------------------------------------------------------------------------

  /** Submits ready tasks as one cotask, in the order of its job array. */
  assign(cotask: CotaskName, tasks: readonly GraphTaskId[]): void {
    tasks.forEach((task, taskIndex) => {
      this.tasks.markSubmitted(task);
      this.assignments.set(task, { cotask, taskIndex });
    });
  }

  /** Resubmits those tasks of a cotask that were withdrawn and are ready. */
  reassignReady(cotask: CotaskName, tasks: readonly GraphTaskId[]): void {
    tasks.forEach((task, taskIndex) => {
      if (this.tasks.state(task) !== 'ready') return;
      this.tasks.markSubmitted(task);
      this.assignments.set(task, { cotask, taskIndex });
    });
  }

  /** Restores an assignment that an earlier leader recorded. */
  restoreAssignment(batch: BatchId, [position, cotask, taskIndex]: AssignmentEntry): void {
    const task = formatGraphTaskId(batch, position);
    this.assignments.set(task, { cotask, taskIndex });
    const tasks = [...(this.cotasks.get(cotask) ?? [])];
    tasks[taskIndex] = task;
    this.cotasks.set(cotask, tasks);
  }

  /** Withdraws tasks from their cotask; they must be proven to be on no machine. */
  withdraw(tasks: readonly GraphTaskId[]): void {
    for (const task of tasks) {
      this.assignments.delete(task);
      this.tasks.markStopped(task);
    }
    this.collectChanges();
  }

  /** Whether the task is submitted in this cotask. */
  isAssignedTo(task: GraphTaskId, cotask: CotaskName): boolean {
    return this.assignments.get(task)?.cotask === cotask;
  }

  /** Whether all tasks of a cotask have ended and the state records of their batches say so. */
  isCotaskRecorded(cotask: CotaskName): boolean {
    const tasks = this.cotasks.get(cotask) ?? [];
    return tasks.every(
      (task) =>
        task === undefined ||
        (!this.isAssignedTo(task, cotask) && this.isRecorded(parseGraphTaskId(task).batch)),
    );
  }

  /**
   * A record that is being written does not count as durable. When it did, its tasks ran again after a
   * failover.
   */
  private isRecorded(batch: BatchId): boolean {
    return !this.changedBatches.has(batch) && !this.batchesInFlight.has(batch);
  }

  // --- state records ---------------------------------------------------------------------------

  /** Writes that update the state records of some batches, as many as fit one commit. */
  batchStateWrites(batches: Iterable<BatchId>, maxWrites: number): BatchStateWrite[] {
    const writes: BatchStateWrite[] = [];
    let bytes = 0;
    for (const batch of batches) {
      const tracked = this.batches.get(batch);
      if (tracked === undefined) continue;
      const key = batchStateKey(this.id, batch);
      const value = this.encodeBatchState(batch, tracked.stored.batch.tasks.length);
      bytes += JSON.stringify(value).length + BATCH_STATE_OVERHEAD_BYTES;
      if (writes.length >= maxWrites || (writes.length > 0 && bytes > MAX_COMMIT_BYTES)) break;
      writes.push({ batch, mutation: { put: key, value }, compare: { key, version: tracked.stateVersion } });
    }
    return writes;
  }

  private encodeBatchState(batch: BatchId, size: number): Record<string, unknown> {
    const parts: AssignmentEntry[] = [];
    for (let position = 0; position < size; position += 1) {
      const assignment = this.assignments.get(formatGraphTaskId(batch, position));
      if (assignment !== undefined) parts.push([position, assignment.cotask, assignment.taskIndex]);
    }
    return { ...this.tasks.encodeBatch(batch), parts };
  }

  /** Records that the writes were committed at this version. */
  markWritten(writes: readonly BatchStateWrite[], version: Version): void {
    for (const { batch } of writes) this.setStateVersion(batch, version);
  }

  /** Sets the version of a batch's state record. */
  setStateVersion(batch: BatchId, version: Version): void {
    const tracked = this.batches.get(batch);
    if (tracked !== undefined) tracked.stateVersion = version;
  }
}
