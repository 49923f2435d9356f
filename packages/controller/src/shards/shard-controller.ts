/**
 * The part of a controller that serves the workers of its own shard, regardless of which one leads (docs/shares.md).
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { LeaderCandidate, Leadership } from '@spurbridge/store';
import type {
  FencingToken,
  Heartbeat,
  NodeId,
  PeerMessage,
  PeerStatus,
  WorkerCommand,
} from '@spurbridge/wire';
import { KnownTokens, ShardBalancer, WorkerShard } from '@spurbridge/worker-shards';
import type {
  HeartbeatAccepted,
  HeartbeatOutcome,
  HeartbeatRedirected,
} from '../heartbeats/heartbeat-outcome.js';
import { HEARTBEAT_UNAVAILABLE } from '../heartbeats/heartbeat-outcome.js';
import type { LocalLeader } from '../leadership/local-leader.js';
import { PeerDirectory } from '../peers/peer-directory.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import type { Settings } from '../settings.js';
import { maxHeartbeatIntervalMs } from '../settings.js';
import { ForwardedHeartbeatHandler } from './forwarded-heartbeat-handler.js';
import { HeartbeatForwarder } from './heartbeat-forwarder.js';
import { ShardAnnouncer } from './shard-announcer.js';

const HOUSEKEEPING_INTERVAL_MS = 200;
/**
 * Limit on using leases delegated by a known leader without a connection to it, because the leader may be alive and
 * should receive the heartbeats.
 */
const MAX_DISCONNECTED_MS = 4000;
/** A worker whose heartbeat is overdue by more than this has left: it uses another controller, or none. */
const DEPARTURE_MARGIN_MS = 4000;
/** Workers are only redirected to a controller that has been able to serve them for this long. */
const STABLE_SERVICE_MS = 5000;

/** Source of stop commands for tasks whose jobs are known to be cancelled. These commands require no leader. */
export interface CancelledTaskStopper {
  /** The stop commands for those tasks of the heartbeat that are known to be cancelled. */
  stopsFor(heartbeat: Heartbeat): readonly WorkerCommand[];
}

/** The dependencies of a `ShardController`. */
export interface ShardControllerOptions {
  readonly settings: Settings;
  readonly clock: Clock;
  readonly leadership: Leadership;
  readonly peers: PeerTransport;
  readonly localLeader: LocalLeader;
  readonly cancelledTasks: CancelledTaskStopper;
}

/** The part of a controller's status that describes its shard. */
type ShardStatus = Pick<
  PeerStatus,
  'acceptsForwardedHeartbeats' | 'isLeaderReady' | 'shardSize' | 'canServeWorkers'
>;

/**
 * Serves the machines whose workers send their heartbeats to this controller. A controller that does not lead forwards
 * them to the leader and passes its responses on. While no leader responds, it renews the workers' leases under the
 * delegation of the last leader, without commands except stops for cancelled tasks. It makes no decisions about the
 * machines.
 */
export class ShardController {
  readonly shard: WorkerShard;
  private readonly balancer: ShardBalancer;
  private readonly directory: PeerDirectory;
  private readonly forwarder: HeartbeatForwarder;
  private readonly forwardedHeartbeats: ForwardedHeartbeatHandler;
  private readonly announcer: ShardAnnouncer;
  /** Since when the known leader has not been connected. */
  private disconnectedSince: MonotonicMs | null = null;
  /** Since when this controller has been able to serve workers without interruption. */
  private servingSince: MonotonicMs | null = null;
  private readonly knownTokens = new KnownTokens();

  constructor(private readonly options: ShardControllerOptions) {
    const { settings, clock, peers, localLeader } = options;
    const { node } = settings;
    this.shard = new WorkerShard(clock, maxHeartbeatIntervalMs(settings) + DEPARTURE_MARGIN_MS);
    this.balancer = new ShardBalancer(clock, node);
    this.directory = new PeerDirectory(settings, clock, peers);
    this.forwarder = new HeartbeatForwarder(node, clock, peers);
    this.forwardedHeartbeats = new ForwardedHeartbeatHandler(node, peers, localLeader);
    this.announcer = new ShardAnnouncer(node, clock, peers, this.shard);
  }

  /**
   * The part of this controller's status that describes its shard.
   *
   * @param isReady whether the leader of this controller has read the records
   */
  status(isReady: boolean): ShardStatus {
    const { isLeading } = this.options.localLeader;
    return {
      acceptsForwardedHeartbeats: isLeading,
      isLeaderReady: isLeading && isReady,
      shardSize: this.shard.size,
      canServeWorkers: this.isStable(),
    };
  }

  /** The other controllers that may become leader at present. */
  leaderCandidates(): LeaderCandidate[] {
    return this.directory.leaderCandidates();
  }

  /** Runs the periodic housekeeping. */
  async run(): Promise<never> {
    for (;;) {
      await this.options.clock.sleep(HOUSEKEEPING_INTERVAL_MS);
      this.forwarder.expire();
      this.shard.removeDeparted();
      if (!this.canServe()) this.servingSince = null;
      else this.servingSince ??= this.options.clock.now();
    }
  }

  /** Observes a worker's fencing token; that of a newer leader invalidates leases that were delegated before. */
  observeWorkerToken(fencingToken: FencingToken): void {
    this.knownTokens.observeWorker(fencingToken);
  }

  /** Handles the heartbeat of a worker while this controller does not lead. */
  async handleHeartbeat(heartbeat: Heartbeat): Promise<HeartbeatOutcome> {
    const outcome = await this.outcomeFor(heartbeat);
    // With any other outcome the worker tries another controller.
    if (outcome.outcome === 'accepted') this.shard.recordHeartbeat(heartbeat);
    return outcome;
  }

  /** Handles the heartbeat of a worker while this controller leads. */
  handleHeartbeatAsLeader(heartbeat: Heartbeat): HeartbeatOutcome {
    const redirect = this.redirectFor(heartbeat, true);
    if (redirect !== null) return redirect;
    const outcome = this.options.localLeader.handleHeartbeat(heartbeat, false);
    if (outcome.outcome === 'unavailable') return outcome;
    this.shard.recordHeartbeat(heartbeat);
    const { fencingToken, commands } = outcome;
    return { outcome: 'accepted', fencingToken, commands };
  }

  /** Completes the pending requests to a node whose connection has ended, without a response. */
  onPeerDisconnected(node: NodeId): void {
    this.forwarder.abandon(node);
  }

  /** Processes another controller's status, and announces this shard to a new leader that is ready. */
  onPeerStatus(status: PeerStatus): void {
    this.directory.record(status);
    this.knownTokens.observeTerm(status.fencingToken, status.latestToken);
    if (!status.isLeaderReady || !this.announcer.isNewLeader(status.fencingToken)) return;
    if (this.options.localLeader.isLeading || !this.options.peers.isConnected(status.node)) return;
    void this.announcer.announceTo(status.node, status.fencingToken);
  }

  /** Processes the forwarded heartbeats and the responses in a message of another controller. */
  onPeerMessage(message: PeerMessage): void {
    const { sender, forwardedHeartbeats, forwardedHeartbeatResponses } = message;
    if (sender === undefined) return;
    if (forwardedHeartbeatResponses !== undefined)
      this.forwarder.receiveResponses(sender, forwardedHeartbeatResponses);
    if (forwardedHeartbeats !== undefined) this.forwardedHeartbeats.handle(sender, forwardedHeartbeats);
  }

  private isStable(): boolean {
    if (!this.canServe() || this.servingSince === null) return false;
    return this.options.clock.now() - this.servingSince > STABLE_SERVICE_MS;
  }

  /** Whether heartbeats sent to this controller reach a leader. */
  private canServe(): boolean {
    return this.options.localLeader.isLeading || this.connectedLeader() !== null;
  }

  /** The leader, if it is another controller that accepts forwarded heartbeats and is connected. */
  private connectedLeader(): NodeId | null {
    const known = this.options.leadership.knownLeader();
    if (known === null || known.node === this.options.settings.node) return null;
    const status = this.directory.statusOf(known.node);
    if (status?.acceptsForwardedHeartbeats !== true || status.fencingToken !== known.fencingToken)
      return null;
    return this.options.peers.isConnected(known.node) ? known.node : null;
  }

  private async outcomeFor(heartbeat: Heartbeat): Promise<HeartbeatOutcome> {
    const leader = this.connectedLeader();
    if (leader === null) return this.outcomeWithoutLeader(heartbeat);
    this.disconnectedSince = null;
    const redirect = this.redirectFor(heartbeat, false);
    if (redirect !== null) return redirect;
    const outcome = await this.forward(leader, heartbeat);
    return outcome ?? this.acceptByDelegation(heartbeat) ?? HEARTBEAT_UNAVAILABLE;
  }

  private outcomeWithoutLeader(heartbeat: Heartbeat): HeartbeatOutcome {
    const now = this.options.clock.now();
    this.disconnectedSince ??= now;
    const known = this.options.leadership.knownLeader();
    // A leader that is not connected may still be alive, so its workers should switch to another controller soon.
    const mayUseDelegation = known === null || now < addMs(this.disconnectedSince, MAX_DISCONNECTED_MS);
    const accepted = mayUseDelegation ? this.acceptByDelegation(heartbeat) : null;
    if (accepted !== null) return accepted;
    if (known === null || known.node === this.options.settings.node) return HEARTBEAT_UNAVAILABLE;
    return { outcome: 'redirected', node: known.node };
  }

  private acceptByDelegation(heartbeat: Heartbeat): HeartbeatAccepted | null {
    const fencingToken = this.shard.delegatedToken(heartbeat.machine, this.knownTokens.lowestValid);
    // A worker drops a response with a lower token than it has seen.
    if (fencingToken === null || fencingToken < heartbeat.fencingToken) return null;
    // A durable cancellation is final regardless of the leader, so a stop only requires a token that the worker
    // accepts.
    const commands = this.options.cancelledTasks.stopsFor(heartbeat);
    return { outcome: 'accepted', fencingToken, commands };
  }

  /** The leader's outcome for a forwarded heartbeat, or null if no response was received. */
  private async forward(leader: NodeId, heartbeat: Heartbeat): Promise<HeartbeatOutcome | null> {
    const request = this.forwarder.forward(leader, heartbeat);
    const response = await request.response;
    if (response === null) return null;
    const { fencingToken, electionToken, commands } = response;
    if (response.code !== 200) return HEARTBEAT_UNAVAILABLE;
    this.knownTokens.observeTerm(electionToken, fencingToken);
    this.options.leadership.observeLeader({
      fencingToken: electionToken,
      latestToken: fencingToken,
      node: leader,
    });
    this.shard.recordHeartbeat(heartbeat);
    this.shard.extendDelegation(
      heartbeat.machine,
      fencingToken,
      request.requestedAt,
      response.delegatedLeaseMs,
    );
    return { outcome: 'accepted', fencingToken, commands };
  }

  /** Redirects the worker if a controller with a smaller shard should serve it. */
  private redirectFor(heartbeat: Heartbeat, isLeader: boolean): HeartbeatRedirected | null {
    const { node, zone } = this.options.settings;
    const own = { node, machineCount: this.shard.size, zone, isLeader };
    const target = this.balancer.selectTarget(own, this.directory.shardOwners(), heartbeat.zone);
    if (target === null) return null;
    this.shard.markMoving(heartbeat.machine);
    return { outcome: 'redirected', node: target };
  }
}
