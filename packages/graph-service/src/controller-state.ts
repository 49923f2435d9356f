/**
 * State shared by the parts of the graph controller.
 *
 * @module
 */
import type { ClusterState, LeaderTerm, WakeSignal } from '@spurbridge/controller';
import type { GraphId } from '@spurbridge/wire';
import type { CotaskRegistry } from './cotask.js';
import type { OpenGraph } from './open-graph.js';

/** Pause before a failed request is retried, in milliseconds. */
export const RETRY_DELAY_MS = 200;

/** State and dependencies of one leader's graph controller. */
export interface GraphControllerState {
  readonly term: LeaderTerm;
  readonly cluster: ClusterState;
  /** All graphs that have not ended. */
  readonly graphs: Map<GraphId, OpenGraph>;
  readonly cotasks: CotaskRegistry;
  /** Wakes the loop that submits tasks and writes records. */
  readonly wakeUp: WakeSignal;
}
