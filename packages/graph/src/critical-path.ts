/**
 * The critical path: for each task of a graph, the estimated time of the longest chain of tasks that begins
 * with it.
 *
 * @module
 */
import type { TaskTable } from './task-table.js';

/** Caches the path lengths, and recomputes them on request after tasks were added. */
export class CriticalPaths {
  /** Seconds, by index of the task. */
  private lengths = new Float64Array();

  constructor(private readonly table: TaskTable) {}

  /** Seconds of the longest chain that begins with the task, including its own run. */
  lengthS(index: number): number {
    if (this.lengths.length !== this.table.size) this.compute();
    return this.lengths[index] as number;
  }

  /** Recomputes all tasks at once, because a batch at the end of a chain lengthens every chain before it. */
  private compute(): void {
    const { size } = this.table;
    this.lengths = new Float64Array(size);
    for (let index = 0; index < size; index += 1) this.lengths[index] = this.table.at(index).shape.estimateS;
    // Tasks mostly depend on earlier ones, so one pass from the end is usually enough; only within a batch
    // may a task depend on a later one.
    let needsAnotherPass = true;
    while (needsAnotherPass) needsAnotherPass = this.relax();
  }

  /**
   * Relaxes the chains in one pass from the last task to the first; returns whether another pass is needed.
   */
  private relax(): boolean {
    let needsAnotherPass = false;
    for (let index = this.table.size - 1; index >= 0; index -= 1)
      for (const dependency of this.table.at(index).dependencies) {
        const lengthS = this.table.at(dependency).shape.estimateS + (this.lengths[index] as number);
        if (lengthS <= (this.lengths[dependency] as number)) continue;
        this.lengths[dependency] = lengthS;
        if (dependency > index) needsAnotherPass = true;
      }
    return needsAnotherPass;
  }
}
