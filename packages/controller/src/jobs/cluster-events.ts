/**
 * The events by which the cluster state tells the leader's components what has changed.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';

/** Events of `ClusterState`. Listeners are called synchronously, in the order in which they registered. */
export interface ClusterEvents {
  /** A job was added: from now on it is known here. */
  jobAdded: [job: Job];
  /** What users see of the job may have changed. */
  jobChanged: [job: Job];
  /** A task was placed; its start is sent once the placement is durable. */
  taskPlaced: [job: Job, task: number];
  /** A task is proven to be off its machine, done or not, and why; the placement as it was before. */
  taskRemoved: [job: Job, placement: Placement, done: boolean, why: string];
  /** A task of a job was abandoned: it will never be started again. */
  taskAbandoned: [job: Job, task: number];
  /** All tasks are done, or the job is cancelled. A cancelled job ends again when its last task is off its machine. */
  jobEnded: [job: Job];
  /** The job is over and nothing refers to it any more. */
  jobReleased: [job: Job];
  /** Start or stop commands are due on the machine. */
  commandsDue: [machine: MachineId];
  /** A machine sent its first heartbeat to this leader. */
  machineUp: [machine: Machine];
  /** Something changed that the next scheduling pass should see. */
  replanNeeded: [];
}
