/**
 * The interface between a simulated worker and its environment.
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
import type { WorkerTask } from './worker-task.js';

/** A controller's response to a heartbeat, by its status code. */
export type HeartbeatResult =
  /** The lease is renewed, and the commands are to be executed. */
  | { readonly code: 200; readonly fencingToken: FencingToken; readonly commands: readonly WorkerCommand[] }
  /** Another node is responsible for the worker. */
  | { readonly code: 421; readonly leader: string }
  /** The node serves no workers now and cannot name one that does. */
  | { readonly code: 503 };

/** The machine on which a task was started. */
export interface TaskPlacement {
  readonly machine: MachineId;
  readonly zone: string;
  readonly type: string;
  readonly spot: boolean;
}

/** Observes the tasks on a worker. */
export interface TaskObserver {
  /** Number of tasks that were killed because their worker's lease expired. */
  killedByLease: number;
  /** The task was started after its image had been fetched, and occupies the machine from now on. */
  taskStarted(job: JobSpec, task: number, attempt: Attempt, at: TaskPlacement): void;
  /** The task left the machine, at `atMs` at the latest if that is before now. */
  taskStopped(job: JobId, task: number, machine: MachineId, isDone: boolean, atMs?: number): void;
  /** All tasks of a gang completed together. */
  gangCompleted(job: JobSpec, attempt: Attempt): void;
  /** Whether the task was done before, in which case its result is kept. */
  isTaskDone(job: JobId, task: number): boolean;
}

/** The worker that sends a heartbeat. */
export interface HeartbeatSender {
  readonly id: MachineId;
}

/** The environment of a worker: time, controllers, jobs and the observer of its tasks. */
export interface WorkerHost {
  readonly time: Timeline;
  readonly observer: TaskObserver;
  /** Names or addresses of the controller nodes. */
  readonly nodes: readonly string[];
  /** Mean time between two heartbeats, in milliseconds. */
  readonly heartbeatIntervalMs: number;
  /** Length of the worker's lease, in milliseconds. */
  readonly leaseMs: number;
  /** How long a gang task waits for the others to start, in milliseconds. */
  readonly gangWaitMs: number;
  /**
   * Time within which gang tasks detect the loss of another one, and within which all must be told to stop, in
   * milliseconds.
   */
  readonly gangPeerMs: number;
  readonly gangs: GangRegistry;
  /** A random integer from 0 to `below` - 1. */
  readonly random: (below: number) => number;
  /** The order in which a heartbeat lists these tasks, which are in the order of their starts; the protocol sets none. */
  readonly listTasks: (tasks: readonly WorkerTask[]) => readonly WorkerTask[];
  /** Whether this run of the task ends with an error. */
  readonly taskFails: (job: JobSpec, task: number) => boolean;
  /** The specification of a job; undefined if there is no such job. */
  findJob(id: JobId): JobSpec | undefined;
  /** The run time of the task, in milliseconds. */
  taskRunMs(job: JobSpec, task: number): number;
  /** The address at which the worker accepts direct commands. */
  addressOf(id: MachineId): string;
  /** Sends a heartbeat to a node; null if there was no response in time. */
  sendHeartbeat(worker: HeartbeatSender, node: string, heartbeat: Heartbeat): Promise<HeartbeatResult | null>;
}
