/**
 * Writes the outcomes of graphs' tasks, and deletes obsolete records.
 *
 * @module
 */
import { jobKey } from '@spurbridge/model';
import type { CommitOutcome } from '@spurbridge/store';
import type { Version } from '@spurbridge/wire';
import type { CommitFailureHandler } from './commit-failure.js';
import type { GraphControllerState } from './controller-state.js';
import { batchKey, batchStateKey, graphKey, openGraphKey } from './keys.js';
import type { OpenGraph } from './open-graph.js';
import { BACKGROUND_PRIORITY, CLEANUP_PRIORITY, NORMAL_PRIORITY } from './priorities.js';
import type { GraphPhase, GraphRecord, GraphSummary } from './records.js';
import { encodeGraph } from './records.js';

/** Maximum number of failed tasks named in the summary of a graph. */
const MAX_SUMMARY_FAILURES = 10;

/** Writes the leader's records of graphs, each on condition that this node still leads. */
export class GraphRecordWriter {
  constructor(
    private readonly state: GraphControllerState,
    private readonly failures: CommitFailureHandler,
  ) {}

  /** Writes the states of all changed batches, in as many commits as necessary, until one fails. */
  async writeBatchStates(graph: OpenGraph): Promise<void> {
    const { term } = this.state;
    const { store, leadership, settings } = term.context;
    while (graph.changedBatches.size > 0 && term.isActive) {
      const writes = graph.batchStateWrites(graph.changedBatches, settings.storeLimits.txnOps);
      if (writes.length === 0) {
        graph.changedBatches.clear();
        return;
      }
      // Changes made during the commit require another write.
      for (const { batch } of writes) {
        graph.changedBatches.delete(batch);
        graph.batchesInFlight.add(batch);
      }
      const outcome = await store.commit(
        [leadership.leadershipCompare(), ...writes.map((write) => write.compare)],
        writes.map((write) => write.mutation),
        BACKGROUND_PRIORITY,
      );
      graph.batchesInFlight.clear();
      if (outcome.outcome !== 'committed') {
        for (const { batch } of writes) graph.changedBatches.add(batch);
        await this.failures.handle(graph, outcome);
        return;
      }
      graph.markWritten(writes, outcome.revision as number as Version);
    }
  }

  /**
   * Deletes result updates whose effects are durable. They are idempotent, so a new leader may apply them
   * again.
   */
  async deleteAppliedUpdates(graph: OpenGraph): Promise<void> {
    const keys = [...graph.appliedUpdates].slice(0, this.state.term.context.settings.storeLimits.txnOps);
    if (keys.length === 0 || graph.changedBatches.size > 0) return;
    const outcome = await this.deleteKeys(keys);
    if (outcome.outcome === 'committed') for (const key of keys) graph.appliedUpdates.delete(key);
    else await this.failures.handle(graph, outcome);
  }

  /** Ends a graph: first records it in the graph's own record, then deletes all its other records. */
  async finish(graph: OpenGraph): Promise<void> {
    if (graph.record.summary === null) {
      const outcome = await this.writeSummary(graph);
      if (outcome.outcome !== 'committed') return this.failures.handle(graph, outcome);
    }
    const { term } = this.state;
    const { txnOps } = term.context.settings.storeLimits;
    const keys = keysToDelete(graph);
    for (let start = 0; start < keys.length; start += txnOps) {
      const outcome = await this.deleteKeys(keys.slice(start, start + txnOps));
      if (!term.isActive) return;
      if (outcome.outcome !== 'committed') return this.failures.handle(graph, outcome);
    }
    this.state.graphs.delete(graph.id);
  }

  private async writeSummary(graph: OpenGraph): Promise<CommitOutcome> {
    const { store, leadership, log } = this.state.term.context;
    const summary = summarize(graph);
    const phase = finalPhase(graph, summary);
    const record: GraphRecord = { ...graph.record, phase, cancelledSubtrees: [], summary };
    const key = graphKey(graph.id);
    const outcome = await store.commit(
      [leadership.leadershipCompare(), { key, version: graph.version }],
      [{ put: key, value: encodeGraph(record) }],
      NORMAL_PRIORITY,
    );
    if (outcome.outcome === 'committed') {
      graph.updateRecord(record, outcome.revision as number as Version);
      const { done, failed, cancelled } = summary;
      log.info({ graph: graph.id, phase, done, failed, cancelled }, 'graph finished');
    }
    return outcome;
  }

  /** Deletes job records of ended cotasks. Failures are retried later. */
  async deleteFinishedCotasks(): Promise<void> {
    const { term, cotasks, graphs } = this.state;
    const jobs = cotasks.finishedJobs(term.context.settings.storeLimits.txnOps);
    if (jobs.length === 0) return;
    const outcome = await this.deleteKeys(jobs.map(jobKey));
    if (outcome.outcome !== 'committed') return;
    for (const job of jobs) {
      cotasks.markDeleted(job);
      const reference = cotasks.find(job);
      cotasks.forget(job);
      if (reference !== undefined) graphs.get(reference.graph)?.cotasks.delete(reference.cotask);
    }
  }

  private deleteKeys(keys: readonly string[]): Promise<CommitOutcome> {
    const { store, leadership } = this.state.term.context;
    return store.commit(
      [leadership.leadershipCompare()],
      keys.map((key) => ({ delete: key })),
      CLEANUP_PRIORITY,
    );
  }
}

function summarize({ tasks }: OpenGraph): GraphSummary {
  const { done, failed, cancelled } = tasks.counts;
  return { done, failed, cancelled, failures: tasks.rootFailures(MAX_SUMMARY_FAILURES) };
}

function finalPhase({ record }: OpenGraph, { failed, cancelled }: GraphSummary): GraphPhase {
  if (record.phase === 'cancelled') return 'cancelled';
  return failed + cancelled > 0 ? 'failed' : 'done';
}

/** All records of a graph except its own. */
function keysToDelete(graph: OpenGraph): string[] {
  return [
    ...graph.appliedUpdates,
    ...[...graph.batches.keys()].flatMap((batch) => [
      batchStateKey(graph.id, batch),
      batchKey(graph.id, batch),
    ]),
    // The entry in the list of open graphs is deleted last: until then a new leader continues the deletion.
    openGraphKey(graph.record.spec.team, graph.id),
  ];
}
