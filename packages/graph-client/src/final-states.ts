/**
 * Final states of a graph's tasks.
 *
 * @module
 */
import type { BatchId, GraphTaskId } from '@spurbridge/wire';
import { formatGraphTaskId, parseGraphTaskId } from '@spurbridge/wire';
import { RefusedError } from './errors.js';
import type { RequestSender, ResponseBody } from './requests.js';

/** How a task ended; `over`: the graph has ended, and how this task ended is no longer recorded. */
export type FinalState = 'done' | 'failed' | 'cancelled' | 'over';

const NOT_FOUND = 404;

/** One task of a page of a batch's tasks. */
interface ListedTask {
  readonly task: GraphTaskId;
  readonly state: string;
}

/** Queries the states of tasks, and caches the final ones. */
export class FinalStates {
  private readonly states = new Map<GraphTaskId, FinalState>();

  constructor(
    private readonly graph: string,
    private readonly requests: RequestSender,
  ) {}

  /** How a task ended, if known. */
  get(task: GraphTaskId): FinalState | undefined {
    return this.states.get(task);
  }

  /** Discards the final state of a task that may run again. */
  forget(task: GraphTaskId): void {
    this.states.delete(task);
  }

  /** Queries the states of those tasks that are not known to have ended. */
  async update(tasks: readonly GraphTaskId[], signal?: AbortSignal): Promise<void> {
    const positionsByBatch = new Map<BatchId, Set<number>>();
    for (const id of tasks) {
      if (this.states.has(id)) continue;
      const { batch, task } = parseGraphTaskId(id);
      positionsByBatch.set(batch, (positionsByBatch.get(batch) ?? new Set()).add(task));
    }
    for (const [batch, positions] of positionsByBatch) await this.updateBatch(batch, positions, signal);
  }

  private async updateBatch(batch: BatchId, positions: Set<number>, signal?: AbortSignal): Promise<void> {
    while (positions.size > 0) {
      const page = await this.readPage(batch, Math.min(...positions), signal);
      if (page === null) return this.updateFromPhase(batch, positions, signal);
      for (const { task, state } of page['tasks'] as readonly ListedTask[]) {
        positions.delete(parseGraphTaskId(task).task);
        if (state === 'done' || state === 'failed' || state === 'cancelled') this.states.set(task, state);
      }
    }
  }

  /** A page of the batch's tasks, or null if the server has no records of the batch. */
  private async readPage(batch: BatchId, from: number, signal?: AbortSignal): Promise<ResponseBody | null> {
    try {
      return await this.requests.get(`/graphs/${this.graph}/tasks/${batch}?from=${from}`, signal);
    } catch (error) {
      if (error instanceof RefusedError && error.status === NOT_FOUND) return null;
      throw error;
    }
  }

  /**
   * Derives final states from the phase of a graph that has ended, because its tasks' records are deleted. The
   * phase shows how a task ended only if all tasks ended alike.
   */
  private async updateFromPhase(
    batch: BatchId,
    positions: Iterable<number>,
    signal?: AbortSignal,
  ): Promise<void> {
    const { phase } = await this.requests.get(`/graphs/${this.graph}`, signal);
    if (phase === 'open' || phase === 'sealed')
      throw new RefusedError(NOT_FOUND, `${this.graph}: no such batch: ${batch}`);
    const state = phase === 'done' || phase === 'cancelled' ? phase : 'over';
    for (const position of positions) this.states.set(formatGraphTaskId(batch, position), state);
  }
}
