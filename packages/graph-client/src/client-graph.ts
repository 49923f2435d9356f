/**
 * The client's view of one graph: calls of functions return futures, and futures as arguments create
 * dependencies.
 *
 * @module
 */
import { randomBytes } from 'node:crypto';
import type { GraphTaskId } from '@spurbridge/wire';
import type { TaskOptions } from './batch-sender.js';
import { BatchSender } from './batch-sender.js';
import { TaskCancelledError, TaskFailedError } from './errors.js';
import { FinalStates } from './final-states.js';
import type { RequestSender, ResponseBody } from './requests.js';

/** A created task. Passed to another one as an argument, it becomes a dependency of that one. */
export interface Future {
  readonly task: GraphTaskId;
}

/** Tasks, divided by whether they have ended. */
export interface WaitResult {
  /** Those that have ended, with any outcome. */
  readonly ready: Future[];
  readonly pending: Future[];
}

/** A client's update of results. */
interface ResultUpdate {
  readonly lost?: readonly GraphTaskId[];
  readonly hold?: readonly GraphTaskId[];
  readonly release?: readonly GraphTaskId[];
}

/** Adds tasks to a graph, waits for them and cancels them. */
export class ClientGraph {
  private readonly batches: BatchSender;
  private readonly finalStates: FinalStates;
  private readonly path: string;

  /** Use `GraphClient.graph` or `GraphClient.within`. */
  constructor(
    readonly id: string,
    private readonly requests: RequestSender,
    private readonly pollMs: number,
    parent: GraphTaskId | null,
  ) {
    this.batches = new BatchSender(id, requests, parent);
    this.finalStates = new FinalStates(id, requests);
    this.path = `/graphs/${id}`;
  }

  /** A function whose calls create tasks; its arguments are the tasks that it depends on. */
  remote(options: TaskOptions): (...args: readonly Future[]) => Future {
    return (...args) => {
      const after = [...new Set(tasksOf(args))];
      return { task: this.batches.add(options, after) };
    };
  }

  /** Resolves once all tasks created so far are durably accepted. */
  async flush(): Promise<void> {
    await this.batches.flush();
  }

  /** Seals the graph: no more tasks will be added, and it ends with its tasks. */
  async seal(): Promise<void> {
    await this.flush();
    await this.requests.post(`${this.path}/seal`, {});
  }

  /** The server's report of the graph's phase and task counts. */
  async status(signal?: AbortSignal): Promise<ResponseBody> {
    return this.requests.get(this.path, signal);
  }

  /**
   * Cancels tasks together with all tasks that wait for them; without arguments, the whole graph.
   *
   * @param recursive also cancels the tasks that they spawned
   */
  async cancel(futures?: readonly Future[], recursive = true): Promise<void> {
    await this.flush();
    const body = futures === undefined ? {} : { tasks: tasksOf(futures), recursive };
    await this.requests.post(`${this.path}/cancel`, body);
  }

  // --- results ---------------------------------------------------------------------------------

  /** Reports lost results: their tasks run again if the results are still needed. */
  async lost(futures: readonly Future[]): Promise<void> {
    await this.updateResults({ lost: tasksOf(futures) });
    for (const future of futures) this.finalStates.forget(future.task);
  }

  /** Holds results, so that they are kept without a waiting task until they are released. */
  async hold(futures: readonly Future[]): Promise<void> {
    await this.updateResults({ hold: tasksOf(futures) });
  }

  /** Releases held results. */
  async release(futures: readonly Future[]): Promise<void> {
    await this.updateResults({ release: tasksOf(futures) });
  }

  private async updateResults(update: ResultUpdate): Promise<void> {
    await this.flush();
    const note = randomBytes(12).toString('hex');
    await this.requests.post(`${this.path}/results`, { note, ...update });
  }

  // --- waiting for tasks -----------------------------------------------------------------------

  /**
   * Waits until `count` of the tasks have ended, with any outcome.
   *
   * @returns the ended and the pending tasks, once enough have ended or the timeout has passed
   */
  async wait(
    futures: readonly Future[],
    count = futures.length,
    timeoutMs = Infinity,
    signal?: AbortSignal,
  ): Promise<WaitResult> {
    await this.flush();
    const { now, sleep } = this.requests.options;
    const deadline = now() + timeoutMs;
    for (;;) {
      await this.finalStates.update(tasksOf(futures), signal);
      const hasEnded = ({ task }: Future): boolean => this.finalStates.get(task) !== undefined;
      const ready = futures.filter(hasEnded);
      if (ready.length >= count || now() >= deadline)
        return { ready, pending: futures.filter((future) => !hasEnded(future)) };
      signal?.throwIfAborted();
      await sleep(Math.min(this.pollMs, Math.max(1, deadline - now())));
    }
  }

  /**
   * Waits until the tasks are done.
   *
   * @throws TaskFailedError with the chain of tasks that led to it
   * @throws TaskCancelledError
   */
  async get(futures: Future | readonly Future[], signal?: AbortSignal): Promise<void> {
    const all = 'task' in futures ? [futures] : futures;
    for await (const future of this.results(all, signal)) void future;
  }

  /** Yields the tasks in the order in which they end. Throws the same errors as `get`. */
  async *results(futures: readonly Future[], signal?: AbortSignal): AsyncGenerator<Future> {
    let pending = [...futures];
    while (pending.length > 0) {
      const result = await this.wait(pending, 1, Infinity, signal);
      for (const future of result.ready) {
        const state = this.finalStates.get(future.task);
        if (state === 'cancelled') throw new TaskCancelledError(this.id, future.task);
        if (state !== 'done') throw await this.explainFailure(future.task);
        yield future;
      }
      pending = result.pending;
    }
  }

  private async explainFailure(task: GraphTaskId): Promise<TaskFailedError> {
    try {
      const { failure, chain } = await this.requests.get(`${this.path}/failures/${task}`);
      return new TaskFailedError(this.id, task, String(failure), chain as GraphTaskId[]);
    } catch (error) {
      // The records of an ended graph are deleted, including the reason of the failure.
      return new TaskFailedError(this.id, task, 'over', [task], { cause: error });
    }
  }
}

function tasksOf(futures: readonly Future[]): GraphTaskId[] {
  return futures.map((future) => future.task);
}
