/**
 * Predicts whether unplaced demand can wait for the queues, and whether it needs on-demand machines.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';

/** Run times are underestimated on average: the estimate for tasks run in sequence is multiplied by this. */
const SUCCESSION_FACTOR = 1.2;
/** Lower bound of estimated run times in seconds; avoids division by zero. */
const MIN_RUN_S = 0.5;
/** The estimated run time is multiplied by this when a job's slack is computed. */
const SLACK_RUN_FACTOR = 1.5;
/** A job without a deadline that may use spot machines is also given on-demand machines from this age on. */
const LATE_START_S = 30;
/** If the queue is longer than this many boot times, the queued work is assumed not to start in time. */
const LONG_QUEUE_BOOTS = 2;
/**
 * A job counts as late when its deadline is closer than a boot time plus this multiple of its estimate, ...
 */
const LATE_RUN_FACTOR = 1.3;
/** ... plus this many seconds. */
const LATE_MARGIN_S = 10;

/**
 * How many of the job's tasks one slot can run in sequence before the deadline. Requesting a slot for each
 * waiting task scaled out to twice the machines needed when starting from an empty fleet.
 */
export function tasksInSuccession(demand: UnplacedDemand, readyInS: number): number {
  const { spec, ageS, estimateS } = demand.job;
  if (spec.deadlineS === null || spec.kind !== 'array' || demand.isGuaranteed) return 1;
  const availableS = spec.deadlineS - ageS - readyInS;
  return Math.max(1, Math.floor(availableS / (Math.max(estimateS, MIN_RUN_S) * SUCCESSION_FACTOR)));
}

/**
 * Seconds until the deadline that remain if the job is left to the queues; 0 if it must not be left to them.
 */
export function deadlineSlackS(demand: UnplacedDemand): number {
  const { spec, ageS, estimateS } = demand.job;
  if (spec.deadlineS === null || demand.isGuaranteed) return 0;
  return Math.max(0, spec.deadlineS - ageS - estimateS * SLACK_RUN_FACTOR - demand.startsInS);
}

/**
 * Whether work that may use spot machines gets an on-demand machine of this type: only if its deadline would
 * be missed otherwise.
 */
export function needsOnDemand(demand: UnplacedDemand, type: MachineType, isBurst: boolean): boolean {
  const { spec, ageS, estimateS, completionMilestonesS } = demand.job;
  const queuedS = ageS + demand.startsInS * SUCCESSION_FACTOR + estimateS * SUCCESSION_FACTOR;
  const scaledOutS = ageS + type.bootS + spec.imageGb / type.fetchGbPerS + estimateS;
  const meetsMilestone = completionMilestonesS.some(
    (milestoneS) => queuedS > milestoneS && scaledOutS <= milestoneS,
  );
  if (spec.deadlineS === null) return ageS > LATE_START_S || meetsMilestone;
  // In a burst, waiting until a job is late requests machines that come up when all jobs are late. Normally
  // the queue is shorter than estimated and spot machines suffice; in an empty fleet, the requested ones are
  // still booting.
  const isLongQueue = demand.startsInS > type.bootS * LONG_QUEUE_BOOTS && demand.startsInS < Infinity;
  if (meetsMilestone && (isBurst || isLongQueue)) return true;
  return spec.deadlineS - ageS < estimateS * LATE_RUN_FACTOR + type.bootS + LATE_MARGIN_S;
}
