/**
 * A task on a simulated worker.
 *
 * @module
 */
import type { Attempt, ExitCause, JobId, JobSpec, TaskPhase } from '@spurbridge/wire';

/** One attempt at a task, as the worker reports it. */
export interface WorkerTask {
  readonly job: JobSpec;
  readonly task: number;
  readonly attempt: Attempt;
  phase: TaskPhase;
  /** Why it exited; null while it has not. */
  cause: ExitCause | null;
  /** Whether its progress was saved when it exited. */
  saved: boolean;
}

/** The key under which a worker keeps a task: at most one attempt of each. */
export function taskKey(job: JobId, task: number): string {
  return `${job}/${task}`;
}
