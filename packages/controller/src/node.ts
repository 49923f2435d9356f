import type { Cloud } from '@spurbridge/cloud';
import type { ConfigurationVersion } from '@spurbridge/configuration';
import {
  FILE_VERSION,
  HEAD_KEY,
  LiveConfiguration,
  configurationOfFile,
  decodeHead,
} from '@spurbridge/configuration';
import type { WallMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { GuardedStore } from '@spurbridge/recovery';
import type { Candidate } from '@spurbridge/store';
import { Leadership, standsBackMs } from '@spurbridge/store';
import type {
  JobId,
  JobProgress,
  MachineType,
  NodeId,
  PeerMessage,
  Token,
  WorkerReport,
} from '@spurbridge/wire';
import { MalformedError } from '@spurbridge/wire';
import { cancelledIn } from './commands.js';
import type { NodeConfiguration } from './configuration-in-force.js';
import { ConfigurationInForce } from './configuration-in-force.js';
import { JobService } from './jobs.js';
import { Leader } from './leader.js';
import { Fitness } from './fitness.js';
import { Holding } from './holding.js';
import type { Log } from './log.js';
import type { PeerLink } from './peers.js';
import type { Settings } from './settings.js';
import { answerHorizonMs } from './settings.js';
import type { RoomFactory } from './leader-term.js';
import type { WorkerLink } from './worker-link.js';
import type { WorkerCommand } from '@spurbridge/wire';

export interface NodeParts {
  readonly settings: Settings;
  /** The state service, as far as it can be trusted; `changed` of its parts is to call `trustChanged`. */
  readonly store: GuardedStore;
  readonly cloud: Cloud;
  readonly workers: WorkerLink;
  readonly clock: Clock;
  readonly wallNow: () => WallMs;
  readonly log: Log;
  readonly link: (
    status: () => PeerMessage,
    receive: (message: PeerMessage) => void,
    closed: (node: NodeId) => void,
  ) => PeerLink;
  /** Tells this process from earlier ones of the same node. */
  readonly incarnation: string;
  /** Concerns of the leader beyond the usual ones. */
  readonly rooms?: readonly RoomFactory[];
}

export type ReportAnswer =
  | { readonly code: 200; readonly token: Token; readonly commands: readonly WorkerCommand[] }
  | { readonly code: 421; readonly leader: NodeId }
  | { readonly code: 503 };

/** As a leader answers: whoever holds the worker may answer it for `grantMs` more by itself. */
export type LeaderAnswer =
  (Extract<ReportAnswer, { code: 200 }> & { readonly grantMs: number }) | { readonly code: 503 };

const TYPES_MS = 60_000;
const STATE_LOST_MS = 2500;
const PROGRESS_KEPT = 5000;

/** One controller: what every node does, and its leader while it leads. */
export class Controller {
  readonly jobs: JobService;
  readonly leadership: Leadership;
  private readonly peers: PeerLink;
  private readonly holding: Holding;
  private readonly fitness: Fitness;
  private leader: Leader | null = null;
  private machineTypes: readonly MachineType[] = [];
  private readonly configuration: LiveConfiguration;
  private readonly inForce: ConfigurationInForce;
  private readonly progress = new Map<JobId, JobProgress>();

  constructor(private readonly parts: NodeParts) {
    const { settings, store, clock, log } = parts;
    this.fitness = new Fitness(clock);
    this.configuration = new LiveConfiguration(configurationOfFile(settings.teams, settings.objectives), {
      log,
      changed: () => {
        this.leader?.requestPlan();
        this.peers.broadcast(this.status());
      },
    });
    this.inForce = new ConfigurationInForce(settings, clock, {
      version: () => this.configuration.version,
      ageMs: () => store.copyAgeMs,
      leads: () => this.leads,
    });
    this.leadership = new Leadership(store, clock, settings.node, parts.incarnation, {
      elected: (token) => {
        this.elected(token);
      },
      resumed: () => {
        this.leader?.requestPlan();
      },
      deposed: (reason) => {
        this.fitness.lost();
        this.leader?.depose();
        this.leader = null;
        log.info({ reason }, 'no longer leading');
      },
      log: (message, fields) => {
        log.info(fields, message);
      },
      hasPeers: () => this.peers.someoneServed(),
      standsBackMs: () => standsBackMs(this.candidate(), this.holding.candidates()),
    });
    this.peers = parts.link(
      () => this.status(),
      (message) => {
        this.onPeer(message);
      },
      (node) => {
        this.holding.linkClosed(node);
      },
    );
    this.holding = new Holding({
      settings,
      clock,
      leadership: this.leadership,
      peers: this.peers,
      leads: () => this.leads,
      answer: (r, forwarded) => this.answer(r, forwarded),
      cancelled: (r) => cancelledIn(r, (id) => store.phaseOf(id)),
      hear: (r, ageMs) => {
        this.saidBy(r);
        if (this.leads) this.leader?.hear(r, ageMs);
      },
    });
    this.jobs = new JobService(
      settings,
      store,
      parts.wallNow,
      () => this.machineTypes,
      { current: () => this.configuration.current, latestVersion: () => this.latestVersion() },
      (id) => this.leader?.progress(id) ?? this.progress.get(id) ?? null,
    );
  }

  /** Machine types as the cloud last told them; none while they are not known. */
  get types(): readonly MachineType[] {
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

  private elected(token: Token): void {
    const { settings, store, cloud, workers, clock, wallNow, log } = this.parts;
    this.inForce.beginsToLead();
    const leader = new Leader({
      settings,
      configuration: () => this.configuration.current,
      planned: (version) => {
        if (!this.inForce.planned(version)) return;
        log.info({ version }, 'plans by this configuration');
        this.peers.broadcast(this.status());
      },
      store,
      cloud,
      workers,
      trust: store,
      leadership: this.leadership,
      clock,
      wallNow,
      log,
      types: () => this.machineTypes,
      rooms: this.parts.rooms ?? [],
      publish: (progress) => {
        this.peers.broadcast({ progress });
      },
      direct: () => this.holding.share,
      ready: () => {
        this.peers.broadcast(this.status());
      },
    });
    this.leader = leader;
    log.info({ token }, 'leading');
    store.led(token);
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
          const types = await this.parts.cloud.types();
          if (types !== null) this.machineTypes = types;
        } catch (e) {
          this.parts.log.error({ error: String(e) }, 'machine types cannot be read');
        }
      }
      await this.parts.clock.sleep(this.machineTypes.length === 0 ? 700 : TYPES_MS);
    }
  }

  private candidate(): Candidate {
    return { node: this.parts.settings.node, burden: this.fitness.burden };
  }

  private stateServed(): boolean {
    const since = this.parts.store.failingSince();
    return since === null || this.parts.clock.now() - since < STATE_LOST_MS;
  }

  private status(): PeerMessage {
    const known = this.leadership.leader();
    return {
      status: {
        node: this.parts.settings.node,
        token: known?.token ?? (0 as Token),
        leader: known?.node ?? ('' as NodeId),
        stateOk: this.stateServed(),
        ...this.parts.store.status(),
        ...this.holding.status(this.leader?.isReady === true),
        burden: this.fitness.burden,
        ...this.inForce.status(),
      },
    };
  }

  /** Which version each node goes by, this one first. */
  configurationStatus(): NodeConfiguration[] {
    return this.inForce.all();
  }

  /** The version that the state service holds now; null where it does not answer. */
  private async latestVersion(): Promise<ConfigurationVersion | null> {
    const found = await this.parts.store.read(HEAD_KEY, 1);
    if (found.outcome === 'absent') return FILE_VERSION;
    if (found.outcome !== 'found') return null;
    try {
      return decodeHead(found.item.value).version;
    } catch (e) {
      if (e instanceof MalformedError) return null;
      throw e;
    }
  }

  /** What is known of the state service's records has changed. */
  copyChanged(): void {
    this.configuration.seen((key) => this.parts.store.recordOf(key));
  }

  /** Peers hear at once when this node begins or ceases to trust the state service. */
  trustChanged(): void {
    this.peers.broadcast(this.status());
  }

  private onPeer(message: PeerMessage): void {
    const s = message.status;
    if (s !== undefined) this.parts.store.peerSaid(s);
    if (s !== undefined && s.leader !== '') this.leadership.observe(s.token, s.leader);
    if (s !== undefined) this.holding.peerSaid(s);
    if (s !== undefined) this.inForce.peerSaid(s);
    this.holding.take(message);
    for (const p of message.progress ?? []) {
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
  healthy(): boolean {
    return this.machineTypes.length > 0 && (this.stateServed() || !this.peers.someoneServed());
  }

  private get leads(): boolean {
    const { state } = this.leadership;
    return this.leader !== null && (state === 'leading' || state === 'holding');
  }

  private saidBy(r: WorkerReport): void {
    this.parts.store.workerSaid(r.machine, r.token);
    this.leadership.observe(r.token, null);
    this.holding.tokenSeen(r.token);
  }

  /** A report, by this node's own or another node's connection, answered as the leader. */
  private answer(r: WorkerReport, forwarded: boolean): LeaderAnswer {
    this.saidBy(r);
    const { leader } = this;
    if (leader === null || !this.leads) return { code: 503 };
    // Past its lease a leader may still keep the workers' leases alive, but only up to a horizon
    // that a new leader waits for before it takes a silent machine's tasks for gone.
    if (
      !this.leadership.holdsSurely() &&
      this.leadership.sinceConfirmed() > answerHorizonMs(this.parts.settings)
    )
      return { code: 503 };
    const renewal = leader.report(r, this.leadership.sinceConfirmed(), forwarded);
    if (renewal === null) return { code: 503 };
    return { code: 200, token: this.leadership.token, ...renewal };
  }

  /** A worker's report to this node. */
  report(r: WorkerReport): ReportAnswer | Promise<ReportAnswer> {
    this.saidBy(r);
    return this.leads ? this.holding.lead(r) : this.holding.report(r);
  }
}
