/**
 * Submits ready tasks of graphs to the scheduler, as cotasks.
 *
 * @module
 */
import type { JobRecord } from '@spurbridge/model';
import { tasksPerChunk, encodeJob, jobKey } from '@spurbridge/model';
import type { CommitOutcome } from '@spurbridge/store';
import type { BatchId, GraphTaskId, JobId, JobSpec, TaskShape, Version } from '@spurbridge/wire';
import { KEY_ABSENT, parseGraphTaskId } from '@spurbridge/wire';
import type { GraphCancellation } from './cancellation.js';
import type { CommitFailureHandler } from './commit-failure.js';
import type { GraphControllerState } from './controller-state.js';
import { RETRY_DELAY_MS } from './controller-state.js';
import type { CotaskName } from './cotask.js';
import { cotaskJobId } from './cotask.js';
import { jobSpecForShape } from './job-spec.js';
import type { BatchStateWrite, OpenGraph } from './open-graph.js';
import { MAX_COMMIT_BYTES } from './open-graph.js';
import { NORMAL_PRIORITY } from './priorities.js';

/** Upper bound of the bytes of a batch's state record: per task, and in addition. */
const TASK_STATE_BYTES = 36;
const BATCH_STATE_BYTES = 300;
/** Maximum number of tasks of one graph in the scheduler at a time; more would only lengthen its queues. */
const MAX_SUBMITTED_TASKS = 2000;
const MAX_COTASK_TASKS = 200;
/** The number of cotasks of maximum size that fit into a team's guaranteed CPUs. */
const COTASKS_PER_GUARANTEE = 8;

/** Ready tasks of one shape, and the batches that they belong to. */
interface TaskSelection {
  readonly shape: TaskShape;
  readonly tasks: readonly GraphTaskId[];
  readonly batches: ReadonlySet<BatchId>;
}

/** A cotask whose commit has not succeeded yet. */
interface PendingCotask {
  readonly name: CotaskName;
  readonly job: JobId;
  readonly record: JobRecord;
  readonly tasks: readonly GraphTaskId[];
}

/** Submits ready tasks of one shape as a cotask: its job and the tasks' assignments in one commit. */
export class CotaskSubmitter {
  /** The number of cotasks that this leader has created. */
  private createdCount = 0;

  constructor(
    private readonly state: GraphControllerState,
    private readonly cancellation: GraphCancellation,
    private readonly failures: CommitFailureHandler,
  ) {}

  /** Submits the graph's ready tasks until none is left, the graph's limit is reached, or a commit fails. */
  async submitReady(graph: OpenGraph): Promise<void> {
    const { term } = this.state;
    if (graph.record.phase === 'cancelled') return;
    while (term.isActive) {
      const selection = this.selectTasks(graph);
      if (selection === null || !(await this.submit(graph, selection))) return;
      await term.context.clock.sleep(0);
    }
  }

  // --- selection of ready tasks ----------------------------------------------------------------

  /** Ready tasks of the same shape as the first one, up to the limits of one cotask and one commit. */
  private selectTasks(graph: OpenGraph): TaskSelection | null {
    const capacity = MAX_SUBMITTED_TASKS - graph.assignments.size;
    const ready = graph.tasks.readyTasks();
    const [first] = ready;
    if (first === undefined || capacity <= 0) return null;
    const shape = graph.tasks.shape(first);
    const shapeKey = JSON.stringify(shape);
    const limit = Math.min(this.maxCotaskTasks(graph, shape), capacity);
    const batches = new BatchSelection(graph, this.state.term.context.settings.storeLimits.txnOps - 1);
    const tasks: GraphTaskId[] = [];
    for (const task of ready) {
      if (tasks.length >= limit) break;
      if (
        JSON.stringify(graph.tasks.shape(task)) === shapeKey &&
        batches.include(parseGraphTaskId(task).batch)
      )
        tasks.push(task);
    }
    return { shape, tasks, batches: batches.selected };
  }

  /**
   * A guarantee covers only whole jobs that fit into it. A stage of a graph submitted as one large job array
   * would not be covered at all, and one submitted in a few large arrays only partly.
   */
  private maxCotaskTasks(graph: OpenGraph, shape: TaskShape): number {
    const name = graph.record.spec.team;
    const team = this.state.term.context.configuration().teams.find((candidate) => candidate.name === name);
    if (team === undefined || team.cpus <= 0 || shape.cpus <= 0) return MAX_COTASK_TASKS;
    const fitting = Math.floor(team.cpus / COTASKS_PER_GUARANTEE / shape.cpus);
    return Math.max(1, Math.min(MAX_COTASK_TASKS, fitting));
  }

  private createCotask(graph: OpenGraph, { shape, tasks }: TaskSelection): PendingCotask {
    const { leadership, settings, wallNow } = this.state.term.context;
    this.createdCount += 1;
    const name = `${leadership.fencingToken}-${this.createdCount}`;
    const job = cotaskJobId(graph.id, name);
    const record: JobRecord = {
      spec: jobSpecOf(graph, job, shape, tasks.length),
      phase: 'active',
      submittedAt: wallNow(),
      chunkSize: tasksPerChunk(settings.storeLimits.valueKb),
      graph: graph.id,
    };
    return { name, job, record, tasks };
  }

  // --- submission ------------------------------------------------------------------------------

  /** Submits one cotask; false if that failed or this node no longer leads. */
  private async submit(graph: OpenGraph, selection: TaskSelection): Promise<boolean> {
    const { term, cotasks } = this.state;
    const cotask = this.createCotask(graph, selection);
    graph.assign(cotask.name, cotask.tasks);
    graph.cotasks.set(cotask.name, cotask.tasks);
    cotasks.register(cotask.job, { graph: graph.id, cotask: cotask.name });
    // The job's own record takes one mutation of the commit.
    const writes = graph.batchStateWrites(selection.batches, term.context.settings.storeLimits.txnOps - 1);
    cotasks.markUnconfirmed(cotask.job);
    const outcome = await this.commit(cotask, writes);
    if (!term.isActive) return false;
    const version =
      outcome.outcome === 'unknown' ? await this.resolveUnknown(graph, cotask) : committedVersion(outcome);
    if (!term.isActive) return false;
    cotasks.markResolved(cotask.job);
    if (version === null) {
      await this.discard(graph, cotask, outcome);
      return false;
    }
    graph.markWritten(writes, version);
    this.start(graph, cotask, version);
    return true;
  }

  private commit(cotask: PendingCotask, writes: readonly BatchStateWrite[]): Promise<CommitOutcome> {
    const { store, leadership } = this.state.term.context;
    const key = jobKey(cotask.job);
    return store.commit(
      [leadership.leadershipCompare(), { key, version: KEY_ABSENT }, ...writes.map((write) => write.compare)],
      [{ put: key, value: encodeJob(cotask.record) }, ...writes.map((write) => write.mutation)],
      NORMAL_PRIORITY,
    );
  }

  /** Adds the job of a committed cotask to the scheduler. */
  private start(graph: OpenGraph, { name, job, record, tasks }: PendingCotask, version: Version): void {
    const { cluster, term } = this.state;
    cluster.applyJobRecord(record, version);
    term.context.log.debug({ graph: graph.id, job, tasks: tasks.length }, 'cotask submitted');
    // Some tasks may have been cancelled during the commit, and even marked as stopped.
    tasks.forEach((task, taskIndex) => {
      const known = cluster.jobs.get(job);
      if (known !== undefined && !graph.isAssignedTo(task, name)) cluster.abandonTask(known, taskIndex);
    });
    for (const task of tasks)
      if (graph.tasks.state(task) === 'cancelling') this.cancellation.stop(graph, task);
    graph.collectChanges();
    cluster.emit('replanNeeded');
  }

  /** Discards a cotask whose commit has failed; its tasks become ready again. */
  private async discard(graph: OpenGraph, cotask: PendingCotask, outcome: CommitOutcome): Promise<void> {
    graph.cotasks.delete(cotask.name);
    this.state.cotasks.forget(cotask.job);
    // If there was no response, the tasks were withdrawn when the outcome became known.
    if (outcome.outcome === 'unknown') return;
    graph.withdraw(cotask.tasks);
    await this.failures.handle(graph, outcome);
  }

  // --- commits without a response --------------------------------------------------------------

  /**
   * Resolves a commit without a response, which may have been executed or may still be. Either its job is
   * found, or another write succeeds to one of the records that the commit compares; after that it can never
   * be executed.
   *
   * @returns the version that the commit wrote, or null once it is certain that it wrote nothing
   */
  private async resolveUnknown(graph: OpenGraph, cotask: PendingCotask): Promise<Version | null> {
    const { term } = this.state;
    const { store, leadership, clock } = term.context;
    while (term.isActive) {
      await clock.sleep(RETRY_DELAY_MS);
      const found = await store.read(jobKey(cotask.job), NORMAL_PRIORITY);
      if (!term.isActive) return null;
      if (found.outcome === 'found') return found.item.version;
      const [first] = cotask.tasks;
      if (found.outcome !== 'absent' || first === undefined) continue;
      graph.withdraw(cotask.tasks);
      const [fence] = graph.batchStateWrites([parseGraphTaskId(first).batch], 1);
      if (fence === undefined) return null;
      const outcome = await store.commit(
        [leadership.leadershipCompare(), fence.compare],
        [fence.mutation],
        NORMAL_PRIORITY,
      );
      if (!term.isActive) return null;
      if (outcome.outcome === 'committed') {
        graph.markWritten([fence], outcome.revision as number as Version);
        return null;
      }
      // The outcome is still uncertain: the tasks stay in the cotask, which may yet be submitted.
      graph.reassignReady(cotask.name, cotask.tasks);
      if (leadership.stepDownOnConflict(outcome)) return null;
    }
    return null;
  }
}

/** The batches of the selected tasks, limited by the size of their state records in one commit. */
class BatchSelection {
  readonly selected = new Set<BatchId>();
  private bytes = 0;

  constructor(
    private readonly graph: OpenGraph,
    private readonly limit: number,
  ) {}

  /** Includes a batch; false if there is no room for it. */
  include(batch: BatchId): boolean {
    if (this.selected.has(batch)) return true;
    const bytes = BATCH_STATE_BYTES + this.graph.batchSize(batch) * TASK_STATE_BYTES;
    const exceeds = this.bytes + bytes > MAX_COMMIT_BYTES || this.selected.size >= this.limit;
    if (this.selected.size > 0 && exceeds) return false;
    this.bytes += bytes;
    this.selected.add(batch);
    return true;
  }
}

function committedVersion(outcome: CommitOutcome): Version | null {
  return outcome.outcome === 'committed' ? (outcome.revision as number as Version) : null;
}

function jobSpecOf(graph: OpenGraph, id: JobId, shape: TaskShape, tasks: number): JobSpec {
  const { class: jobClass, team, priority } = graph.record.spec;
  return { ...jobSpecForShape(shape), id, class: jobClass, team, priority, tasks };
}
