import { createHash, randomBytes } from 'node:crypto';
import type { BatchId, GraphTaskId, JobPriority } from '@spurbridge/wire';
import { MAX_BATCH_TASKS, formatGraphTaskId, parseGraphTaskId } from '@spurbridge/wire';
import type { RetryOptions, Transport } from './transport.js';
import { RefusedError, httpTransport, request } from './transport.js';

export { RefusedError, httpTransport } from './transport.js';
export type { Reply, Transport } from './transport.js';

/** What a task takes; everything but these three has a usual value. */
export interface TaskOptions {
  readonly cpus: number;
  readonly image: string;
  /** Seconds that one run is thought to take. */
  readonly estimateS: number;
  readonly gpus?: number;
  readonly memoryGb?: number;
  readonly imageGb?: number;
  readonly retries?: number;
  readonly spot?: boolean;
}

export interface ClientOptions {
  /** Such as `http://127.0.0.1:8080`; tried in turn. */
  readonly servers: readonly string[];
  readonly patienceMs?: number;
  /** Milliseconds between two looks at what has become of tasks. */
  readonly pollMs?: number;
  readonly transport?: Transport;
  readonly sleep?: (ms: number) => Promise<void>;
  readonly now?: () => number;
}

/** A task that was asked for. Given to another one as an argument, it is run before that. */
export interface Future {
  readonly task: GraphTaskId;
}

export class TaskFailedError extends Error {
  constructor(
    readonly graph: string,
    readonly task: GraphTaskId,
    readonly kind: string,
    /** From the task that failed first to this one. */
    readonly chain: readonly GraphTaskId[],
  ) {
    super(
      chain.length > 1
        ? `${graph}: ${task} cannot run, since ${chain[0]} failed (${chain.join(' -> ')})`
        : `${graph}: ${task} failed`,
    );
  }
}

export class TaskCancelledError extends Error {
  constructor(
    readonly graph: string,
    readonly task: GraphTaskId,
  ) {
    super(`${graph}: ${task} was cancelled`);
  }
}

interface Asked {
  readonly options: TaskOptions;
  readonly after: readonly GraphTaskId[];
  readonly held: boolean;
}

const PATIENCE_MS = 60_000;
const POLL_MS = 1000;

/** Creates graphs on a cluster. */
export class GraphClient {
  private readonly o: RetryOptions;

  constructor(private readonly options: ClientOptions) {
    this.o = {
      servers: options.servers,
      transport: options.transport ?? httpTransport,
      patienceMs: options.patienceMs ?? PATIENCE_MS,
      sleep: options.sleep ?? ((ms) => new Promise((resolve) => setTimeout(resolve, ms))),
      now: options.now ?? (() => performance.now()),
      random: Math.random,
    };
  }

  /** Creates a graph, or goes on with one of that name, team, class and priority. */
  async graph(head: {
    readonly name?: string;
    readonly team: string;
    readonly class: string;
    readonly priority?: JobPriority;
  }): Promise<ClientGraph> {
    const id = `gr-${head.name ?? randomBytes(8).toString('hex')}`;
    await request(this.o, 'POST', '/graphs', {
      graph: id,
      team: head.team,
      class: head.class,
      priority: head.priority ?? 'normal',
    });
    return new ClientGraph(id, this.o, this.options.pollMs ?? POLL_MS, null);
  }

  /** The graph that a running task belongs to: what it asks for is spawned by it, the same on every run. */
  within(graph: string, task: GraphTaskId): ClientGraph {
    return new ClientGraph(graph, this.o, this.options.pollMs ?? POLL_MS, task);
  }
}

/** One graph: functions make futures, futures as arguments make the edges. */
export class ClientGraph {
  private asked: Asked[] = [];
  private sent = 0;
  private readonly session: string;
  /** What is known of tasks for good. */
  private readonly known = new Map<GraphTaskId, string>();
  private flushing: Promise<void> = Promise.resolve();

  constructor(
    readonly id: string,
    private readonly o: RetryOptions,
    private readonly pollMs: number,
    private readonly parent: GraphTaskId | null,
  ) {
    // A task that is run again asks under the same names; a client that starts anew under others.
    this.session =
      parent === null
        ? randomBytes(8).toString('hex')
        : `s${createHash('sha256').update(parent).digest('hex').slice(0, 24)}`;
  }

  private batchName(n: number): BatchId {
    return `${this.session}~${n}` as BatchId;
  }

  /** A function whose calls are tasks; its arguments are the tasks whose results it takes. */
  remote(options: TaskOptions): (...args: readonly Future[]) => Future {
    return (...args) => {
      const after = [...new Set(args.map((a) => a.task))];
      const task = formatGraphTaskId(this.batchName(this.sent), this.asked.length);
      this.asked.push({ options, after, held: false });
      if (this.asked.length === MAX_BATCH_TASKS) this.close();
      return { task };
    };
  }

  /** The batch is full, or wanted: what comes next belongs to the next one. */
  private close(): void {
    if (this.asked.length === 0) return;
    const asked = this.asked;
    const batch = this.batchName(this.sent);
    this.asked = [];
    this.sent += 1;
    this.flushing = this.flushing.then(() => this.send(batch, asked));
    // Whoever flushes next is told of an error; until then it is nobody's.
    this.flushing.catch(() => undefined);
  }

  private async send(batch: BatchId, asked: readonly Asked[]): Promise<void> {
    const shapes: TaskOptions[] = [];
    const shapeOf = new Map<string, number>();
    const tasks = asked.map((a) => {
      const key = JSON.stringify(a.options);
      let shape = shapeOf.get(key);
      if (shape === undefined) {
        shape = shapes.push(a.options) - 1;
        shapeOf.set(key, shape);
      }
      const after = a.after.map((t) => (parseGraphTaskId(t).batch === batch ? parseGraphTaskId(t).task : t));
      return a.held ? [shape, after, true] : [shape, after];
    });
    await request(this.o, 'POST', `/graphs/${this.id}/tasks`, { batch, parent: this.parent, shapes, tasks });
  }

  /** Everything asked for so far is accepted for good. */
  async flush(): Promise<void> {
    this.close();
    await this.flushing;
  }

  /** Nothing more will be asked for: the graph ends with its tasks. */
  async seal(): Promise<void> {
    await this.flush();
    await request(this.o, 'POST', `/graphs/${this.id}/seal`, {});
  }

  async status(signal?: AbortSignal): Promise<Readonly<Record<string, unknown>>> {
    return request(this.o, 'GET', `/graphs/${this.id}`, undefined, signal);
  }

  /**
   * Cancels tasks and all that waits for them, or without any the whole graph.
   *
   * @param recursive also what they spawned
   */
  async cancel(futures?: readonly Future[], recursive = true): Promise<void> {
    await this.flush();
    const body = futures === undefined ? {} : { tasks: futures.map((f) => f.task), recursive };
    await request(this.o, 'POST', `/graphs/${this.id}/cancel`, body);
  }

  /** Results that are gone from where they were kept: whoever made them runs again, if they are needed. */
  async lost(futures: readonly Future[]): Promise<void> {
    await this.note({ lost: futures.map((f) => f.task) });
    for (const f of futures) this.known.delete(f.task);
  }

  /** Keeps results although no task waits for them, until they are released. */
  async hold(futures: readonly Future[]): Promise<void> {
    await this.note({ hold: futures.map((f) => f.task) });
  }

  async release(futures: readonly Future[]): Promise<void> {
    await this.note({ release: futures.map((f) => f.task) });
  }

  private async note(what: Record<string, readonly GraphTaskId[]>): Promise<void> {
    await this.flush();
    const note = randomBytes(12).toString('hex');
    await request(this.o, 'POST', `/graphs/${this.id}/results`, { note, ...what });
  }

  private async look(tasks: readonly GraphTaskId[], signal?: AbortSignal): Promise<void> {
    const wanted = new Map<BatchId, Set<number>>();
    for (const t of tasks) {
      if (this.known.has(t)) continue;
      const { batch, task } = parseGraphTaskId(t);
      wanted.set(batch, (wanted.get(batch) ?? new Set()).add(task));
    }
    for (const [batch, positions] of wanted)
      while (positions.size > 0) {
        const from = Math.min(...positions);
        let page;
        try {
          page = await request(
            this.o,
            'GET',
            `/graphs/${this.id}/tasks/${batch}?from=${from}`,
            undefined,
            signal,
          );
        } catch (e) {
          if (e instanceof RefusedError && e.status === 404) {
            await this.lookAtEnd(batch, positions, signal);
            break;
          }
          throw e;
        }
        for (const row of page['tasks'] as { task: GraphTaskId; state: string }[]) {
          positions.delete(parseGraphTaskId(row.task).task);
          if (['done', 'failed', 'cancelled'].includes(row.state)) this.known.set(row.task, row.state);
        }
      }
  }

  /** The graph is over and its tasks' records are gone: how it ended says how they did, where all did alike. */
  private async lookAtEnd(batch: BatchId, positions: Iterable<number>, signal?: AbortSignal): Promise<void> {
    const { phase } = await this.status(signal);
    if (phase === 'open' || phase === 'sealed')
      throw new RefusedError(404, `${this.id}: no such batch: ${batch}`);
    for (const n of positions)
      this.known.set(
        formatGraphTaskId(batch, n),
        phase === 'done' ? 'done' : phase === 'cancelled' ? 'cancelled' : 'over',
      );
  }

  /**
   * Waits until `count` of the tasks are over, however they ended.
   *
   * @returns those that are, and those that are not (when the time ran out first)
   */
  async wait(
    futures: readonly Future[],
    count = futures.length,
    timeoutMs = Infinity,
    signal?: AbortSignal,
  ): Promise<{ readonly ready: Future[]; readonly pending: Future[] }> {
    await this.flush();
    const until = this.o.now() + timeoutMs;
    for (;;) {
      await this.look(
        futures.map((f) => f.task),
        signal,
      );
      const ready = futures.filter((f) => this.known.has(f.task));
      if (ready.length >= count || this.o.now() >= until)
        return { ready, pending: futures.filter((f) => !this.known.has(f.task)) };
      signal?.throwIfAborted();
      await this.o.sleep(Math.min(this.pollMs, Math.max(1, until - this.o.now())));
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
    for await (const f of this.results(all, signal)) void f;
  }

  /** The tasks as they are done, whichever is first. Throws as `get` does. */
  async *results(futures: readonly Future[], signal?: AbortSignal): AsyncGenerator<Future> {
    let pending = [...futures];
    while (pending.length > 0) {
      const seen = await this.wait(pending, 1, Infinity, signal);
      for (const f of seen.ready) {
        const state = this.known.get(f.task);
        if (state === 'cancelled') throw new TaskCancelledError(this.id, f.task);
        if (state !== 'done') throw await this.failure(f.task);
        yield f;
      }
      pending = seen.pending;
    }
  }

  private async failure(task: GraphTaskId): Promise<TaskFailedError> {
    try {
      const why = await request(this.o, 'GET', `/graphs/${this.id}/failures/${task}`, undefined);
      return new TaskFailedError(this.id, task, String(why['failure']), why['chain'] as GraphTaskId[]);
    } catch {
      return new TaskFailedError(this.id, task, 'over', [task]);
    }
  }
}
