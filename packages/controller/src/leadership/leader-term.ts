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
import type { JobId, JobProgress, MachineType } from '@spurbridge/wire';
import type { Logger } from '../logger.js';
import { WorkerReachability } from '../heartbeats/worker-reachability.js';
import type { Settings } from '../settings.js';
import type { WorkerClient } from '../heartbeats/worker-client.js';

/** What is known of the integrity of the key-value store (docs/state-loss.md). */
export interface StoreIntegrityStatus {
  /** Whether everything that was ever written is known to have been read. */
  readonly continuous: boolean;
  /** Whether the store has lost data of which no replica had a copy. */
  readonly hasLostData: boolean;
  /** Called once the leader knows what runs on every machine, whatever the store may have lost before. */
  confirmReconciled(): void;
  /** The phase of a job by this controller's replica of its record, also of jobs that ended long ago; null without a record. */
  jobPhaseOf(id: JobId): string | null;
  /** Milliseconds by which the replica is out of date: it contains every cancellation confirmed before. Infinity without one. */
  readonly replicaAgeMs: number;
}

/** The workers that send their heartbeats directly to this process. */
export interface DirectWorkers {
  /** The number of their machines. */
  readonly size: number;
  /** When any of them last did; null before the first heartbeat. */
  readonly lastAt: MonotonicMs | null;
}

/** What a leader works with, provided by the controller it runs in. */
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
  /** Called once the records are read: other controllers may announce their shards. */
  readonly onReady: () => void;
  /** Sends the progress of jobs to the other controllers. */
  readonly publishProgress: (progress: readonly JobProgress[]) => void;
}

/** What all components of one leader share during its term. */
export class LeaderTerm {
  readonly electedAt: MonotonicMs;
  /** Whether direct calls to workers succeed, which says something of this controller's own network. */
  readonly workerReachability: WorkerReachability;
  private hasEnded = false;

  constructor(readonly context: LeaderContext) {
    this.electedAt = context.clock.now();
    this.workerReachability = new WorkerReachability(context.clock);
  }

  /** Whether the term goes on; loops of the leader end when it does not. */
  get isActive(): boolean {
    return !this.hasEnded;
  }

  /** Ends the term. */
  end(): void {
    this.hasEnded = true;
  }
}
