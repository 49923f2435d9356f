/**
 * Runs task graphs on the scheduler for jobs.
 *
 * @module
 */
import type {
  ClusterState,
  LeaderTerm,
  LeaderComponent,
  LeaderComponentFactory,
} from '@spurbridge/controller';
import { RecordWatcher, WakeSignal } from '@spurbridge/controller';
import type { Job } from '@spurbridge/model';
import type { GraphTaskId, Revision } from '@spurbridge/wire';
import { GraphCancellation } from './cancellation.js';
import { CommitFailureHandler } from './commit-failure.js';
import type { GraphControllerState } from './controller-state.js';
import { RETRY_DELAY_MS } from './controller-state.js';
import type { CotaskReference } from './cotask.js';
import { CotaskRegistry } from './cotask.js';
import { CotaskSubmitter } from './cotask-submitter.js';
import { GraphLoader } from './graph-loader.js';
import { GRAPH_PREFIX } from './keys.js';
import type { OpenGraph } from './open-graph.js';
import { GraphRecordReceiver, inDependencyOrder } from './record-receiver.js';
import { GraphRecordWriter } from './record-writer.js';

/** Pause between two rounds of submitting and writing, in milliseconds. */
const ROUND_PAUSE_MS = 100;
/** Maximum time between two rounds, in milliseconds. */
const MAX_IDLE_MS = 1000;

/** A task of a graph in the cotask that it was submitted in. */
interface SubmittedTask {
  readonly graph: OpenGraph;
  readonly task: GraphTaskId;
}

/**
 * Submits ready tasks of one shape as a job array, called a cotask. Records, quotas and ordering apply to it
 * as to any other job. The outcome of each task is durable before the job's own records are deleted.
 */
class GraphController implements LeaderComponent {
  private readonly state: GraphControllerState;
  private readonly watcher: RecordWatcher;
  private readonly cancellation: GraphCancellation;
  private readonly receiver: GraphRecordReceiver;
  private readonly loader: GraphLoader;
  private readonly submitter: CotaskSubmitter;
  private readonly writer: GraphRecordWriter;
  private loadedRevision: Revision | null = null;

  constructor(term: LeaderTerm, cluster: ClusterState) {
    this.state = {
      term,
      cluster,
      graphs: new Map(),
      cotasks: new CotaskRegistry(),
      wakeUp: new WakeSignal(),
    };
    this.watcher = new RecordWatcher(term, GRAPH_PREFIX);
    this.cancellation = new GraphCancellation(cluster);
    this.receiver = new GraphRecordReceiver(this.state, this.cancellation);
    this.loader = new GraphLoader(this.state, this.receiver, this.cancellation);
    const failures = new CommitFailureHandler(this.state, this.receiver);
    this.submitter = new CotaskSubmitter(this.state, this.cancellation, failures);
    this.writer = new GraphRecordWriter(this.state, failures);
    cluster.on('taskRemoved', (job, placement, isDone, reason) => {
      this.onTaskRemoved(job, placement.task, isDone, reason);
    });
    cluster.on('jobReleased', (job) => {
      this.onJobReleased(job);
    });
  }

  // --- leader component ------------------------------------------------------------------------

  /** A cotask is scheduled only once its tasks are known. */
  isSchedulable(job: Job): boolean {
    return this.state.cotasks.isRunnable(job);
  }

  /** A cotask whose tasks are all done may be closed only once their outcomes are durable. */
  mayClose(job: Job): boolean {
    const reference = this.state.cotasks.find(job.spec.id);
    return reference === undefined || this.graphOf(reference)?.isCotaskRecorded(reference.cotask) !== false;
  }

  /** Whether all cancellations of graphs that were confirmed to clients are known here. */
  get isFresh(): boolean {
    return this.watcher.isFresh;
  }

  async restore(): Promise<void> {
    const { term, graphs, cotasks } = this.state;
    const { clock, log } = term.context;
    while (term.isActive) {
      const startedAt = clock.now();
      const revision = await this.loader.loadAll();
      if (revision !== null) {
        this.watcher.markReadAt(startedAt);
        this.loadedRevision = revision;
        log.info({ graphs: graphs.size }, 'graphs restored');
        return;
      }
      graphs.clear();
      cotasks.clear();
      await clock.sleep(RETRY_DELAY_MS);
    }
  }

  async run(): Promise<void> {
    await Promise.all([this.watch(), this.runRounds()]);
  }

  // --- events ----------------------------------------------------------------------------------

  private graphOf({ graph }: CotaskReference): OpenGraph | undefined {
    return this.state.graphs.get(graph);
  }

  /** The graph task that a task of a job array represents, or null if there is none any more. */
  private submittedTask(job: Job, taskIndex: number): SubmittedTask | null {
    const reference = this.state.cotasks.find(job.spec.id);
    if (reference === undefined) return null;
    const graph = this.graphOf(reference);
    const task = graph?.cotasks.get(reference.cotask)?.[taskIndex];
    if (graph === undefined || task === undefined) return null;
    return graph.isAssignedTo(task, reference.cotask) ? { graph, task } : null;
  }

  /** Records that a task of a job array is no longer on its machine. */
  private onTaskRemoved(job: Job, taskIndex: number, isDone: boolean, reason: string): void {
    const submitted = this.submittedTask(job, taskIndex);
    if (submitted === null) {
      // The task was abandoned while possibly on a machine, and is now proven to be on none.
      if (job.graph !== null && !isDone) this.state.cluster.abandonTask(job, taskIndex);
      return;
    }
    const { graph, task } = submitted;
    if (isDone) {
      graph.assignments.delete(task);
      graph.tasks.markDone(task);
    } else if (graph.tasks.state(task) === 'cancelling') {
      graph.assignments.delete(task);
      graph.tasks.markStopped(task);
      this.state.cluster.abandonTask(job, taskIndex);
    } else if (reason === 'error') this.onTaskFailed(submitted, job, taskIndex);
    graph.collectChanges();
    this.state.wakeUp.notify();
  }

  /** Keeps a task that is retried in its cotask, and withdraws one that has ended or must wait for inputs. */
  private onTaskFailed({ graph, task }: SubmittedTask, job: Job, taskIndex: number): void {
    graph.tasks.markFailed(task);
    if (graph.tasks.state(task) === 'ready') {
      graph.tasks.markSubmitted(task);
      return;
    }
    graph.assignments.delete(task);
    this.state.cluster.abandonTask(job, taskIndex);
  }

  private onJobReleased(job: Job): void {
    if (job.graph === null) return;
    this.state.cotasks.markFinished(job.spec.id);
    this.state.wakeUp.notify();
  }

  // --- loops -----------------------------------------------------------------------------------

  private async watch(): Promise<void> {
    if (this.loadedRevision === null) return;
    await this.watcher.run(this.loadedRevision, (items, isComplete) => {
      for (const item of isComplete ? inDependencyOrder(items) : items) this.receiver.receive(item);
      this.state.wakeUp.notify();
    });
  }

  /** Writes are sequential, because each compares with the versions left by the previous one. */
  private async runRounds(): Promise<void> {
    const { term, graphs, wakeUp } = this.state;
    const { clock, leadership } = term.context;
    while (term.isActive) {
      await wakeUp.wait(clock, MAX_IDLE_MS);
      if (!term.isActive) return;
      if (leadership.holdsValidLease()) {
        for (const graph of [...graphs.values()]) {
          await this.advance(graph);
          if (!term.isActive) return;
        }
        await this.writer.deleteFinishedCotasks();
      }
      await clock.sleep(ROUND_PAUSE_MS);
    }
  }

  private async advance(graph: OpenGraph): Promise<void> {
    const { term } = this.state;
    await this.submitter.submitReady(graph);
    if (!term.isActive) return;
    await this.writer.writeBatchStates(graph);
    if (!term.isActive) return;
    await this.writer.deleteAppliedUpdates(graph);
    if (term.isActive && graph.isReadyToFinish) await this.writer.finish(graph);
  }
}

/** Creates the leader component that runs task graphs. */
export function graphControllerFactory(): LeaderComponentFactory {
  return (term, cluster) => new GraphController(term, cluster);
}
