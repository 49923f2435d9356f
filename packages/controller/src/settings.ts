/**
 * The settings of a controller, and the time limits that follow from them.
 *
 * @module
 */
import type { Objective, Team } from '@spurbridge/model';
import type { NodeId } from '@spurbridge/wire';

/** Another controller of the deployment. */
export interface PeerSettings {
  readonly node: NodeId;
  readonly zone: string;
  /** Where it receives the messages of other controllers, as `host:port`. */
  readonly address: string;
}

/** The workers' timing, in seconds. */
export interface WorkerSettings {
  /** The interval of heartbeats. */
  readonly reportS: number;
  /** How long a worker's lease lasts without a renewal. */
  readonly leaseS: number;
  /** How long a gang's task waits for the others to start. */
  readonly gangWaitS: number;
  /** How long a gang's task continues without the others. */
  readonly gangPeerS: number;
  /** How long tasks may continue to run after their job's cancellation was confirmed. */
  readonly cancelS: number;
}

/** The limits of the key-value store. */
export interface StoreSettings {
  /** Requests per second. */
  readonly rps: number;
  /** Write requests per second. */
  readonly writeRps: number;
  /** The size of one value, in kilobytes. */
  readonly valueKb: number;
  /** The operations of one transaction. */
  readonly txnOps: number;
}

/** The limits of the cloud provider. */
export interface CloudSettings {
  /** Requests per second. */
  readonly rps: number;
  /** How long the list of machines may be out of date, in seconds. */
  readonly listLagS: number;
}

/** The settings of a controller, as read from the platform's settings file. */
export interface Settings {
  readonly node: NodeId;
  readonly zone: string;
  /** Where users and workers connect, as `host:port`. */
  readonly listen: string;
  /** Where this controller receives the messages of other controllers, as `host:port`. */
  readonly peerListen: string;
  readonly peers: readonly PeerSettings[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly workers: WorkerSettings;
  readonly storeLimits: StoreSettings;
  readonly cloudLimits: CloudSettings;
  readonly maxSockets: number;
  /** Memory that the process may use, in megabytes; null without a limit. */
  readonly memoryMb: number | null;
  /** The share of a processor core that the process may use. */
  readonly cpuShare: number;
}

/** Subtracted from the time for which leases may be renewed, to allow for the duration of a renewal. */
const RENEWAL_MARGIN_MS = 2000;
/** Maximum heartbeat interval in milliseconds per second of `reportS`: workers vary the interval by up to a quarter. */
const MAX_INTERVAL_MS_PER_S = 1250;
const HEARTBEAT_TIMEOUT_MARGIN_MS = 3500;
/** After a failover, a worker finds the new leader with its next heartbeat, or with the one after. */
export const FAILOVER_DISCOVERY_MS = 3250;
/**
 * A heartbeat takes about 0.25 ms of processor time, and the heartbeats of idle machines are allowed an eighth of the
 * process's processor share.
 */
const SUSTAINABLE_HEARTBEATS_PER_S = 500;

/**
 * A leader may renew workers' leases for this many milliseconds after it last confirmed its own lease, and for as long
 * after it last confirmed its knowledge of cancellations (docs/design.md).
 */
export function maxRenewalStalenessMs({ workers }: Settings): number {
  return Math.max(0, (workers.cancelS - workers.leaseS) * 1000 - RENEWAL_MARGIN_MS);
}

/** The longest regular interval between two heartbeats of a worker, in milliseconds. */
export function maxHeartbeatIntervalMs({ workers }: Settings): number {
  return workers.reportS * MAX_INTERVAL_MS_PER_S;
}

/**
 * Time without a heartbeat (milliseconds) after which the machine or the network must have failed, or the worker uses
 * another controller.
 */
export function heartbeatTimeoutMs(settings: Settings): number {
  return maxHeartbeatIntervalMs(settings) + HEARTBEAT_TIMEOUT_MARGIN_MS;
}

/**
 * Time after an election (milliseconds) after which a machine that has not sent a heartbeat to the new leader is
 * unlikely to do so on its own.
 */
export function failoverDiscoveryTimeoutMs(settings: Settings): number {
  return maxHeartbeatIntervalMs(settings) + FAILOVER_DISCOVERY_MS;
}

/** The number of machines that one leader can serve within its processor share. */
export function sustainableMachineCount({ cpuShare, workers }: Settings): number {
  return Math.max(1, cpuShare * SUSTAINABLE_HEARTBEATS_PER_S * workers.reportS);
}
