/**
 * Collects the tasks that a client creates, and sends them in batches.
 *
 * @module
 */
import { createHash, randomBytes } from 'node:crypto';
import type { BatchId, GraphTaskId } from '@spurbridge/wire';
import { MAX_BATCH_TASKS, formatGraphTaskId, parseGraphTaskId } from '@spurbridge/wire';
import type { RequestSender } from './requests.js';

/** Properties of a task; only the first three are required. */
export interface TaskOptions {
  readonly cpus: number;
  readonly image: string;
  /** Seconds that one run is estimated to take. */
  readonly estimateS: number;
  readonly gpus?: number;
  readonly memoryGb?: number;
  readonly imageGb?: number;
  readonly retries?: number;
  readonly spot?: boolean;
}

interface RequestedTask {
  readonly options: TaskOptions;
  readonly after: readonly GraphTaskId[];
}

/** Names batches, fills them one after the other, and sends each once. */
export class BatchSender {
  private requested: RequestedTask[] = [];
  private closedBatches = 0;
  private sending: Promise<void> = Promise.resolve();
  private readonly namePrefix: string;

  constructor(
    private readonly graph: string,
    private readonly requests: RequestSender,
    private readonly parent: GraphTaskId | null,
  ) {
    this.namePrefix = parent === null ? randomBytes(8).toString('hex') : spawnPrefix(parent);
  }

  private batchName(index: number): BatchId {
    return `${this.namePrefix}~${index}` as BatchId;
  }

  /** Adds a task to the current batch, and sends the batch once it is full. */
  add(options: TaskOptions, after: readonly GraphTaskId[]): GraphTaskId {
    const task = formatGraphTaskId(this.batchName(this.closedBatches), this.requested.length);
    this.requested.push({ options, after });
    if (this.requested.length === MAX_BATCH_TASKS) this.close();
    return task;
  }

  /** Sends all added tasks, and waits until all batches are accepted. */
  async flush(): Promise<void> {
    this.close();
    await this.sending;
  }

  private close(): void {
    if (this.requested.length === 0) return;
    const tasks = this.requested;
    const batch = this.batchName(this.closedBatches);
    this.requested = [];
    this.closedBatches += 1;
    this.sending = this.sending.then(() => this.send(batch, tasks));
    // The next flush throws the error; until then the promise must not count as an unhandled rejection.
    this.sending.catch(() => undefined);
  }

  private async send(batch: BatchId, requested: readonly RequestedTask[]): Promise<void> {
    const shapes: TaskOptions[] = [];
    const shapeIndices = new Map<string, number>();
    const tasks = requested.map(({ options, after }) => {
      const key = JSON.stringify(options);
      const shape = shapeIndices.get(key) ?? shapes.push(options) - 1;
      shapeIndices.set(key, shape);
      return [shape, after.map((task) => relativeTo(batch, task))];
    });
    await this.requests.post(`/graphs/${this.graph}/tasks`, { batch, parent: this.parent, shapes, tasks });
  }
}

/** The prefix of the batch names of a task. It is the same on every run, so that nothing is spawned twice. */
function spawnPrefix(parent: GraphTaskId): string {
  return `s${createHash('sha256').update(parent).digest('hex').slice(0, 24)}`;
}

/** The position of a task of the same batch, otherwise its full id. */
function relativeTo(batch: BatchId, id: GraphTaskId): GraphTaskId | number {
  const reference = parseGraphTaskId(id);
  return reference.batch === batch ? reference.task : id;
}
