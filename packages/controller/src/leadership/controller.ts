/**
 * One controller process of the cluster.
 *
 * @module
 */
import { ConfigurationReplica, configurationFromSettings } from '@spurbridge/configuration';
import type { LeaderCandidate } from '@spurbridge/store';
import { Leadership, campaignDelayMs } from '@spurbridge/store';
import type {
  FencingToken,
  Heartbeat,
  JobProgress,
  MachineType,
  NodeId,
  PeerMessage,
} from '@spurbridge/wire';
import { ReplicatedConfigurationSource } from '../api/replicated-configuration-source.js';
import { stopsForCancelledTasks } from '../heartbeats/cancelled-tasks.js';
import type { HeartbeatOutcome } from '../heartbeats/heartbeat-outcome.js';
import { JobService } from '../jobs/job-service.js';
import type { NodeConfigurationStatus } from '../peers/configuration-rollout.js';
import { ConfigurationRollout } from '../peers/configuration-rollout.js';
import { JobProgressCache } from '../peers/job-progress-cache.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import { ShardController } from '../shards/shard-controller.js';
import type { ControllerOptions } from './controller-options.js';
import { LeaderRole } from './leader-role.js';
import { LeaderSuitability } from './leader-suitability.js';
import { MachineTypeCatalog } from './machine-type-catalog.js';

/** Failures of the key-value store for a shorter time do not count as an outage. */
const STORE_OUTAGE_AFTER_MS = 2500;
const NO_TOKEN = 0 as FencingToken;

/** A controller: serves users and workers, follows the leader, and is the leader while it holds the lease. */
export class Controller {
  readonly jobs: JobService;
  readonly leadership: Leadership;
  private readonly peers: PeerTransport;
  private readonly shards: ShardController;
  private readonly suitability: LeaderSuitability;
  private readonly machineTypes: MachineTypeCatalog;
  private readonly configuration: ConfigurationReplica;
  private readonly rollout: ConfigurationRollout;
  private readonly publishedProgress = new JobProgressCache();
  private readonly leaderRole: LeaderRole;

  constructor(private readonly options: ControllerOptions) {
    const { settings, store, clock, cloud, log } = options;
    this.suitability = new LeaderSuitability(clock);
    this.configuration = this.createConfigurationReplica();
    this.rollout = this.createRollout();
    this.leadership = this.createLeadership();
    this.peers = this.createPeerTransport();
    this.machineTypes = new MachineTypeCatalog(cloud, clock, log, {
      hasLeader: () => this.leaderRole.hasLeader,
    });
    this.leaderRole = this.createLeaderRole();
    this.shards = new ShardController({
      settings,
      clock,
      leadership: this.leadership,
      peers: this.peers,
      localLeader: this.leaderRole,
      cancelledTasks: {
        stopsFor: (heartbeat) => stopsForCancelledTasks(heartbeat, (job) => store.jobPhaseOf(job)),
      },
    });
    this.jobs = new JobService(
      settings,
      store,
      options.wallNow,
      () => this.machineTypes.types,
      new ReplicatedConfigurationSource(this.configuration, store),
      (job) => this.leaderRole.progressOf(job) ?? this.publishedProgress.get(job),
    );
  }

  /** The machine types as the cloud last described them; empty until they are known. */
  get knownMachineTypes(): readonly MachineType[] {
    return this.machineTypes.types;
  }

  /** Runs the controller until the process ends. */
  async run(): Promise<void> {
    await Promise.all([
      this.options.store.run(),
      this.leadership.run(),
      this.machineTypes.run(),
      this.peers.run(),
      this.shards.run(),
      this.suitability.run(),
    ]);
  }

  /** The configuration version that each controller applies, this one first. */
  configurationStatus(): NodeConfigurationStatus[] {
    return this.rollout.allNodes();
  }

  /** To be called when this controller's replica of the records has changed. */
  onRecordsChanged(): void {
    this.configuration.refresh((key) => this.options.store.replicatedRecord(key));
  }

  /**
   * To be called when this controller begins or ceases to trust the key-value store; notifies the other controllers
   * immediately.
   */
  onStoreIntegrityChanged(): void {
    this.broadcastStatus();
  }

  /**
   * Whether users should be routed to this controller. A controller is unhealthy before it knows the machine types, and
   * while the key-value store serves others but not this one. In an outage that affects all controllers, no other one
   * is better, and reporting this one as unhealthy would only delay the recovery.
   */
  isHealthy(): boolean {
    return this.machineTypes.isKnown && (this.isStoreServing() || !this.peers.hasPeerWithStore());
  }

  /** Handles the heartbeat of a worker. */
  handleHeartbeat(heartbeat: Heartbeat): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    this.observeHeartbeat(heartbeat);
    return this.leaderRole.isLeading
      ? this.shards.handleHeartbeatAsLeader(heartbeat)
      : this.shards.handleHeartbeat(heartbeat);
  }

  private createConfigurationReplica(): ConfigurationReplica {
    const { settings, log } = this.options;
    return new ConfigurationReplica(configurationFromSettings(settings.teams, settings.objectives), {
      log,
      onChange: () => {
        this.leaderRole.requestSchedulingPass();
        this.broadcastStatus();
      },
    });
  }

  private createRollout(): ConfigurationRollout {
    const { settings, clock, store } = this.options;
    return new ConfigurationRollout(settings, clock, {
      version: () => this.configuration.version,
      ageMs: () => store.replicaAgeMs,
      leads: () => this.leaderRole.isLeading,
    });
  }

  private createLeadership(): Leadership {
    const { settings, store, clock, log, incarnation } = this.options;
    return new Leadership(store, clock, settings.node, incarnation, {
      onElected: (fencingToken) => {
        this.leaderRole.start(fencingToken);
      },
      onLeaseConfirmedAgain: () => {
        this.leaderRole.requestSchedulingPass();
      },
      onDeposed: (reason) => {
        this.suitability.recordLeadershipLoss();
        this.leaderRole.end();
        log.info({ reason }, 'no longer leading');
      },
      log: (message, fields) => {
        log.info(fields, message);
      },
      hasPeers: () => this.peers.hasPeerWithStore(),
      campaignDelayMs: () => campaignDelayMs(this.ownCandidate(), this.shards.leaderCandidates()),
    });
  }

  private createPeerTransport(): PeerTransport {
    return this.options.createPeerTransport({
      status: () => this.status(),
      onMessage: (message) => {
        this.onPeerMessage(message);
      },
      onDisconnected: (node) => {
        this.shards.onPeerDisconnected(node);
      },
    });
  }

  private createLeaderRole(): LeaderRole {
    return new LeaderRole(this.options, {
      leadership: this.leadership,
      configuration: this.configuration,
      rollout: this.rollout,
      machineTypes: this.machineTypes,
      directWorkers: () => this.shards.shard,
      observeHeartbeat: (heartbeat) => {
        this.observeHeartbeat(heartbeat);
      },
      broadcastStatus: () => {
        this.broadcastStatus();
      },
      publishProgress: (jobProgress: readonly JobProgress[]) => {
        this.peers.broadcast({ jobProgress });
      },
    });
  }

  private ownCandidate(): LeaderCandidate {
    return { node: this.options.settings.node, penalty: this.suitability.penalty };
  }

  private isStoreServing(): boolean {
    const failingSince = this.options.store.failingSince();
    return failingSince === null || this.options.clock.now() - failingSince < STORE_OUTAGE_AFTER_MS;
  }

  private broadcastStatus(): void {
    this.peers.broadcast(this.status());
  }

  private status(): PeerMessage {
    const known = this.leadership.knownLeader();
    return {
      status: {
        node: this.options.settings.node,
        fencingToken: known?.fencingToken ?? NO_TOKEN,
        latestToken: known?.latestToken ?? NO_TOKEN,
        leader: known?.node ?? ('' as NodeId),
        isStoreReachable: this.isStoreServing(),
        ...this.options.store.status(),
        ...this.shards.status(this.leaderRole.isReady),
        leadershipPenalty: this.suitability.penalty,
        ...this.rollout.status(),
      },
    };
  }

  private onPeerMessage(message: PeerMessage): void {
    const { status, jobProgress } = message;
    if (status !== undefined) {
      this.options.store.receivePeerStatus(status);
      const { leader: node, fencingToken, latestToken } = status;
      if (node !== '') this.leadership.observeLeader({ fencingToken, latestToken, node });
      this.shards.onPeerStatus(status);
      this.rollout.onPeerStatus(status);
    }
    this.shards.onPeerMessage(message);
    this.publishedProgress.record(jobProgress ?? []);
  }

  /** Observes the fencing token that a worker has accepted; a higher one shows that another controller leads. */
  private observeHeartbeat(heartbeat: Heartbeat): void {
    const { machine, fencingToken } = heartbeat;
    this.options.store.receiveWorkerToken(machine, fencingToken);
    this.leadership.observeToken(fencingToken);
    this.shards.observeWorkerToken(fencingToken);
  }
}
