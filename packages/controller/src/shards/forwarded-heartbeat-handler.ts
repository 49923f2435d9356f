/**
 * Handles heartbeats that other controllers forward to this one as the leader.
 *
 * @module
 */
import type { FencingToken, ForwardedHeartbeat, ForwardedHeartbeatResponse, NodeId } from '@spurbridge/wire';
import type { LocalLeader } from '../leadership/local-leader.js';
import type { PeerTransport } from '../peers/peer-transport.js';

/** The identifier of a forwarded heartbeat that was already responded to and needs no response. */
export const NO_RESPONSE_ID = 0;

const NO_RENEWAL = {
  code: 503,
  fencingToken: 0 as FencingToken,
  electionToken: 0 as FencingToken,
  delegatedLeaseMs: 0,
  commands: [],
} as const;

/** The leader's side of forwarding. */
export class ForwardedHeartbeatHandler {
  constructor(
    private readonly self: NodeId,
    private readonly transport: PeerTransport,
    private readonly localLeader: LocalLeader,
  ) {}

  /** Handles one frame of forwarded heartbeats and sends the responses back in one frame. */
  handle(from: NodeId, forwards: readonly ForwardedHeartbeat[]): void {
    const responses: ForwardedHeartbeatResponse[] = [];
    for (const forward of forwards)
      if (forward.id === NO_RESPONSE_ID)
        this.localLeader.receiveForwardedHeartbeat(forward.heartbeat, forward.ageMs);
      else responses.push(this.respondTo(forward));
    if (responses.length > 0)
      this.transport.send(from, { sender: this.self, forwardedHeartbeatResponses: responses });
  }

  private respondTo(forward: ForwardedHeartbeat): ForwardedHeartbeatResponse {
    const outcome = this.localLeader.handleHeartbeat(forward.heartbeat, true);
    const { machine, agentEpoch, sequence } = forward.heartbeat;
    const header = { id: forward.id, machine, agentEpoch, sequence };
    if (outcome.outcome === 'unavailable') return { ...header, ...NO_RENEWAL };
    const { fencingToken, electionToken, delegatedLeaseMs, commands } = outcome;
    return { ...header, code: 200, fencingToken, electionToken, delegatedLeaseMs, commands };
  }
}
