import type { CloudProvider } from '@spurbridge/cloud';
import type { ConfigurationVersion } from '@spurbridge/configuration';
import {
  SETTINGS_FILE_VERSION,
  HEAD_KEY,
  ConfigurationReplica,
  configurationFromSettings,
  decodeHead,
} from '@spurbridge/configuration';
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { RecoverableStore } from '@spurbridge/recovery';
import type { LeaderCandidate } from '@spurbridge/store';
import { Leadership, campaignDelayMs } from '@spurbridge/store';
import type {
  JobId,
  JobProgress,
  MachineType,
  NodeId,
  PeerMessage,
  FencingToken,
  Heartbeat,
} from '@spurbridge/wire';
import { ValidationError } from '@spurbridge/wire';
import { stopsForCancelledTasks } from '../heartbeats/command-dispatcher.js';
import type { NodeConfigurationStatus } from '../peers/configuration-rollout.js';
import { ConfigurationRollout } from '../peers/configuration-rollout.js';
import { JobService } from '../jobs/job-service.js';
import { Leader } from './leader.js';
import { LeaderSuitability } from './leader-suitability.js';
import { ShardController } from '../shards/shard-controller.js';
import type { Logger } from '../logger.js';
import type { PeerTransport } from '../peers/peer-transport.js';
import type { Settings } from '../settings.js';
import { maxRenewalStalenessMs } from '../settings.js';
import type { LeaderComponentFactory } from './leader-term.js';
import type { WorkerClient } from '../heartbeats/worker-client.js';
import type { WorkerCommand } from '@spurbridge/wire';

export interface ControllerOptions {
  readonly settings: Settings;
  /** The state service, as far as it can be trusted; `changed` of its parts is to call `trustChanged`. */
  readonly store: RecoverableStore;
  readonly cloud: CloudProvider;
  readonly workerClient: WorkerClient;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly log: Logger;
  readonly createPeerTransport: (
    status: () => PeerMessage,
    receive: (message: PeerMessage) => void,
    closed: (node: NodeId) => void,
  ) => PeerTransport;
  /** Tells this process from earlier ones of the same node. */
  readonly incarnation: string;
  /** Concerns of the leader beyond the usual ones. */
  readonly leaderComponents?: readonly LeaderComponentFactory[];
}

export type HeartbeatOutcome =
  | { readonly code: 200; readonly token: FencingToken; readonly commands: readonly WorkerCommand[] }
  | { readonly code: 421; readonly leader: NodeId }
  | { readonly code: 503 };

/** As a leader answers: whoever holds the worker may answer it for `grantMs` more by itself. */
export type LeaderHeartbeatOutcome =
  (Extract<HeartbeatOutcome, { code: 200 }> & { readonly grantMs: number }) | { readonly code: 503 };

const TYPES_MS = 60_000;
const STATE_LOST_MS = 2500;
const PROGRESS_KEPT = 5000;

/** One controller: what every node does, and its leader while it leads. */
export class Controller {
  readonly jobs: JobService;
  readonly leadership: Leadership;
  private readonly peers: PeerTransport;
  private readonly holding: ShardController;
  private readonly fitness: LeaderSuitability;
  private leader: Leader | null = null;
  private machineTypes: readonly MachineType[] = [];
  private readonly configuration: ConfigurationReplica;
  private readonly inForce: ConfigurationRollout;
  private readonly progress = new Map<JobId, JobProgress>();

  constructor(private readonly parts: ControllerOptions) {
    const { settings, store, clock, log } = parts;
    this.fitness = new LeaderSuitability(clock);
    this.configuration = new ConfigurationReplica(
      configurationFromSettings(settings.teams, settings.objectives),
      {
        log,
        onChange: () => {
          this.leader?.requestPlan();
          this.peers.broadcast(this.status());
        },
      },
    );
    this.inForce = new ConfigurationRollout(settings, clock, {
      version: () => this.configuration.version,
      ageMs: () => store.copyAgeMs,
      leads: () => this.leads,
    });
    this.leadership = new Leadership(store, clock, settings.node, parts.incarnation, {
      onElected: (token) => {
        this.elected(token);
      },
      onLeaseConfirmedAgain: () => {
        this.leader?.requestPlan();
      },
      onDeposed: (reason) => {
        this.fitness.recordLeadershipLoss();
        this.leader?.depose();
        this.leader = null;
        log.info({ reason }, 'no longer leading');
      },
      log: (message, fields) => {
        log.info(fields, message);
      },
      hasPeers: () => this.peers.hasPeerWithStore(),
      campaignDelayMs: () => campaignDelayMs(this.candidate(), this.holding.leaderCandidates()),
    });
    this.peers = parts.createPeerTransport(
      () => this.status(),
      (message) => {
        this.onPeer(message);
      },
      (node) => {
        this.holding.onPeerDisconnected(node);
      },
    );
    this.holding = new ShardController({
      settings,
      clock,
      leadership: this.leadership,
      peers: this.peers,
      leads: () => this.leads,
      answer: (r, forwarded) => this.answer(r, forwarded),
      cancelled: (r) => stopsForCancelledTasks(r, (id) => store.phaseOf(id)),
      hear: (r, ageMs) => {
        this.saidBy(r);
        if (this.leads) this.leader?.receiveForwardedHeartbeat(r, ageMs);
      },
    });
    this.jobs = new JobService(
      settings,
      store,
      parts.wallNow,
      () => this.machineTypes,
      { current: () => this.configuration.current, latestVersion: () => this.latestVersion() },
      (id) => this.leader?.progressOf(id) ?? this.progress.get(id) ?? null,
    );
  }

  /** Machine types as the cloud last told them; none while they are not known. */
  get knownMachineTypes(): readonly MachineType[] {
    return this.machineTypes;
  }

  async run(): Promise<void> {
    await Promise.all([
      this.parts.store.run(),
      this.leadership.run(),
      this.learnTypes(),
      this.peers.run(),
      this.holding.run(),
      this.fitness.run(),
    ]);
  }

  private elected(token: FencingToken): void {
    const { settings, store, cloud, workerClient: workers, clock, wallNow, log } = this.parts;
    this.inForce.onElected();
    const leader = new Leader({
      settings,
      configuration: () => this.configuration.current,
      onPlanned: (version) => {
        if (!this.inForce.recordPlan(version)) return;
        log.info({ version }, 'plans by this configuration');
        this.peers.broadcast(this.status());
      },
      store,
      cloud,
      workerClient: workers,
      storeIntegrity: store,
      leadership: this.leadership,
      clock,
      wallNow,
      log,
      machineTypes: () => this.machineTypes,
      leaderComponents: this.parts.leaderComponents ?? [],
      publishProgress: (progress) => {
        this.peers.broadcast({ jobProgress: progress });
      },
      directWorkers: () => this.holding.shard,
      onReady: () => {
        this.peers.broadcast(this.status());
      },
    });
    this.leader = leader;
    log.info({ token }, 'leading');
    store.recordElection(token);
    store
      .writeBack(() => this.leader === leader)
      .catch((e: unknown) => {
        log.error({ error: String(e) }, 'writing back ended');
      });
    this.peers.broadcast(this.status());
    leader.run().catch((e: unknown) => {
      log.error({ error: e instanceof Error ? (e.stack ?? e.message) : String(e) }, 'leader failed');
      leader.depose();
      void this.leadership.resign('the leader failed');
    });
  }

  /** Prices move, types seldom: they are asked for at the start and then once in a while. */
  private async learnTypes(): Promise<void> {
    for (;;) {
      // Only the leader follows the prices; the others need the types alone.
      if (this.machineTypes.length === 0 || this.leader !== null) {
        try {
          const types = await this.parts.cloud.listMachineTypes();
          if (types !== null) this.machineTypes = types;
        } catch (e) {
          this.parts.log.error({ error: String(e) }, 'machine types cannot be read');
        }
      }
      await this.parts.clock.sleep(this.machineTypes.length === 0 ? 700 : TYPES_MS);
    }
  }

  private candidate(): LeaderCandidate {
    return { node: this.parts.settings.node, penalty: this.fitness.penalty };
  }

  private stateServed(): boolean {
    const since = this.parts.store.failingSince();
    return since === null || this.parts.clock.now() - since < STATE_LOST_MS;
  }

  private status(): PeerMessage {
    const known = this.leadership.knownLeader();
    return {
      status: {
        node: this.parts.settings.node,
        fencingToken: known?.fencingToken ?? (0 as FencingToken),
        leader: known?.node ?? ('' as NodeId),
        isStoreReachable: this.stateServed(),
        ...this.parts.store.status(),
        ...this.holding.status(this.leader?.isReady === true),
        leadershipPenalty: this.fitness.penalty,
        ...this.inForce.status(),
      },
    };
  }

  /** Which version each node goes by, this one first. */
  configurationStatus(): NodeConfigurationStatus[] {
    return this.inForce.allNodes();
  }

  /** The version that the state service holds now; null where it does not answer. */
  private async latestVersion(): Promise<ConfigurationVersion | null> {
    const found = await this.parts.store.read(HEAD_KEY, 1);
    if (found.outcome === 'absent') return SETTINGS_FILE_VERSION;
    if (found.outcome !== 'found') return null;
    try {
      return decodeHead(found.item.value).version;
    } catch (e) {
      if (e instanceof ValidationError) return null;
      throw e;
    }
  }

  /** What is known of the state service's records has changed. */
  onRecordsChanged(): void {
    this.configuration.refresh((key) => this.parts.store.replicatedRecord(key));
  }

  /** Peers hear at once when this node begins or ceases to trust the state service. */
  onStoreIntegrityChanged(): void {
    this.peers.broadcast(this.status());
  }

  private onPeer(message: PeerMessage): void {
    const s = message.status;
    if (s !== undefined) this.parts.store.receivePeerStatus(s);
    if (s !== undefined && s.leader !== '') this.leadership.observeToken(s.fencingToken, s.leader);
    if (s !== undefined) this.holding.onPeerStatus(s);
    if (s !== undefined) this.inForce.onPeerStatus(s);
    this.holding.onPeerMessage(message);
    for (const p of message.jobProgress ?? []) {
      this.progress.delete(p.job as JobId);
      this.progress.set(p.job as JobId, p);
    }
    for (const id of this.progress.keys()) {
      if (this.progress.size <= PROGRESS_KEPT) break;
      this.progress.delete(id);
    }
  }

  /**
   * Whether users should be sent here. A node that alone is refused by the state service steps aside;
   * in an outage that all share there is nowhere better to go, and leaving would only delay the return.
   */
  isHealthy(): boolean {
    return this.machineTypes.length > 0 && (this.stateServed() || !this.peers.hasPeerWithStore());
  }

  private get leads(): boolean {
    const { state } = this.leadership;
    return this.leader !== null && (state === 'leading' || state === 'holding');
  }

  private saidBy(r: Heartbeat): void {
    this.parts.store.receiveWorkerToken(r.machine, r.fencingToken);
    this.leadership.observeToken(r.fencingToken, null);
    this.holding.observeFencingToken(r.fencingToken);
  }

  /** A report, by this node's own or another node's connection, answered as the leader. */
  private answer(r: Heartbeat, forwarded: boolean): LeaderHeartbeatOutcome {
    this.saidBy(r);
    const { leader } = this;
    if (leader === null || !this.leads) return { code: 503 };
    // Past its lease a leader may still keep the workers' leases alive, but only up to a horizon
    // that a new leader waits for before it takes a silent machine's tasks for gone.
    if (
      !this.leadership.holdsValidLease() &&
      this.leadership.msSinceLeaseConfirmed() > maxRenewalStalenessMs(this.parts.settings)
    )
      return { code: 503 };
    const renewal = leader.handleHeartbeat(r, this.leadership.msSinceLeaseConfirmed(), forwarded);
    if (renewal === null) return { code: 503 };
    return { code: 200, token: this.leadership.fencingToken, ...renewal };
  }

  /** A worker's report to this node. */
  handleHeartbeat(r: Heartbeat): HeartbeatOutcome | Promise<HeartbeatOutcome> {
    this.saidBy(r);
    return this.leads ? this.holding.handleHeartbeatAsLeader(r) : this.holding.handleHeartbeat(r);
  }
}
