/**
 * Cancels tasks of graphs, and stops those that were submitted to the scheduler.
 *
 * @module
 */
import type { ClusterState } from '@spurbridge/controller';
import type { GraphTaskId } from '@spurbridge/wire';
import { parseGraphTaskId } from '@spurbridge/wire';
import { cotaskJobId } from './cotask.js';
import type { OpenGraph } from './open-graph.js';

/** Executes the cancellations that graph records request. */
export class GraphCancellation {
  constructor(private readonly cluster: ClusterState) {}

  /** Cancels what the graph's record requests, for all known batches. Idempotent. */
  apply(graph: OpenGraph): void {
    const { record, tasks } = graph;
    if (record.summary !== null) return;
    const known = record.cancelledSubtrees.filter((subtree) =>
      tasks.hasBatch(parseGraphTaskId(subtree.task).batch),
    );
    const submitted =
      record.phase === 'cancelled'
        ? tasks.cancelAll()
        : known.flatMap((subtree) => tasks.cancel([subtree.task], subtree.recursive));
    for (const task of submitted) this.stop(graph, task);
    graph.collectChanges();
  }

  /**
   * Stops a cancelled task. It stays in the cancelling state until it is proven to be on no machine, which is
   * immediately if it has no placement.
   */
  stop(graph: OpenGraph, task: GraphTaskId): void {
    const assignment = graph.assignments.get(task);
    const job =
      assignment === undefined ? undefined : this.cluster.jobs.get(cotaskJobId(graph.id, assignment.cotask));
    if (assignment === undefined || job === undefined) {
      graph.tasks.markStopped(task);
      return;
    }
    if (!job.placements.has(assignment.taskIndex)) {
      graph.assignments.delete(task);
      graph.tasks.markStopped(task);
    }
    this.cluster.abandonTask(job, assignment.taskIndex);
  }
}
