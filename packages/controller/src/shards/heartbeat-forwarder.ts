/**
 * Forwards heartbeats of this controller's shard to the leader and matches the leader's responses to them.
 *
 * @module
 */
import type { Clock } from '@spurbridge/net';
import type { ForwardedHeartbeat, ForwardedHeartbeatResponse, Heartbeat, NodeId } from '@spurbridge/wire';
import type { RegisteredRequest } from '@spurbridge/worker-shards';
import { PendingRequests } from '@spurbridge/worker-shards';
import type { PeerTransport } from '../peers/peer-transport.js';

/** Timeout of the leader's response; the worker itself waits for 4 s. */
const RESPONSE_TIMEOUT_MS = 2000;
/** Heartbeats that arrive within this time are sent together. */
export const BATCH_DELAY_MS = 8;
/** Maximum number of heartbeats in one frame; each takes a few hundred bytes, rarely thousands. */
export const MAX_HEARTBEATS_PER_FRAME = 100;

/** The forwarding side: batches heartbeats, and completes each request with its response or on timeout. */
export class HeartbeatForwarder {
  private readonly requests: PendingRequests<ForwardedHeartbeatResponse>;
  private batch: ForwardedHeartbeat[] = [];

  constructor(
    private readonly self: NodeId,
    private readonly clock: Clock,
    private readonly transport: PeerTransport,
  ) {
    this.requests = new PendingRequests(clock, RESPONSE_TIMEOUT_MS);
  }

  /** Adds the heartbeat to the next batch for the leader. */
  forward(leader: NodeId, heartbeat: Heartbeat): RegisteredRequest<ForwardedHeartbeatResponse> {
    const request = this.requests.register(leader, requestKeyOf(heartbeat));
    this.batch.push({ id: request.id, ageMs: 0, heartbeat });
    if (this.batch.length === 1)
      void this.clock.sleep(BATCH_DELAY_MS).then(() => {
        this.sendBatch(leader);
      });
    return request;
  }

  /** Completes the requests that these responses of the leader belong to. */
  receiveResponses(from: NodeId, responses: readonly ForwardedHeartbeatResponse[]): void {
    for (const response of responses) {
      const { id, machine, agentEpoch, sequence } = response;
      this.requests.complete(id, from, requestKeyOf({ machine, agentEpoch, sequence }), response);
    }
  }

  /** Completes the requests to a node whose connection has ended, without a response. */
  abandon(node: NodeId): void {
    this.requests.abandon(node);
  }

  /** Completes the requests that have timed out, without a response; to be called periodically. */
  expire(): void {
    this.requests.expire();
  }

  private sendBatch(leader: NodeId): void {
    const { batch } = this;
    this.batch = [];
    if (!this.sendFrames(leader, batch)) this.requests.abandon(leader);
  }

  private sendFrames(leader: NodeId, forwards: readonly ForwardedHeartbeat[]): boolean {
    for (let first = 0; first < forwards.length; first += MAX_HEARTBEATS_PER_FRAME) {
      const frame = forwards.slice(first, first + MAX_HEARTBEATS_PER_FRAME);
      if (!this.transport.send(leader, { sender: this.self, forwardedHeartbeats: frame })) return false;
    }
    return true;
  }
}

/** Identifies a heartbeat: sequence numbers grow within an agent epoch, and the epoch grows when they restart. */
function requestKeyOf(heartbeat: Pick<Heartbeat, 'machine' | 'agentEpoch' | 'sequence'>): string {
  return `${heartbeat.machine} ${heartbeat.agentEpoch} ${heartbeat.sequence}`;
}
