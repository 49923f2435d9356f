import type { Objective, Team } from '@spurbridge/model';
import type { NodeId } from '@spurbridge/wire';

/** The platform's settings file, as the controllers use it. */
export interface Settings {
  readonly node: NodeId;
  readonly zone: string;
  readonly listen: string;
  readonly peerListen: string;
  readonly peers: readonly { readonly node: NodeId; readonly zone: string; readonly address: string }[];
  readonly cloudAddress: string;
  readonly storeAddress: string;
  readonly teams: readonly Team[];
  readonly objectives: readonly Objective[];
  readonly workers: {
    readonly reportS: number;
    readonly leaseS: number;
    readonly gangWaitS: number;
    readonly gangPeerS: number;
    readonly cancelS: number;
  };
  readonly storeLimits: {
    readonly rps: number;
    readonly writeRps: number;
    readonly valueKb: number;
    readonly txnOps: number;
  };
  readonly cloudLimits: { readonly rps: number; readonly listLagS: number };
  readonly maxSockets: number;
  /** Memory that the process may hold, in megabytes; null: not stated. */
  readonly memoryMb: number | null;
  /** Share of a core that a controller may use. */
  readonly cpuShare: number;
}

/** How long after its last confirmed contact a leader may still answer reports (docs/design.md). */
export function maxRenewalStalenessMs(s: Settings): number {
  return Math.max(0, (s.workers.cancelS - s.workers.leaseS) * 1000 - 2000);
}

/** Workers vary their reports' interval by a quarter. */
export function maxHeartbeatIntervalMs(s: Settings): number {
  return s.workers.reportS * 1250;
}

/** No report for this long: the machine, the network or the worker's choice of node is at fault. */
export function heartbeatTimeoutMs(s: Settings): number {
  return maxHeartbeatIntervalMs(s) + 3500;
}

/** After a takeover, workers find the new leader with their next report, or with the one after. */
export const FAILOVER_DISCOVERY_MS = 3250;

/** Whoever was not heard by a new leader for this long will hardly come by itself. */
export function failoverDiscoveryTimeoutMs(s: Settings): number {
  return maxHeartbeatIntervalMs(s) + FAILOVER_DISCOVERY_MS;
}

/** A report costs about a quarter of a millisecond of a core; idle ones should take an eighth of the share. */
const EASY_REPORTS_PER_S = 500;

/** How many machines one leader looks after with ease on its processor share. */
export function sustainableMachineCount(s: Settings): number {
  return Math.max(1, s.cpuShare * EASY_REPORTS_PER_S * s.workers.reportS);
}
