/**
 * The identity of a start command.
 *
 * @module
 */
import type { Attempt, JobId } from '@spurbridge/wire';
import { formatTaskName } from '@spurbridge/wire';

/** The key under which a machine remembers a start command that was sent to it directly and is not confirmed. */
export function startCommandKey(job: JobId, task: number, attempt: Attempt): string {
  return `${formatTaskName(job, task)}#${attempt}`;
}
