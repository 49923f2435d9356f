/**
 * What a simulated worker needs of the world that it is in.
 *
 * @module
 */
import type {
  Attempt,
  FencingToken,
  Heartbeat,
  JobId,
  JobSpec,
  MachineId,
  WorkerCommand,
} from '@spurbridge/wire';
import type { GangRegistry } from './gangs.js';
import type { Timeline } from './timeline.js';

/** What a controller answers to a heartbeat, by the status code of the response. */
export type HeartbeatResult =
  /** The lease is renewed, and the commands are to be executed. */
  | { readonly code: 200; readonly fencingToken: FencingToken; readonly commands: readonly WorkerCommand[] }
  /** Another node is responsible for the worker. */
  | { readonly code: 421; readonly leader: string }
  /** No node can be named now. */
  | { readonly code: 503 };

/** Where a task was started. */
export interface TaskPlacement {
  readonly machine: MachineId;
  readonly zone: string;
  readonly type: string;
  readonly spot: boolean;
}

/** Is told of what happens to tasks on a worker. */
export interface TaskObserver {
  /** Tasks that ended with a lease that nobody renewed. */
  killedByLease: number;
  /** The task has its image and is on the machine from now on. */
  taskStarted(job: JobSpec, task: number, attempt: Attempt, at: TaskPlacement): void;
  /** The task is off the machine; since `atMs` at the latest, where that is before now. */
  taskStopped(job: JobId, task: number, machine: MachineId, isDone: boolean, atMs?: number): void;
  /** All tasks of a gang are done at once. */
  gangCompleted(job: JobSpec, attempt: Attempt): void;
  /** Whether the task was done before: its result is kept. */
  isTaskDone(job: JobId, task: number): boolean;
}

/** The worker that sends a heartbeat. */
export interface HeartbeatSender {
  readonly id: MachineId;
}

/** The surroundings of a worker: time, controllers, jobs and the observer of its tasks. */
export interface WorkerHost {
  readonly time: Timeline;
  readonly observer: TaskObserver;
  /** Names or addresses of the controller nodes. */
  readonly nodes: readonly string[];
  /** Mean time between two heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  /** Length of the worker's lease, in milliseconds. */
  readonly leaseMs: number;
  /** How long a gang's task waits for the others to start, in milliseconds. */
  readonly gangWaitMs: number;
  /** Within this the tasks of a gang notice that one is gone, and have to hear of a stop, in milliseconds. */
  readonly gangPeerMs: number;
  readonly gangs: GangRegistry;
  /** A random whole number from 0 up to `below`, without it. */
  readonly random: (below: number) => number;
  /** Whether this run of the task ends with an error. */
  readonly taskFails: (job: JobSpec, task: number) => boolean;
  /** The description of a job; undefined: there is no such job. */
  findJob(id: JobId): JobSpec | undefined;
  /** How long the task runs, in milliseconds. */
  taskRunMs(job: JobSpec, task: number): number;
  /** The address at which the worker takes direct commands. */
  addressOf(id: MachineId): string;
  /** Sends a heartbeat to a node; null: no response in time. */
  sendHeartbeat(worker: HeartbeatSender, node: string, heartbeat: Heartbeat): Promise<HeartbeatResult | null>;
}
