/**
 * The leader role of a controller: its leader during a term, and the operations that the rest of the process uses.
 *
 * @module
 */
import type { ConfigurationReplica } from '@spurbridge/configuration';
import type { Leadership } from '@spurbridge/store';
import type { FencingToken, Heartbeat, JobId, JobProgress } from '@spurbridge/wire';
import type { LeaderHeartbeatOutcome } from '../heartbeats/heartbeat-outcome.js';
import { HEARTBEAT_UNAVAILABLE } from '../heartbeats/heartbeat-outcome.js';
import type { ConfigurationRollout } from '../peers/configuration-rollout.js';
import { maxRenewalStalenessMs } from '../settings.js';
import type { ControllerOptions } from './controller-options.js';
import { Leader } from './leader.js';
import type { DirectWorkers, LeaderContext } from './leader-term.js';
import type { LocalLeader } from './local-leader.js';
import type { MachineTypeCatalog } from './machine-type-catalog.js';

/** The operations of its controller that the leader role uses. */
export interface LeaderRoleHost {
  readonly leadership: Leadership;
  readonly configuration: ConfigurationReplica;
  readonly rollout: ConfigurationRollout;
  readonly machineTypes: MachineTypeCatalog;
  /** The workers that send their heartbeats directly to this process. */
  directWorkers(): DirectWorkers;
  /** Observes the fencing token in a heartbeat. */
  observeHeartbeat(heartbeat: Heartbeat): void;
  /** Sends this controller's status to the other controllers. */
  broadcastStatus(): void;
  /** Sends the progress of jobs to the other controllers. */
  publishProgress(progress: readonly JobProgress[]): void;
}

/** Starts a leader on election, ends it on deposition, and passes heartbeats to it in between. */
export class LeaderRole implements LocalLeader {
  private leader: Leader | null = null;

  constructor(
    private readonly options: ControllerOptions,
    private readonly host: LeaderRoleHost,
  ) {}

  /** Whether a leader runs in this process. */
  get hasLeader(): boolean {
    return this.leader !== null;
  }

  /** Whether a leader runs in this process and may handle heartbeats. */
  get isLeading(): boolean {
    const { state } = this.host.leadership;
    return this.leader !== null && (state === 'leading' || state === 'holding');
  }

  /** Whether the leader has read the records. */
  get isReady(): boolean {
    return this.leader?.isReady === true;
  }

  /** The progress of a job as the leader knows it; null if no leader runs in this process. */
  progressOf(job: JobId): JobProgress | null {
    return this.leader?.progressOf(job) ?? null;
  }

  /** Requests a scheduling pass, if a leader runs here. */
  requestSchedulingPass(): void {
    this.leader?.requestSchedulingPass();
  }

  /** Starts a leader under the fencing token of the election. */
  start(fencingToken: FencingToken): void {
    const { store, log } = this.options;
    this.host.rollout.onElected();
    const leader = new Leader(this.createContext(), this.options.leaderComponents ?? []);
    this.leader = leader;
    log.info({ token: fencingToken }, 'leading');
    store.recordIssuedToken(fencingToken);
    store
      .writeBack(() => this.leader === leader)
      .catch((error: unknown) => {
        log.error({ error: String(error) }, 'writing recovered records back failed');
      });
    this.host.broadcastStatus();
    leader.run().catch((error: unknown) => {
      log.error({ error: describeError(error) }, 'leader failed');
      leader.depose();
      void this.host.leadership.resign('the leader failed');
    });
  }

  /** Ends the leader. */
  end(): void {
    this.leader?.depose();
    this.leader = null;
  }

  /**
   * Handles a heartbeat as the leader; unavailable if this controller no longer leads or its knowledge is too stale.
   */
  handleHeartbeat(heartbeat: Heartbeat, isForwarded: boolean): LeaderHeartbeatOutcome {
    const { leadership } = this.host;
    this.host.observeHeartbeat(heartbeat);
    const { leader } = this;
    if (leader === null || !this.isLeading || !this.mayRenewLeases()) return HEARTBEAT_UNAVAILABLE;
    const renewal = leader.handleHeartbeat(heartbeat, leadership.msSinceLeaseConfirmed(), isForwarded);
    if (renewal === null) return HEARTBEAT_UNAVAILABLE;
    return { outcome: 'accepted', electionToken: leadership.fencingToken, ...renewal };
  }

  /** Processes a heartbeat that another controller has already responded to. */
  receiveForwardedHeartbeat(heartbeat: Heartbeat, ageMs: number): void {
    this.host.observeHeartbeat(heartbeat);
    if (this.isLeading) this.leader?.receiveForwardedHeartbeat(heartbeat, ageMs);
  }

  /**
   * A leader whose own lease has expired may still renew workers' leases, but only for a limited time. A new leader
   * waits for that time before it considers the tasks of a silent machine gone.
   */
  private mayRenewLeases(): boolean {
    const { leadership } = this.host;
    return (
      leadership.holdsValidLease() ||
      leadership.msSinceLeaseConfirmed() <= maxRenewalStalenessMs(this.options.settings)
    );
  }

  private createContext(): LeaderContext {
    const { settings, store, cloud, workerClient, clock, wallNow, log } = this.options;
    const { host } = this;
    return {
      settings,
      store,
      storeIntegrity: store,
      cloud,
      workerClient,
      leadership: host.leadership,
      clock,
      wallNow,
      log,
      configuration: () => host.configuration.current,
      machineTypes: () => host.machineTypes.types,
      directWorkers: () => host.directWorkers(),
      onPlanned: (version) => {
        if (!host.rollout.recordPlan(version)) return;
        log.info({ version }, 'first scheduling pass completed with this configuration version');
        host.broadcastStatus();
      },
      onReady: () => {
        host.broadcastStatus();
      },
      publishProgress: (progress) => {
        host.publishProgress(progress);
      },
    };
  }
}

function describeError(error: unknown): string {
  return error instanceof Error ? (error.stack ?? error.message) : String(error);
}
