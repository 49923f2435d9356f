/**
 * The attempts that a heartbeat reports.
 *
 * @module
 */
import type { Attempt, JobId, TaskStatus } from '@spurbridge/wire';
import { formatAttemptName } from '@spurbridge/wire';

/**
 * The statuses in a heartbeat by attempt. A machine reports an exited attempt until it is told to forget it, beside a
 * later attempt at the same task, and in any order.
 */
export class ReportedAttempts {
  private readonly statuses = new Map<string, TaskStatus>();

  constructor(statuses: readonly TaskStatus[]) {
    for (const status of statuses)
      this.statuses.set(formatAttemptName(status.job, status.task, status.attempt), status);
  }

  /** The status of this very attempt; undefined if the machine does not report it. */
  find(job: JobId, task: number, attempt: Attempt): TaskStatus | undefined {
    return this.statuses.get(formatAttemptName(job, task, attempt));
  }
}
