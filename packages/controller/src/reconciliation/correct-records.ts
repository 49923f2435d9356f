/**
 * Corrects the restored placements according to the machines' heartbeats.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { Heartbeat, TaskStatus } from '@spurbridge/wire';
import { ReportedAttempts } from '../heartbeats/reported-attempts.js';
import type { ClusterState } from '../jobs/cluster-state.js';

/** How many placements differed from the records. */
export interface CorrectionCounts {
  /** Placements that their machine does not report. */
  gone: number;
  /** Running tasks that no record places on their machine. */
  adopted: number;
  /** Tasks that a machine has completed and that no record shows as done. */
  done: number;
}

/**
 * Replaces the recorded placements of each machine with the tasks in its heartbeat.
 *
 * @param restoredUntil placements that are newer than this were made by this leader, and are kept
 */
export function correctRecords(
  cluster: ClusterState,
  heartbeats: Iterable<Heartbeat>,
  restoredUntil: MonotonicMs,
): CorrectionCounts {
  const counts: CorrectionCounts = { gone: 0, adopted: 0, done: 0 };
  const all = [...heartbeats];
  // Stale placements are removed on all machines first, because their tasks may be reported by other machines.
  for (const heartbeat of all) removeUnreported(cluster, heartbeat, restoredUntil, counts);
  // Completed tasks come first: whether an attempt at them still runs elsewhere must not depend on the order of lists.
  for (const isCompleted of [true, false])
    for (const heartbeat of all) adoptReported(cluster, heartbeat, isCompleted, counts);
  return counts;
}

function removeUnreported(
  cluster: ClusterState,
  heartbeat: Heartbeat,
  restoredUntil: MonotonicMs,
  counts: CorrectionCounts,
): void {
  const reported = new ReportedAttempts(heartbeat.tasks);
  for (const { job, task } of [...cluster.tasksOn(heartbeat.machine)]) {
    const placement = job.placements.get(task);
    if (placement === undefined || placement.agentEpoch !== heartbeat.agentEpoch) continue;
    if (placement.placedAt > restoredUntil) continue;
    if (reported.find(job.spec.id, task, placement.attempt) !== undefined) continue;
    cluster.removePlacement(job, placement, false, 'not reported by its machine');
    counts.gone += 1;
  }
}

/** Adopts the reported tasks that are not placed: those that are completed, or those that have not exited. */
function adoptReported(
  cluster: ClusterState,
  heartbeat: Heartbeat,
  isCompleted: boolean,
  counts: CorrectionCounts,
): void {
  const machine = cluster.machines.get(heartbeat.machine);
  if (machine?.agentEpoch !== heartbeat.agentEpoch) return;
  if (machine.state === 'gone' || machine.state === 'releasing') return;
  for (const status of heartbeat.tasks) {
    const job = cluster.jobs.get(status.job);
    if (job === undefined || !isUnfinishedTask(job, status)) continue;
    if (isCompleted ? !isDone(status) : status.phase === 'exited') continue;
    if (!removeEarlierAttempt(cluster, job, status)) continue;
    cluster.adoptTask(job, status, heartbeat.machine, heartbeat.agentEpoch);
    if (isCompleted) {
      const placement = job.placements.get(status.task);
      if (placement !== undefined) cluster.removePlacement(job, placement, true, 'done');
      counts.done += 1;
    } else counts.adopted += 1;
  }
}

function isDone({ phase, cause }: TaskStatus): boolean {
  return phase === 'exited' && cause === 'done';
}

function isUnfinishedTask(job: Job, { task }: TaskStatus): boolean {
  return job.state === 'active' && task < job.spec.tasks && !job.isDone(task);
}

/**
 * Removes a placement of the task under an earlier attempt, which was proven gone before the reported attempt was
 * issued. Returns false if the placed attempt is not earlier than the reported one, which must not be adopted then.
 */
function removeEarlierAttempt(cluster: ClusterState, job: Job, status: TaskStatus): boolean {
  const placement = job.placements.get(status.task);
  if (placement === undefined) return true;
  if (placement.attempt >= status.attempt) return false;
  cluster.removePlacement(job, placement, false, 'replaced by a later attempt');
  return true;
}
