/**
 * Handles failed commits of the graph controller.
 *
 * @module
 */
import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { CommitOutcome } from '@spurbridge/store';
import type { GraphControllerState } from './controller-state.js';
import { RETRY_DELAY_MS } from './controller-state.js';
import { graphKey, parseBatchStateKey } from './keys.js';
import type { OpenGraph } from './open-graph.js';
import { NORMAL_PRIORITY } from './priorities.js';
import type { GraphRecordReceiver } from './record-receiver.js';
import { decodeGraph } from './records.js';

/** Refreshes the known versions of records after a failed commit, so that it can be retried. */
export class CommitFailureHandler {
  constructor(
    private readonly state: GraphControllerState,
    private readonly receiver: GraphRecordReceiver,
  ) {}

  /**
   * After a conflict, reads the conflicting records again: an earlier commit without a response may have been
   * executed. After any other failure, waits before the next attempt.
   */
  async handle(graph: OpenGraph, outcome: CommitOutcome): Promise<void> {
    const { leadership, clock } = this.state.term.context;
    if (leadership.stepDownOnConflict(outcome)) return;
    if (outcome.outcome === 'conflict') {
      for (const key of outcome.failed) {
        await this.reread(graph, key);
        if (!this.state.term.isActive) return;
      }
    } else await clock.sleep(RETRY_DELAY_MS);
    this.state.wakeUp.notify();
  }

  private async reread(graph: OpenGraph, key: string): Promise<void> {
    const found = await this.state.term.context.store.read(key, NORMAL_PRIORITY);
    if (!this.state.term.isActive || found.outcome !== 'found') return;
    const { value, version } = found.item;
    if (key === graphKey(graph.id)) this.receiver.receiveGraph(graph.id, decodeGraph(value), version);
    else if (!key.startsWith(JOB_KEY_PREFIX))
      graph.setStateVersion(parseBatchStateKey(graph.id, key), version);
  }
}
