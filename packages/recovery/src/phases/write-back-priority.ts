/**
 * The order in which recovered records are needed.
 *
 * @module
 */
import { JOB_KEY_PREFIX, TASK_KEY_PREFIX } from '@spurbridge/model';

/** Returns the priority of a record; lower numbers first: jobs, then their tasks, then everything else. */
export function writeBackPriority(key: string): number {
  if (key.startsWith(JOB_KEY_PREFIX)) return 0;
  return key.startsWith(TASK_KEY_PREFIX) ? 1 : 2;
}
