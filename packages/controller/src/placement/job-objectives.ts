/**
 * What the operators' service-level objectives require for a single job.
 *
 * @module
 */
import type { Job, Objective } from '@spurbridge/model';

/** Kinds of objectives that scheduling takes into account. */
const START_KIND = 'wait';
const COMPLETION_KIND = 'finished';
const DEADLINE_KIND = 'deadline';
const GUARANTEE_KIND = 'guarantee';

/** Minimum tolerated wait of a service, in seconds. */
const MIN_SERVICE_WAIT_S = 0.5;
/** Tolerated wait of a job that has already missed its objectives, in seconds. */
const LATE_JOB_WAIT_S = 2;
/** Time reserved for the start itself, in seconds. */
const START_MARGIN_S = 1;

/** How long a job may still wait for its start without missing an objective, in seconds; a fixed time if it is late. */
export function toleratedWaitS(objectives: readonly Objective[], { spec }: Job, ageS: number): number {
  const objective =
    objectives.find(({ kind, class: jobClass }) => kind === START_KIND && jobClass === spec.class) ??
    objectives.find(({ kind }) => kind === GUARANTEE_KIND);
  const remainingS = (objective?.withinS ?? 0) - ageS;
  if (spec.kind === 'service') return Math.max(MIN_SERVICE_WAIT_S, remainingS);
  return remainingS - START_MARGIN_S > 0 ? remainingS - START_MARGIN_S : LATE_JOB_WAIT_S;
}

/** Ages in seconds, ascending, by which all of the job should have started. */
export function startMilestonesS(objectives: readonly Objective[], { spec }: Job): number[] {
  const ages: number[] = [];
  for (const { class: jobClass, kind, withinS } of objectives)
    if (jobClass === spec.class && kind === START_KIND && withinS !== null) ages.push(withinS);
  return sortAscending(ages);
}

/** Ages in seconds, ascending, by which the job should be complete; without objectives, its own deadline. */
export function completionMilestonesS(objectives: readonly Objective[], { spec }: Job): number[] {
  const ages: number[] = [];
  for (const { class: jobClass, kind, withinS, times } of objectives) {
    if (jobClass !== spec.class) continue;
    if (kind === DEADLINE_KIND && spec.deadlineS !== null) ages.push(spec.deadlineS * (times ?? 1));
    else if (kind === COMPLETION_KIND && withinS !== null) ages.push(withinS);
  }
  if (ages.length === 0 && spec.deadlineS !== null) ages.push(spec.deadlineS);
  return sortAscending(ages);
}

function sortAscending(ages: number[]): number[] {
  return ages.sort((left, right) => left - right);
}
