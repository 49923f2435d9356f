/**
 * Service-level objectives configured by operators.
 *
 * @module
 */

/**
 * A service-level objective for the jobs of one class, or for all jobs. Field names are part of the stored
 * format.
 */
export interface Objective {
  /** `deadline`, `finished`, `wait` or `guarantee`; other kinds are ignored. */
  readonly kind: string;
  /** The class of jobs that it applies to; null applies to all. */
  readonly class: string | null;
  /** The time limit of the objective in seconds, for kinds that have one. */
  readonly withinS: number | null;
  /** The share of jobs or tasks that should meet the objective. */
  readonly share: number | null;
  /** A multiple of the job's own deadline, for the kind `deadline`. */
  readonly times: number | null;
}
