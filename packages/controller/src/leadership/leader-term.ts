import type { CloudProvider } from '@spurbridge/cloud';
import type { Configuration, ConfigurationVersion } from '@spurbridge/configuration';
import type { Job, WallClockMs } from '@spurbridge/model';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import type { Leadership, KeyValueStore } from '@spurbridge/store';
import type { JobId, JobProgress, MachineType } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';
import type { Logger } from '../logger.js';
import { WorkerReachability } from '../heartbeats/worker-reachability.js';
import type { Settings } from '../settings.js';
import type { WorkerClient } from '../heartbeats/worker-client.js';

/** What is known of the state service's own soundness (docs/state-loss.md). */
export interface StoreIntegrityStatus {
  /** Whether all that was ever written is known to have been read. */
  readonly continuous: boolean;
  /** Whether it has lost data that no copy held. */
  readonly hasLost: boolean;
  /** The leader knows what is on every machine, whatever the state service may have lost before. */
  settled(): void;
  /** Phase of a job by this node's copy of its record, also of one that is long over; null: no such record. */
  phaseOf(id: JobId): string | null;
  /** How old that copy is, in milliseconds: a cancellation confirmed earlier is in it. Infinity: there is none. */
  readonly copyAgeMs: number;
}

/** What a leader works with, and is given by its node. */
export interface LeaderContext {
  readonly storeIntegrity: StoreIntegrityStatus;
  readonly settings: Settings;
  /** What operators may change while jobs run: one whole version at a time. */
  readonly configuration: () => Configuration;
  /** A plan went by this version. */
  readonly onPlanned: (version: ConfigurationVersion) => void;
  readonly store: KeyValueStore;
  readonly cloud: CloudProvider;
  readonly workerClient: WorkerClient;
  readonly leadership: Leadership;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly log: Logger;
  readonly machineTypes: () => readonly MachineType[];
  readonly publishProgress: (progress: readonly JobProgress[]) => void;
  /** Machines whose workers report to this node itself, and when any of them did, the last time. */
  readonly directWorkers: () => { readonly size: number; readonly lastAt: MonotonicMs | null };
  /** The records are read: holders may tell what they know of their machines. */
  readonly onReady: () => void;
  /** Concerns beyond the usual ones, switched on by the program that was started. */
  readonly leaderComponents: readonly LeaderComponentFactory[];
}

/** One node's time as leader, from election to deposition: what every room of the leader shares. */
export class LeaderTerm {
  readonly electedAt: MonotonicMs;
  /** What direct calls to machines say of this node's own network. */
  readonly workerReachability: WorkerReachability;
  private over = false;

  constructor(readonly context: LeaderContext) {
    this.electedAt = context.clock.now();
    this.workerReachability = new WorkerReachability(context.clock);
  }

  get isActive(): boolean {
    return !this.over;
  }

  end(): void {
    this.over = true;
  }
}

/**
 * A concern of its own beside planning, recording, reports, fleet and sweeping. It takes the cluster's state,
 * is told of its changes (`Cluster` is an emitter), and lives as long as its leader.
 */
export interface LeaderComponent {
  /** Reads what an earlier leader left; the first plan comes after it. Resolves early when deposed. */
  restore(): Promise<void>;
  run(): Promise<void>;
  /** Whether the job takes part in the order now: only what has joined is planned. */
  isSchedulable(job: Job): boolean;
  /** Whether a job whose tasks are all done may be closed, and its task records deleted. */
  mayClose(job: Job): boolean;
  /** Whether it knows all cancellations that a report's answer must not outlive (docs/design.md, "Renewals"). */
  readonly isFresh: boolean;
}

export type LeaderComponentFactory = (term: LeaderTerm, cluster: ClusterState) => LeaderComponent;
