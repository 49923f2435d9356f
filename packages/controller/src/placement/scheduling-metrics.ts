/**
 * What a leader counts about its plans during one term, for its logs.
 *
 * @module
 */

/** Counters of one term; each only grows. */
export class SchedulingMetrics {
  /** Tasks that were placed. */
  placedTasks = 0;
  /** Placements that a plan proposed and that the job's own terms forbid; they were not written. */
  refusedPlacements = 0;
  /** Tasks that were found on a machine that their job excludes, and were stopped. */
  misplacedTasks = 0;
  /** How often planning or placing a job failed, so that it was left out of the plans for a while. */
  planningFailures = 0;
}
