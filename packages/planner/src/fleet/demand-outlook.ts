/**
 * Predicts whether unplaced demand can wait in the queues, and whether it needs on-demand machines.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';

/** Run times are underestimated on average, so the estimate of tasks run in sequence is multiplied by this. */
const SEQUENTIAL_RUN_FACTOR = 1.2;
/** Lower bound of estimated run times in seconds; avoids division by zero. */
const MIN_RUN_S = 0.5;
/** The estimated run time is multiplied by this when a job's slack is computed. */
const SLACK_RUN_FACTOR = 1.5;
/** A job without a deadline that may use spot machines also gets on-demand machines from this age on. */
const LATE_START_S = 30;
/** If the queue takes longer than this many boot times, the queued work is assumed not to start in time. */
const LONG_QUEUE_BOOTS = 2;
/**
 * A job counts as late when its deadline is closer than a boot time plus this multiple of its estimate plus
 * `LATE_MARGIN_S`.
 */
const LATE_RUN_FACTOR = 1.3;
const LATE_MARGIN_S = 10;

/**
 * How many of the job's tasks one slot can run in sequence before the deadline. With a slot for each waiting
 * task, an empty fleet was scaled out to twice the machines needed.
 */
export function countSequentialTasks(demand: UnplacedDemand, readyInS: number): number {
  const { spec, ageS, estimateS } = demand.job;
  if (spec.deadlineS === null || spec.kind !== 'array' || demand.isGuaranteed) return 1;
  const availableS = spec.deadlineS - ageS - readyInS;
  return Math.max(1, Math.floor(availableS / (Math.max(estimateS, MIN_RUN_S) * SEQUENTIAL_RUN_FACTOR)));
}

/**
 * The time in seconds that remains before the deadline if the job waits in the queues; 0 if the job is
 * guaranteed, has no deadline or would miss it.
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
  const queuedS = ageS + demand.startsInS * SEQUENTIAL_RUN_FACTOR + estimateS * SEQUENTIAL_RUN_FACTOR;
  const scaledOutS = ageS + type.bootS + spec.imageGb / type.fetchGbPerS + estimateS;
  const meetsMilestone = completionMilestonesS.some(
    (milestoneS) => queuedS > milestoneS && scaledOutS <= milestoneS,
  );
  if (spec.deadlineS === null) return ageS > LATE_START_S || meetsMilestone;
  // In a burst, machines that are requested only for late jobs come up when all jobs are late. Outside of
  // bursts, the queue is usually shorter than estimated and spot machines suffice. In an empty fleet, where the
  // estimated start is infinite, the requested machines are still booting.
  const isLongQueue = demand.startsInS > type.bootS * LONG_QUEUE_BOOTS && demand.startsInS < Infinity;
  if (meetsMilestone && (isBurst || isLongQueue)) return true;
  return spec.deadlineS - ageS < estimateS * LATE_RUN_FACTOR + type.bootS + LATE_MARGIN_S;
}
