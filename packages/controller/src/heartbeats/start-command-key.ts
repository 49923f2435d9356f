/**
 * The identity of a start command.
 *
 * @module
 */
import type { Attempt, JobId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';

/** The key of a start command that was sent to a machine directly. */
export function startCommandKey(job: JobId, task: number, attempt: Attempt): string {
  return `${formatTaskName(job, task)}#${attempt}`;
}
