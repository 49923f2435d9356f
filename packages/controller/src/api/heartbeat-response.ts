/**
 * The HTTP status codes of heartbeat outcomes.
 *
 * @module
 */
import type { FencingToken, NodeId, WorkerCommand } from '@spurbridge/wire';
import type { HeartbeatOutcome } from '../heartbeats/heartbeat-outcome.js';

/** The response to a heartbeat as it is sent to the worker. */
export type HeartbeatHttpResponse =
  | { readonly code: 200; readonly fencingToken: FencingToken; readonly commands: readonly WorkerCommand[] }
  | { readonly code: 421; readonly leader: NodeId }
  | { readonly code: 503 };

/** Maps an outcome to its status code. This is the only place that knows these codes. */
export function toHeartbeatResponse(outcome: HeartbeatOutcome): HeartbeatHttpResponse {
  switch (outcome.outcome) {
    case 'accepted':
      return { code: 200, fencingToken: outcome.fencingToken, commands: outcome.commands };
    case 'redirected':
      return { code: 421, leader: outcome.node };
    case 'unavailable':
      return { code: 503 };
  }
}
