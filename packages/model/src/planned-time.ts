/**
 * The range of the durations that plans calculate with.
 *
 * @module
 */

/**
 * The longest duration that is planned with, in seconds: about thirty years. Users may send any finite amount. With this
 * bound, the time in which one machine would run all tasks of the largest job one after another is at most 1e14 s, so
 * that no sum or product of a plan overflows.
 */
export const MAX_PLANNED_S = 1e9;

/** The duration as plans use it: at most `MAX_PLANNED_S`, also if it is infinite or the result of 0/0. */
export function plannedDurationS(durationS: number): number {
  return durationS < MAX_PLANNED_S ? durationS : MAX_PLANNED_S;
}
