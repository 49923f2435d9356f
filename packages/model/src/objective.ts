/** An aim of the operators for a class of jobs, or for all. */
export interface Objective {
  /** `deadline`, `finished`, `wait` or `guarantee`; others are ignored. */
  readonly kind: string;
  readonly class: string | null;
  /** Seconds. */
  readonly withinS: number | null;
  /** Share of the jobs or tasks that are to meet it. */
  readonly share: number | null;
  /** Multiple of the job's own deadline. */
  readonly times: number | null;
}
