import type { MachineId } from '@spurbridge/wire';
import type { RunEvent } from './events.js';
import type { WorkloadShape } from './workload.js';

/** Durations of the protocol that workers keep, in milliseconds. */
export interface WorkerTimes {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly gangWaitMs: number;
  readonly gangPeerMs: number;
}

export interface StoreRole {
  readonly role: 'state';
  readonly listen: string;
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

export interface CloudRole {
  readonly role: 'cloud';
  readonly listen: string;
  readonly region: number;
  readonly zones: readonly string[];
  readonly machines: number;
  readonly rps: number;
  readonly listLagMs: number;
  readonly seed: number;
}

export interface WorkersRole {
  readonly role: 'workers';
  readonly region: number;
  readonly nodes: readonly NodeAddress[];
  readonly times: WorkerTimes;
  readonly workload: WorkloadShape;
}

export interface UsersRole {
  readonly role: 'users';
  readonly nodes: readonly NodeAddress[];
  readonly workload: WorkloadShape;
}

export interface NodeAddress {
  readonly name: string;
  readonly address: string;
}

/** What a process of the run is, as it is told when it starts. */
export type Role = StoreRole | CloudRole | WorkersRole | UsersRole;

/** One machine that is up. */
export interface MachineUp {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** From the driver to a process. */
export type Order =
  | { readonly order: 'up'; readonly machines: readonly MachineUp[] }
  | { readonly order: 'end'; readonly machines: readonly MachineId[] }
  | { readonly order: 'fail'; readonly machines: readonly MachineId[] }
  /** To the state service: records of so many jobs that ended long ago are there from now on. */
  | { readonly order: 'remember'; readonly endedJobs: number }
  | { readonly order: 'read' };

/** Distribution of a latency, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly most: number;
}

/** Totals of one process since it began; a latency is since the reading before. */
export interface Reading {
  /** Bytes on sockets of its own, in and out. */
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly sockets: number;
  /** Messages by kind. */
  readonly counts: Readonly<Record<string, number>>;
  readonly latencies: Readonly<Record<string, LatencySummary>>;
  readonly heapBytes: number;
  /** Tasks on the workers of this process now. */
  readonly tasks: number;
}

/** From a process to the driver. */
export type Notice =
  | { readonly notice: 'ready' }
  | { readonly notice: 'remembered' }
  | { readonly notice: 'events'; readonly events: readonly RunEvent[]; readonly until: number }
  | { readonly notice: 'up'; readonly machines: readonly MachineUp[] }
  | { readonly notice: 'ended'; readonly machines: readonly MachineId[] }
  | { readonly notice: 'reading'; readonly reading: Reading };
