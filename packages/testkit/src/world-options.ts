/**
 * Options of a simulated environment: its fleet, its controllers' settings and its users' behaviour.
 *
 * @module
 */
import type { LeaderComponentFactory, Logger } from '@spurbridge/controller';
import type { Team } from '@spurbridge/model';
import type { SnapshotDirectory } from '@spurbridge/snapshot';
import type { JobSpec, MachineType } from '@spurbridge/wire';
import type { SimNetwork } from './network.js';
import type { StoreLimits } from './store-rate-limit.js';
import type { TaskListOrder } from './task-list-order.js';
import type { TrafficObserver } from './traffic-digest.js';

/** Limits of the key-value store that are too high for any test to reach. */
export const AMPLE_STORE_LIMITS: StoreLimits = { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 };

/** Default number of controllers. */
export const DEFAULT_NODE_COUNT = 3;

/** Default time that a gang task waits for the others, in seconds. */
export const DEFAULT_GANG_WAIT_S = 20;

/** Time within which tasks of a running gang detect the loss of another, in seconds. */
export const GANG_PEER_S = 4;

/** Default wall-clock time at the start of the simulation, in milliseconds since 1970. */
export const DEFAULT_WALL_CLOCK_START_MS = 1_700_000_000_000;

/** Snapshots taken by the controllers of a simulated environment. */
export interface SnapshotOptions {
  /** A directory that outlives the controllers. */
  readonly directory: SnapshotDirectory;
  /** Time between two snapshots, in milliseconds. */
  readonly intervalMs: number;
}

/** Options of a simulated environment. */
export interface WorldOptions {
  /** Determines all random draws of the environment. */
  readonly seed: number;
  readonly teams: readonly Team[];
  readonly types: readonly MachineType[];
  readonly zones: readonly string[];
  /** Number of controllers; by default three. */
  readonly nodes?: number;
  /** The number of machines that the cloud has of each type, zone and purchase option (spot or not). */
  readonly capacity: number;
  /** Lease of a worker, in seconds. */
  readonly leaseS: number;
  /** Time within which a cancelled job's tasks must be gone, in seconds. */
  readonly cancelS: number;
  readonly log?: Logger;
  /** Observes everything that the programs send. */
  readonly traffic?: TrafficObserver;
  /** How long a gang task waits for the others, in seconds. */
  readonly gangWaitS?: number;
  /** Limits of the key-value store; by default ample. */
  readonly storeLimits?: StoreLimits;
  /** Components that a node's program adds to its leader. */
  readonly leaderComponents?: (host: string, network: SimNetwork) => readonly LeaderComponentFactory[];
  readonly snapshots?: SnapshotOptions;
  /** Wall-clock time at the start of the simulation, in milliseconds since 1970. */
  readonly wallClockStartMs?: number;
  /** Minimum time between two polls for an accepted job, in milliseconds; by default 1,500. */
  readonly userPollMs?: number;
  /** The order in which all workers list their tasks; by default one is drawn for each worker. */
  readonly listTasks?: TaskListOrder;
  /** Whether a run of the task ends with an error. */
  readonly taskFails?: (job: JobSpec, task: number) => boolean;
  /** The run time of a task, in milliseconds; by default 0.6 to 1.4 times its estimate. */
  readonly taskRunMs?: (job: JobSpec, task: number) => number;
}
