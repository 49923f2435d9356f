/**
 * The events by which the cluster state notifies the leader's components of changes.
 *
 * @module
 */
import type { Job, Machine, Placement } from '@spurbridge/model';
import type { MachineId } from '@spurbridge/wire';

/** Events of `ClusterState`. Listeners are called synchronously, in the order in which they registered. */
export interface ClusterEvents {
  /** A job was added to the cluster state. */
  jobAdded: [job: Job];
  /** What users see of the job may have changed. */
  jobChanged: [job: Job];
  /** A task was placed; its start is sent once the placement is durable. */
  taskPlaced: [job: Job, task: number];
  /** A placement was read from a record; an earlier leader may have sent its start. */
  taskRestored: [job: Job, task: number];
  /** A task is proven to be off its machine, whether done or not; `placement` is its state before the removal. */
  taskRemoved: [job: Job, placement: Placement, done: boolean, why: string];
  /** A task of a job was abandoned and will never be started again. */
  taskAbandoned: [job: Job, task: number];
  /** All tasks are done, or the job is cancelled. A cancelled job ends again when its last task is off its machine. */
  jobEnded: [job: Job];
  /** A task record was read whose job is done: its leader ended before it deleted the record. */
  obsoleteTaskRecordFound: [key: string];
  /** The job has ended and was removed from the cluster state. */
  jobReleased: [job: Job];
  /** Start or stop commands are due on the machine. */
  commandsDue: [machine: MachineId];
  /** A machine sent its first heartbeat to this leader. */
  machineUp: [machine: Machine];
  /** Something changed that requires a scheduling pass. */
  replanNeeded: [];
}
