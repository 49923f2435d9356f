/**
 * Messages between the driver of a run and its helper processes.
 *
 * @module
 */
import type { MachineId } from '@spurbridge/wire';
import type { RunEvent } from './events.js';
import type { WorkloadShape } from './workload.js';

/** Durations of the worker protocol, in milliseconds. */
export interface WorkerTimes {
  readonly heartbeatIntervalMs: number;
  readonly leaseMs: number;
  readonly gangWaitMs: number;
  readonly gangPeerMs: number;
}

/** Role of the key-value store of one region, with its limits. */
export interface StoreRole {
  readonly role: 'state';
  readonly listen: string;
  readonly rps: number;
  readonly writeRps: number;
  readonly valueKb: number;
  readonly txnOps: number;
}

/** Role of the cloud provider of one region. */
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

/** Role of a process that hosts simulated workers. */
export interface WorkersRole {
  readonly role: 'workers';
  readonly region: number;
  readonly nodes: readonly NodeAddress[];
  readonly times: WorkerTimes;
  readonly workload: WorkloadShape;
}

/** Role of the process that simulates all users of one region. */
export interface UsersRole {
  readonly role: 'users';
  readonly nodes: readonly NodeAddress[];
  readonly workload: WorkloadShape;
}

/** A controller node and its address. */
export interface NodeAddress {
  readonly name: string;
  readonly address: string;
}

/** Role of a helper process, passed to it as JSON when it starts. */
export type Role = StoreRole | CloudRole | WorkersRole | UsersRole;

/** A machine that has finished booting. */
export interface MachineUp {
  readonly id: MachineId;
  readonly type: string;
  readonly zone: string;
  readonly spot: boolean;
}

/** Message from the driver to a helper process. */
export type Order =
  | { readonly order: 'up'; readonly machines: readonly MachineUp[] }
  | { readonly order: 'end'; readonly machines: readonly MachineId[] }
  | { readonly order: 'fail'; readonly machines: readonly MachineId[] }
  /** Makes the key-value store add the records of this number of ended jobs. */
  | { readonly order: 'remember'; readonly endedJobs: number }
  | { readonly order: 'read' };

/** Distribution of a latency, in milliseconds. */
export interface LatencySummary {
  readonly count: number;
  readonly p50: number;
  readonly p99: number;
  readonly most: number;
}

/** Totals of one process since its start. The latencies are those since the previous reading. */
export interface Reading {
  /** Bytes received and sent on the sockets of this process. */
  readonly bytesIn: number;
  readonly bytesOut: number;
  readonly sockets: number;
  /** Messages by kind. */
  readonly counts: Readonly<Record<string, number>>;
  readonly latencies: Readonly<Record<string, LatencySummary>>;
  readonly heapBytes: number;
  /** Number of tasks that are on the workers of this process now. */
  readonly tasks: number;
}

/** Message from a helper process to the driver. */
export type Notice =
  | { readonly notice: 'ready' }
  | { readonly notice: 'remembered' }
  | { readonly notice: 'events'; readonly events: readonly RunEvent[]; readonly until: number }
  | { readonly notice: 'up'; readonly machines: readonly MachineUp[] }
  | { readonly notice: 'ended'; readonly machines: readonly MachineId[] }
  | { readonly notice: 'reading'; readonly reading: Reading };
