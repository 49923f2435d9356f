/**
 * Stop commands for tasks of cancelled jobs.
 *
 * @module
 */
import type { Heartbeat, JobId, WorkerCommand } from '@spurbridge/wire';

/** The stop commands for those running tasks of a heartbeat whose jobs are cancelled according to `phaseOf`. */
export function stopsForCancelledTasks(
  heartbeat: Heartbeat,
  phaseOf: (job: JobId) => string | null,
): WorkerCommand[] {
  return heartbeat.tasks
    .filter(({ phase, job }) => phase !== 'exited' && phaseOf(job) === 'cancelled')
    .map(({ job, task, attempt }) => ({ op: 'stop' as const, job, task, attempt, graceS: 0 }));
}
