/**
 * Propagates changes of tasks and results through a graph. Tasks become ready when their dependencies are met, end
 * when a dependency fails or when a dependency or their parent is cancelled, and run again when their lost or dropped
 * result is needed.
 *
 * @module
 */
import type { TaskEntry } from './task-entry.js';
import { NO_TASK } from './task-entry.js';
import type { FailureKind, TaskState } from './task-state.js';
import { isCancelled, isPending, isTerminal } from './task-state.js';
import type { TaskTable } from './task-table.js';

/** A task that will end without a result. */
interface PendingEnd {
  readonly index: number;
  readonly endedBy: number;
  readonly failure: FailureKind | null;
}

/** Applies changes to the tasks of a table, and propagates them to dependent and spawned tasks. */
export class TaskLifecycle {
  /** Results that became unreferenced since {@link takeDropped} was last called. */
  private dropped: number[] = [];

  constructor(private readonly table: TaskTable) {}

  /** The only function that changes a task's state. */
  transition(index: number, next: TaskState): void {
    const entry = this.table.at(index);
    const previous = entry.state;
    if (previous === next) return;
    this.table.setState(index, next);
    if (isTerminal(previous) === isTerminal(next)) return;
    for (const dependency of entry.dependencies) {
      this.table.at(dependency).pendingDependents += isTerminal(next) ? -1 : 1;
      if (isTerminal(next)) this.dropIfUnneeded(dependency);
    }
  }

  /** Derives from its dependencies whether a task that is not submitted is waiting or ready. */
  private updateReadiness(index: number): void {
    const { state, missingInputs } = this.table.at(index);
    if (state === 'waiting' && missingInputs === 0) this.transition(index, 'ready');
    else if (state === 'ready' && missingInputs > 0) this.transition(index, 'waiting');
  }

  /** A submitted task leaves its cotask: it becomes ready, or waits for results that were lost meanwhile. */
  returnToPending(index: number): void {
    this.transition(index, this.table.at(index).missingInputs > 0 ? 'waiting' : 'ready');
  }

  // --- new tasks -------------------------------------------------------------------------------

  /** Ends those new tasks that can never run, and makes the others ready whose dependencies are met. */
  activate(indices: readonly number[]): void {
    // Tasks that can never run are ended first, so that no lost result is recomputed for them.
    for (const index of indices) this.endIfUnrunnable(index);
    for (const index of indices) {
      if (this.table.at(index).state !== 'waiting') continue;
      for (const dependency of this.table.at(index).dependencies) this.recompute(dependency);
      this.updateReadiness(index);
    }
  }

  private endIfUnrunnable(index: number): void {
    const { state, parent, dependencies } = this.table.at(index);
    if (state !== 'waiting') return;
    if (parent !== NO_TASK && isCancelled(this.table.at(parent).state)) {
      this.end(index, 'cancelled', parent, null);
      return;
    }
    for (const dependency of dependencies) {
      const input = this.table.at(dependency);
      if (input.state === 'failed') return this.end(index, 'failed', dependency, 'upstream');
      if (isCancelled(input.state)) return this.end(index, 'cancelled', dependency, null);
    }
  }

  // --- ends of tasks ---------------------------------------------------------------------------

  /** Ends a task without a result, and with it every task that waits for that result. */
  end(
    first: number,
    state: 'failed' | 'cancelled',
    endedBy: number = NO_TASK,
    failure: FailureKind | null = null,
  ): void {
    const work: PendingEnd[] = [{ index: first, endedBy, failure }];
    for (let next = work.pop(); next !== undefined; next = work.pop()) {
      const { index } = next;
      const entry = this.table.at(index);
      // A submitted dependent has its inputs already, and an ended one does not change.
      if (index !== first && !isPending(entry.state)) continue;
      entry.endedBy = next.endedBy;
      entry.failure = next.failure;
      this.transition(index, state);
      const reason = state === 'failed' ? 'upstream' : null;
      for (const dependent of entry.dependents)
        work.push({ index: dependent, endedBy: index, failure: reason });
    }
  }

  /**
   * Cancels tasks, those that wait for them and, if `recursive`, those that they spawned.
   *
   * @returns those that may be on machines: they are cancelling until proven to be on none
   */
  cancel(indices: readonly number[], recursive: boolean): number[] {
    const work = [...indices];
    const seen = new Set(indices);
    const submitted: number[] = [];
    for (let index = work.pop(); index !== undefined; index = work.pop()) {
      const { state, children } = this.table.at(index);
      if (state === 'submitted') {
        this.cancelSubmitted(index);
        submitted.push(index);
      } else if (isPending(state)) this.end(index, 'cancelled');
      if (!recursive) continue;
      for (const child of children) {
        if (!seen.has(child)) work.push(child);
        seen.add(child);
      }
    }
    return submitted;
  }

  private cancelSubmitted(index: number): void {
    this.transition(index, 'cancelling');
    for (const dependent of this.table.at(index).dependents)
      if (isPending(this.table.at(dependent).state)) this.end(dependent, 'cancelled', index);
  }

  // --- results ---------------------------------------------------------------------------------

  private isNeeded({ isHeld, pendingDependents }: TaskEntry): boolean {
    return isHeld || pendingDependents > 0;
  }

  /** Completes the task and makes its result available. */
  storeResult(index: number): void {
    const entry = this.table.at(index);
    entry.result = 'kept';
    for (const dependent of entry.dependents) {
      this.table.at(dependent).missingInputs -= 1;
      this.updateReadiness(dependent);
    }
    this.dropIfUnneeded(index);
  }

  private dropIfUnneeded(index: number): void {
    const entry = this.table.at(index);
    if (entry.result !== 'kept' || this.isNeeded(entry)) return;
    this.discardResult(index, 'dropped');
    this.dropped.push(index);
  }

  private discardResult(index: number, next: 'dropped' | 'lost'): void {
    const entry = this.table.at(index);
    entry.result = next;
    this.table.markChanged(index);
    for (const dependent of entry.dependents) {
      this.table.at(dependent).missingInputs += 1;
      this.updateReadiness(dependent);
    }
  }

  /** Records that a client holds or releases the result. */
  setHeld(index: number, isHeld: boolean): void {
    const entry = this.table.at(index);
    if (entry.isHeld === isHeld) return;
    entry.isHeld = isHeld;
    this.table.markChanged(index);
    if (isHeld) this.recompute(index);
    else this.dropIfUnneeded(index);
  }

  /** Records the loss of a kept result. Its task runs again, once, if the result is still needed. */
  loseResult(index: number): void {
    const entry = this.table.at(index);
    if (entry.result !== 'kept') return;
    this.discardResult(index, 'lost');
    if (this.isNeeded(entry)) this.recompute(index);
  }

  /**
   * Runs a done task whose result is lost again, after those of its dependencies whose results are lost, too.
   */
  private recompute(first: number): void {
    const work = [first];
    const restarted: number[] = [];
    for (let index = work.pop(); index !== undefined; index = work.pop()) {
      const entry = this.table.at(index);
      if (entry.state !== 'done' || entry.result === 'kept') continue;
      entry.result = 'none';
      this.transition(index, 'waiting');
      restarted.push(index);
      work.push(...entry.dependencies);
    }
    // Furthest upstream first, because whether a task can run again depends on its dependencies.
    for (const index of restarted.reverse()) this.resume(index);
  }

  /** Makes a task that runs again ready, or ends it if one of its dependencies cannot run any more. */
  private resume(index: number): void {
    const { state, dependencies } = this.table.at(index);
    if (state !== 'waiting') return;
    const unavailable = dependencies.find((dependency) => {
      const input = this.table.at(dependency);
      return input.state === 'failed' || isCancelled(input.state);
    });
    if (unavailable !== undefined) this.end(index, 'failed', unavailable, 'lineage');
    else this.updateReadiness(index);
  }

  /** Returns the results that became unreferenced since the last call. */
  takeDropped(): number[] {
    const { dropped } = this;
    this.dropped = [];
    return dropped;
  }
}
