/**
 * What a simulated world is made of: its fleet, its controllers' settings and its users' habits.
 *
 * @module
 */
import type { LeaderComponentFactory, Logger } from '@spurbridge/controller';
import type { Team } from '@spurbridge/model';
import type { SnapshotDirectory } from '@spurbridge/snapshot';
import type { JobSpec, MachineType } from '@spurbridge/wire';
import type { SimNetwork } from './network.js';
import type { StoreLimits } from './store-rate-limit.js';
import type { TrafficObserver } from './traffic-digest.js';

/** Limits of the key-value store that no test reaches. */
export const AMPLE_STORE_LIMITS: StoreLimits = { rps: 1000, writeRps: 1000, valueKb: 16, txnOps: 12 };

/** Controllers of a world that does not say otherwise. */
export const DEFAULT_NODE_COUNT = 3;

/** How long a gang's task waits for the others, in seconds, where a world does not say otherwise. */
export const DEFAULT_GANG_WAIT_S = 20;

/** Within this a running gang's tasks notice that one of them is gone, in seconds. */
export const GANG_PEER_S = 4;

/** Time of day when a simulation begins, in milliseconds since 1970, where a world does not say otherwise. */
export const DEFAULT_WALL_CLOCK_START_MS = 1_700_000_000_000;

/** Snapshots that the controllers of a simulated world take. */
export interface SnapshotOptions {
  /** A directory that outlives the controllers. */
  readonly folder: SnapshotDirectory;
  /** Time between two snapshots, in milliseconds. */
  readonly everyMs: number;
}

/** Composition of a simulated world. */
export interface WorldOptions {
  /** All random draws of the world follow from it. */
  readonly seed: number;
  readonly teams: readonly Team[];
  readonly types: readonly MachineType[];
  readonly zones: readonly string[];
  /** Number of controllers; by default three. */
  readonly nodes?: number;
  /** How many machines the cloud has of each type, zone and kind (spot or not). */
  readonly capacity: number;
  /** Lease of a worker, in seconds. */
  readonly leaseS: number;
  /** Within this a cancelled job's tasks have to be gone, in seconds. */
  readonly cancelS: number;
  readonly log?: Logger;
  /** Is told of everything that the programs send. */
  readonly traffic?: TrafficObserver;
  /** How long a gang's task waits for the others, in seconds. */
  readonly gangWaitS?: number;
  /** Limits of the key-value store; by default ample. */
  readonly storeLimits?: StoreLimits;
  /** Components that a node's program adds to its leader. */
  readonly leaderComponents?: (host: string, network: SimNetwork) => readonly LeaderComponentFactory[];
  readonly snapshots?: SnapshotOptions;
  /** Time of day when the simulation begins, in milliseconds since 1970. */
  readonly wallClockStartMs?: number;
  /** Least time between two polls for an accepted job, in milliseconds; by default 1,500. */
  readonly userPollMs?: number;
  /** Whether a run of the task ends with an error. */
  readonly taskFails?: (job: JobSpec, task: number) => boolean;
  /** How long a task runs, in milliseconds; by default 0.6 to 1.4 times its estimate. */
  readonly taskRunMs?: (job: JobSpec, task: number) => number;
}
