/**
 * Sends a new leader the latest heartbeats of this controller's shard.
 *
 * @module
 */
import type { Clock } from '@spurbridge/net';
import type { FencingToken, NodeId } from '@spurbridge/wire';
import type { WorkerShard } from '@spurbridge/worker-shards';
import type { PeerTransport } from '../peers/peer-transport.js';
import { NO_RESPONSE_ID } from './forwarded-heartbeat-handler.js';
import { BATCH_DELAY_MS, MAX_HEARTBEATS_PER_FRAME } from './heartbeat-forwarder.js';

/** Announces the shard once to each leader, so that the leader does not have to wait for hundreds of heartbeats. */
export class ShardAnnouncer {
  /** The fencing token of the leader that the shard was last announced to. */
  private announcedTo = 0 as FencingToken;

  constructor(
    private readonly self: NodeId,
    private readonly clock: Clock,
    private readonly transport: PeerTransport,
    private readonly shard: WorkerShard,
  ) {}

  /** Whether a leader with this token has not been sent the shard yet. */
  isNewLeader(fencingToken: FencingToken): boolean {
    return fencingToken > this.announcedTo;
  }

  /** Sends the shard to a leader, one frame at a time, to avoid queueing all of it on the connection. */
  async announceTo(leader: NodeId, fencingToken: FencingToken): Promise<void> {
    this.announcedTo = fencingToken;
    const latest = this.shard.latestHeartbeats();
    const startedAt = this.clock.now();
    for (
      let first = 0;
      first < latest.length && this.announcedTo === fencingToken;
      first += MAX_HEARTBEATS_PER_FRAME
    ) {
      const elapsedMs = this.clock.now() - startedAt;
      const forwardedHeartbeats = latest
        .slice(first, first + MAX_HEARTBEATS_PER_FRAME)
        .map(({ heartbeat, ageMs }) => ({ id: NO_RESPONSE_ID, ageMs: ageMs + elapsedMs, heartbeat }));
      if (!this.transport.send(leader, { sender: this.self, forwardedHeartbeats })) return;
      await this.clock.sleep(BATCH_DELAY_MS);
    }
  }
}
