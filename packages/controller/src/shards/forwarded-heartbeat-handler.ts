/**
 * Handles heartbeats that other controllers forward to this one as the leader.
 *
 * @module
 */
import type { FencingToken, ForwardedHeartbeat, ForwardedHeartbeatResponse, NodeId } from '@spurbridge/wire';
import type { LocalLeader } from '../leadership/local-leader.js';
import type { PeerTransport } from '../peers/peer-transport.js';

/** The identifier of a forwarded heartbeat that was answered already and needs no response. */
export const NO_RESPONSE_ID = 0;

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
        this.localLeader.receiveForwardedHeartbeat(forward.report, forward.ageMs);
      else responses.push(this.respondTo(forward));
    if (responses.length > 0) this.transport.send(from, { from: this.self, answers: responses });
  }

  private respondTo(forward: ForwardedHeartbeat): ForwardedHeartbeatResponse {
    const outcome = this.localLeader.handleHeartbeat(forward.report, true);
    const { machine, agentEpoch: session, sequence: seq } = forward.report;
    const header = { id: forward.id, machine, session, seq };
    if (outcome.outcome === 'unavailable')
      return { ...header, code: 503, token: 0 as FencingToken, grantMs: 0, commands: [] };
    const { fencingToken: token, delegatedLeaseMs: grantMs, commands } = outcome;
    return { ...header, code: 200, token, grantMs, commands };
  }
}
