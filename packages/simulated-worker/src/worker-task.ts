/**
 * A task on a simulated worker.
 *
 * @module
 */
import type { Attempt, ExitCause, JobSpec, TaskPhase } from '@spurbridge/wire';

/** One attempt at a task, as reported by the worker. */
export interface WorkerTask {
  readonly job: JobSpec;
  readonly task: number;
  readonly attempt: Attempt;
  phase: TaskPhase;
  /** Why it exited; null if it has not. */
  cause: ExitCause | null;
  /** Whether its progress was saved when it exited. */
  saved: boolean;
}
