/**
 * Estimated time of the longest chain of tasks that begins with each task of a graph.
 *
 * @module
 */
import type { TaskTable } from './task-table.js';

/** Computes the lengths when they are asked for, after tasks were added. */
export class CriticalPaths {
  /** Seconds, by index of the task. */
  private lengths = new Float64Array();

  constructor(private readonly table: TaskTable) {}

  /** Seconds that the longest chain from the task on takes, its own run included. */
  lengthS(index: number): number {
    if (this.lengths.length !== this.table.size) this.compute();
    return this.lengths[index] as number;
  }

  /** For all tasks at once: a batch at the end of a long chain lengthens every chain before it. */
  private compute(): void {
    const { size } = this.table;
    this.lengths = new Float64Array(size);
    for (let index = 0; index < size; index += 1) this.lengths[index] = this.table.at(index).shape.estimateS;
    // Tasks mostly take results of earlier ones, so that one pass from the end is enough; within a batch they
    // may take results of later ones.
    let needsAnotherPass = true;
    while (needsAnotherPass) needsAnotherPass = this.relax();
  }

  /** Extends chains by one pass from the last task to the first; whether another pass is needed. */
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
