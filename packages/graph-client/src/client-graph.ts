/**
 * One graph as its client sees it: functions make futures, and futures as arguments make the dependencies.
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

/** A task that was asked for. Given to another one as an argument, it runs before that. */
export interface Future {
  readonly task: GraphTaskId;
}

/** Which of some tasks have ended. */
export interface WaitResult {
  /** Those that have ended, in whatever way. */
  readonly ready: Future[];
  readonly pending: Future[];
}

/** A change of what is known of results. */
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

  /** A function whose calls are tasks; its arguments are the tasks whose results it takes. */
  remote(options: TaskOptions): (...args: readonly Future[]) => Future {
    return (...args) => {
      const after = [...new Set(tasksOf(args))];
      return { task: this.batches.add(options, after) };
    };
  }

  /** Resolves when everything asked for so far is durably accepted. */
  async flush(): Promise<void> {
    await this.batches.flush();
  }

  /** Nothing more will be asked for: the graph ends with its tasks. */
  async seal(): Promise<void> {
    await this.flush();
    await this.requests.post(`${this.path}/seal`, {});
  }

  /** Phase of the graph and counts of its tasks, as the server tells them. */
  async status(signal?: AbortSignal): Promise<ResponseBody> {
    return this.requests.get(this.path, signal);
  }

  /**
   * Cancels tasks and all that waits for them, or without any the whole graph.
   *
   * @param recursive also what they spawned
   */
  async cancel(futures?: readonly Future[], recursive = true): Promise<void> {
    await this.flush();
    const body = futures === undefined ? {} : { tasks: tasksOf(futures), recursive };
    await this.requests.post(`${this.path}/cancel`, body);
  }

  // --- results ---------------------------------------------------------------------------------

  /** Reports results that are gone from where they were kept: their tasks run again, if they are needed. */
  async lost(futures: readonly Future[]): Promise<void> {
    await this.updateResults({ lost: tasksOf(futures) });
    for (const future of futures) this.finalStates.forget(future.task);
  }

  /** Keeps results although no task waits for them, until they are released. */
  async hold(futures: readonly Future[]): Promise<void> {
    await this.updateResults({ hold: tasksOf(futures) });
  }

  /** Ends a hold. */
  async release(futures: readonly Future[]): Promise<void> {
    await this.updateResults({ release: tasksOf(futures) });
  }

  private async updateResults(update: ResultUpdate): Promise<void> {
    await this.flush();
    const note = randomBytes(12).toString('hex');
    await this.requests.post(`${this.path}/results`, { note, ...update });
  }

  // --- waiting ---------------------------------------------------------------------------------

  /**
   * Waits until `count` of the tasks have ended, in whatever way.
   *
   * @returns which have ended, and which have not when enough of them have or the time is over
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

  /** Yields the tasks as they are done, in the order in which they end. Throws as `get` does. */
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
      // The records of a graph that has ended are deleted, and the reason with them.
      return new TaskFailedError(this.id, task, 'over', [task], { cause: error });
    }
  }
}

function tasksOf(futures: readonly Future[]): GraphTaskId[] {
  return futures.map((future) => future.task);
}
