/**
 * One term of a leader, from its election until it is deposed.
 *
 * @module
 */
import type { CloudProvider } from '@spurbridge/cloud';
import type { Configuration, ConfigurationVersion } from '@spurbridge/configuration';
import type { WallClockMs } from '@spurbridge/model';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { Leadership, KeyValueStore } from '@spurbridge/store';
import type { FencingToken, JobId, JobProgress, MachineType } from '@spurbridge/wire';
import type { Logger } from '../logger.js';
import { WorkerReachability } from '../heartbeats/worker-reachability.js';
import { SchedulingMetrics } from '../placement/scheduling-metrics.js';
import type { Settings } from '../settings.js';
import type { WorkerClient } from '../heartbeats/worker-client.js';

/** The known integrity of the key-value store (docs/state-loss.md). */
export interface StoreIntegrityStatus {
  /** Whether everything that was ever written is known to have been read. */
  readonly continuous: boolean;
  /** Whether the store has lost data that no replica contained. */
  readonly hasLostData: boolean;
  /** To be called with every token that the leader gives to workers, beginning with that of its election. */
  recordIssuedToken(token: FencingToken): void;
  /** To be called once the leader knows what runs on every machine, regardless of earlier losses of the store. */
  confirmReconciled(): void;
  /**
   * The phase of a job according to this controller's replica, including jobs that ended long ago; null without a
   * record.
   */
  jobPhaseOf(id: JobId): string | null;
  /**
   * Staleness of the replica in milliseconds: it contains every cancellation that was confirmed at least this long ago.
   * Infinity without a replica.
   */
  readonly replicaAgeMs: number;
}

/** The workers that send their heartbeats directly to this process. */
export interface DirectWorkers {
  /** The number of their machines. */
  readonly size: number;
  /** When the latest heartbeat of any of them was received; null before the first one. */
  readonly lastHeartbeatAt: MonotonicMs | null;
}

/** The dependencies of a leader, provided by its controller. */
export interface LeaderContext {
  readonly storeIntegrity: StoreIntegrityStatus;
  readonly settings: Settings;
  readonly store: KeyValueStore;
  readonly cloud: CloudProvider;
  readonly workerClient: WorkerClient;
  readonly leadership: Leadership;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly log: Logger;
  /** The configuration that operators may change while jobs run, always one whole version. */
  readonly configuration: () => Configuration;
  readonly machineTypes: () => readonly MachineType[];
  readonly directWorkers: () => DirectWorkers;
  /** Called after a scheduling pass that used this version of the configuration. */
  readonly onPlanned: (version: ConfigurationVersion) => void;
  /** Called once the records are read, so that other controllers may announce their shards. */
  readonly onReady: () => void;
  /** Sends the progress of jobs to the other controllers. */
  readonly publishProgress: (progress: readonly JobProgress[]) => void;
}

/** What all components of one leader share during its term. */
export class LeaderTerm {
  readonly electedAt: MonotonicMs;
  /** Whether direct calls to workers succeed, which is evidence about this controller's own network. */
  readonly workerReachability: WorkerReachability;
  readonly metrics = new SchedulingMetrics();
  private hasEnded = false;

  constructor(readonly context: LeaderContext) {
    this.electedAt = context.clock.now();
    this.workerReachability = new WorkerReachability(context.clock);
  }

  /** Whether the term continues; the leader's loops end when it does not. */
  get isActive(): boolean {
    return !this.hasEnded;
  }

  /** Ends the term. */
  end(): void {
    this.hasEnded = true;
  }
}
