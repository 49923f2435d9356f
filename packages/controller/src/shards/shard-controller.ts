import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { ShardOwner } from '@spurbridge/worker-shards';
import { ShardBalancer, PendingRequests, WorkerShard } from '@spurbridge/worker-shards';
import type { LeaderCandidate, Leadership } from '@spurbridge/store';
import type {
  ForwardedHeartbeat,
  ForwardedHeartbeatResponse,
  NodeId,
  PeerMessage,
  PeerShardStatus,
  PeerStatus,
  FencingToken,
  WorkerCommand,
  Heartbeat,
} from '@spurbridge/wire';
import type { LeaderHeartbeatOutcome, HeartbeatOutcome } from '../leadership/controller.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import type { Settings } from '../settings.js';
import { maxHeartbeatIntervalMs } from '../settings.js';

/** The leader's answer is waited for no longer than this: the worker itself waits 4 s. */
const PATIENCE_MS = 2000;
const SWEEP_MS = 200;
/** Forwards of this long go out together. */
const GATHER_MS = 8;
/** What fits well into a frame of the link: reports are a few hundred bytes, seldom thousands. */
const FORWARDS_A_FRAME = 100;
/** With the link to a leader gone, its grant is used no longer than this: it may live, and should hear the workers. */
const ALONE_MS = 4000;
/** A worker that is this much later than its longest interval reports elsewhere, or not at all. */
const AWAY_MS = 4000;
/** A status older than this says nothing. */
const PEER_MS = 2500;
/** A node takes workers from others once it has been able to answer them for this long. */
const SETTLED_MS = 5000;

interface Peer {
  readonly status: PeerStatus;
  readonly at: MonotonicMs;
}

export interface ShardControllerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly leadership: Leadership;
  readonly peers: PeerTransport;
  /** Whether this node leads and answers reports itself. */
  readonly leads: () => boolean;
  /** A forwarded report, answered as the leader answers its own. */
  readonly answer: (r: Heartbeat, forwarded: boolean) => LeaderHeartbeatOutcome;
  /** Stops of what the report shows and this node knows to be cancelled. */
  readonly cancelled: (r: Heartbeat) => readonly WorkerCommand[];
  /** A report whose worker was answered already. */
  readonly hear: (r: Heartbeat, ageMs: number) => void;
}

/**
 * The machines whose workers report to this node, whoever leads (docs/shares.md). A node that does not lead passes
 * their reports to the leader and its answers to them; while no leader answers it keeps the leases alive under the
 * last one's grant, with no orders but to stop what is cancelled. It decides nothing about them.
 */
export class ShardController {
  readonly shard: WorkerShard;
  private readonly balance: ShardBalancer;
  private readonly pending: PendingRequests<ForwardedHeartbeatResponse>;
  private readonly others = new Map<NodeId, Peer>();
  private due: ForwardedHeartbeat[] = [];
  /** Since when the link to the known leader is closed. */
  private aloneSince: MonotonicMs | null = null;
  /** Since when this node could answer workers without a break. */
  private ableSince: MonotonicMs | null = null;
  /** The leader that was told of this share whole. */
  private toldTo = 0 as FencingToken;
  private highest = 0 as FencingToken;

  constructor(private readonly p: ShardControllerOptions) {
    this.shard = new WorkerShard(p.clock, maxHeartbeatIntervalMs(p.settings) + AWAY_MS);
    this.balance = new ShardBalancer(p.clock, p.settings.node);
    this.pending = new PendingRequests(p.clock, PATIENCE_MS);
  }

  /** What others are told of this node as a holder. */
  status(ready: boolean): PeerShardStatus {
    const leads = this.p.leads();
    return {
      acceptsForwardedHeartbeats: leads,
      isLeaderReady: leads && ready,
      shardSize: this.shard.size,
      canServeWorkers:
        this.isAble() && this.ableSince !== null && this.p.clock.now() - this.ableSince > SETTLED_MS,
    };
  }

  /** Nodes that may lead, as they said lately: served by the state service, and connected. */
  leaderCandidates(): LeaderCandidate[] {
    const now = this.p.clock.now();
    const found: LeaderCandidate[] = [];
    for (const [node, { status, at }] of this.others)
      if (status.isStoreReachable && now - at < PEER_MS && this.p.peers.isConnected(node))
        found.push({ node, penalty: status.leadershipPenalty });
    return found;
  }

  /** Whether a worker that reports here gets a real answer. */
  private isAble(): boolean {
    return this.p.leads() || this.leaderHere() !== null;
  }

  async run(): Promise<never> {
    for (;;) {
      await this.p.clock.sleep(SWEEP_MS);
      this.pending.expire();
      this.shard.removeDeparted();
      if (!this.isAble()) this.ableSince = null;
      else this.ableSince ??= this.p.clock.now();
    }
  }

  observeFencingToken(token: FencingToken): void {
    if (token > this.highest) this.highest = token;
  }

  /** The leader, where it takes what others forward and its link is open. */
  private leaderHere(): NodeId | null {
    const known = this.p.leadership.knownLeader();
    if (known === null || known.node === this.p.settings.node) return null;
    const peer = this.others.get(known.node);
    if (peer?.status.acceptsForwardedHeartbeats !== true || peer.status.fencingToken !== known.fencingToken)
      return null;
    return this.p.peers.isConnected(known.node) ? known.node : null;
  }

  /** A report of a worker that does not find the leader here. */
  async handleHeartbeat(r: Heartbeat): Promise<HeartbeatOutcome> {
    const answer = await this.answerFor(r);
    // A worker that gets anything else goes on to another node.
    if (answer.code === 200) this.shard.recordHeartbeat(r);
    return answer;
  }

  private async answerFor(r: Heartbeat): Promise<HeartbeatOutcome> {
    const leader = this.leaderHere();
    if (leader !== null) {
      this.aloneSince = null;
      const away = this.redirectFor(r, false);
      if (away !== null) return away;
      const answered = await this.forward(leader, r);
      if (answered !== null) return answered;
      return this.underGrant(r) ?? { code: 503 };
    }
    const now = this.p.clock.now();
    this.aloneSince ??= now;
    const known = this.p.leadership.knownLeader();
    // A leader whose link is closed may live all the same: its workers are to find it before long.
    const isNear = known === null || now < addMs(this.aloneSince, ALONE_MS);
    const granted = isNear ? this.underGrant(r) : null;
    if (granted !== null) return granted;
    if (known === null || known.node === this.p.settings.node) return { code: 503 };
    return { code: 421, leader: known.node };
  }

  private underGrant(r: Heartbeat): HeartbeatOutcome | null {
    const token = this.shard.delegatedToken(r.machine, this.highest);
    // A durable cancellation is final, whoever leads: to stop it needs no more than a token that the worker takes.
    return token === null ? null : { code: 200, token, commands: this.p.cancelled(r) };
  }

  private async forward(leader: NodeId, r: Heartbeat): Promise<HeartbeatOutcome | null> {
    const { id, requestedAt: askedAt, response: answer } = this.pending.register(leader, nameOf(r));
    this.due.push({ id, ageMs: 0, heartbeat: r });
    if (this.due.length === 1)
      void this.p.clock.sleep(GATHER_MS).then(() => {
        this.flush(leader);
      });
    const a = await answer;
    if (a === null) return null;
    this.observeFencingToken(a.fencingToken);
    if (a.code !== 200) return { code: 503 };
    this.shard.recordHeartbeat(r);
    this.shard.extendDelegation(r.machine, a.fencingToken, askedAt, a.delegatedLeaseMs);
    return { code: 200, token: a.fencingToken, commands: a.commands };
  }

  private flush(leader: NodeId): void {
    const { due } = this;
    this.due = [];
    if (!this.send(leader, due)) this.pending.abandon(leader);
  }

  private send(to: NodeId, forwards: readonly ForwardedHeartbeat[]): boolean {
    const from = this.p.settings.node;
    for (let i = 0; i < forwards.length; i += FORWARDS_A_FRAME)
      if (
        !this.p.peers.send(to, { sender: from, forwardedHeartbeats: forwards.slice(i, i + FORWARDS_A_FRAME) })
      )
        return false;
    return true;
  }

  /** The answer that sends this worker to a node that holds fewer, or null. */
  redirectFor(r: Heartbeat, leads: boolean): { readonly code: 421; readonly leader: NodeId } | null {
    const now = this.p.clock.now();
    const others: ShardOwner[] = [];
    for (const [node, peer] of this.others)
      if (peer.status.canServeWorkers && now - peer.at < PEER_MS && this.p.peers.isConnected(node))
        others.push({
          node,
          machineCount: peer.status.shardSize,
          zone: this.p.settings.peers.find((x) => x.node === node)?.zone ?? '',
          isLeader: peer.status.acceptsForwardedHeartbeats,
        });
    const own = {
      node: this.p.settings.node,
      machineCount: this.shard.size,
      zone: this.p.settings.zone,
      isLeader: leads,
    };
    const target = this.balance.selectTarget(own, others, r.zone);
    if (target === null) return null;
    this.shard.markMoving(r.machine);
    return { code: 421, leader: target };
  }

  /** A report that this node answers as the leader. */
  handleHeartbeatAsLeader(r: Heartbeat): HeartbeatOutcome {
    const away = this.redirectFor(r, true);
    if (away !== null) return away;
    const answer = this.p.answer(r, false);
    if (answer.code !== 200) return answer;
    this.shard.recordHeartbeat(r);
    return { code: 200, token: answer.token, commands: answer.commands };
  }

  // --- what others say ---------------------------------------------------------------------------

  onPeerDisconnected(node: NodeId): void {
    this.pending.abandon(node);
  }

  onPeerStatus(status: PeerStatus): void {
    this.others.set(status.node, { status, at: this.p.clock.now() });
    this.observeFencingToken(status.fencingToken);
    // A new leader knows what is on the machines at once, without waiting for hundreds of reports.
    if (!status.isLeaderReady || status.fencingToken <= this.toldTo || this.p.leads()) return;
    if (!this.p.peers.isConnected(status.node)) return;
    this.toldTo = status.fencingToken;
    void this.tell(status.node, status.fencingToken);
  }

  /** Says what is known of every machine here, a frame at a time: all at once would be more than a link may queue. */
  private async tell(leader: NodeId, token: FencingToken): Promise<void> {
    const known = this.shard.latestHeartbeats();
    const toldAt = this.p.clock.now();
    for (let i = 0; i < known.length && this.toldTo === token; i += FORWARDS_A_FRAME) {
      const sinceMs = this.p.clock.now() - toldAt;
      const forwards = known
        .slice(i, i + FORWARDS_A_FRAME)
        .map(({ heartbeat: report, ageMs }) => ({ id: 0, ageMs: ageMs + sinceMs, heartbeat: report }));
      if (!this.p.peers.send(leader, { sender: this.p.settings.node, forwardedHeartbeats: forwards })) return;
      await this.p.clock.sleep(GATHER_MS);
    }
  }

  onPeerMessage(message: PeerMessage): void {
    const { sender: from, forwardedHeartbeats: forwards, forwardedHeartbeatResponses: answers } = message;
    if (from === undefined) return;
    for (const a of answers ?? []) this.pending.complete(a.id, from, nameOf(a), a);
    if (forwards === undefined) return;
    const given: ForwardedHeartbeatResponse[] = [];
    for (const f of forwards)
      if (f.id === 0) this.p.hear(f.heartbeat, f.ageMs);
      else given.push(this.answerTo(f));
    if (given.length > 0)
      this.p.peers.send(from, { sender: this.p.settings.node, forwardedHeartbeatResponses: given });
  }

  private answerTo(f: ForwardedHeartbeat): ForwardedHeartbeatResponse {
    const a = this.p.answer(f.heartbeat, true);
    const { machine, agentEpoch, sequence } = f.heartbeat;
    const to = { id: f.id, machine, agentEpoch, sequence };
    if (a.code !== 200)
      return { ...to, code: 503, fencingToken: 0 as FencingToken, delegatedLeaseMs: 0, commands: [] };
    return { ...to, code: 200, fencingToken: a.token, delegatedLeaseMs: a.grantMs, commands: a.commands };
  }
}

/** A report's own name: its count rises with every one, and its session with every count that begins anew. */
function nameOf(r: Pick<Heartbeat, 'machine' | 'agentEpoch' | 'sequence'>): string {
  return `${r.machine} ${r.agentEpoch} ${r.sequence}`;
}
