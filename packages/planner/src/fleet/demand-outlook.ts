/**
 * How unplaced demand would fare: whether it can wait for the queues, and whether it needs on-demand machines.
 *
 * @module
 */

import type { MachineType } from '@spurbridge/wire';
import type { UnplacedDemand } from '../scheduling/index.js';

/** Estimates of run times are too short on average: tasks in succession are taken to need this much longer. */
const SUCCESSION_FACTOR = 1.2;
/** No task is estimated to run for less than this. */
const MIN_RUN_S = 0.5;
/** What a job's run time is taken to be, over its estimate, where its slack is computed. */
const SLACK_RUN_FACTOR = 1.5;
/** A job without a deadline that may use spot machines is given on-demand ones from this age on. */
const LATE_START_S = 30;
/** A queue of more than so many times a machine's boot time does not get to the work in time. */
const LONG_QUEUE_BOOTS = 2;
/** A job is late when its deadline is closer than a boot and this multiple of its estimate, ... */
const LATE_RUN_FACTOR = 1.3;
/** ... and this much more. */
const LATE_MARGIN_S = 10;

/**
 * How many of the job's tasks one slot on a machine can run one after another before its deadline. With a slot for each waiting
 * task, a start without any machines scaled out to twice as many as were needed.
 */
export function tasksInSuccession(demand: UnplacedDemand, readyInS: number): number {
  const { spec, ageS, estimateS } = demand.job;
  if (spec.deadlineS === null || spec.kind !== 'array' || demand.isGuaranteed) return 1;
  const availableS = spec.deadlineS - ageS - readyInS;
  return Math.max(1, Math.floor(availableS / (Math.max(estimateS, MIN_RUN_S) * SUCCESSION_FACTOR)));
}

/** Seconds that remain before the deadline if the job is left to the queues; 0 where it must not be left to them. */
export function deadlineSlackS(demand: UnplacedDemand): number {
  const { spec, ageS, estimateS } = demand.job;
  if (spec.deadlineS === null || demand.isGuaranteed) return 0;
  return Math.max(0, spec.deadlineS - ageS - estimateS * SLACK_RUN_FACTOR - demand.startsInS);
}

/** Whether work that may use spot machines gets an on-demand one of this type: only where its deadline would be missed. */
export function needsOnDemand(demand: UnplacedDemand, type: MachineType, isBurst: boolean): boolean {
  const { spec, ageS, estimateS, completionMilestonesS } = demand.job;
  const queuedS = ageS + demand.startsInS * SUCCESSION_FACTOR + estimateS * SUCCESSION_FACTOR;
  const scaledOutS = ageS + type.bootS + spec.imageGb / type.fetchGbPerS + estimateS;
  const meetsMilestone = completionMilestonesS.some(
    (milestoneS) => queuedS > milestoneS && scaledOutS <= milestoneS,
  );
  if (spec.deadlineS === null) return ageS > LATE_START_S || meetsMilestone;
  // In a burst, waiting until a job is late requests machines that come up when all jobs are late. In a usual minute the queue is
  // shorter than it seems, and spot machines are enough; before there are any machines, those requested are still booting.
  const isLongQueue = demand.startsInS > type.bootS * LONG_QUEUE_BOOTS && demand.startsInS < Infinity;
  if (meetsMilestone && (isBurst || isLongQueue)) return true;
  return spec.deadlineS - ageS < estimateS * LATE_RUN_FACTOR + type.bootS + LATE_MARGIN_S;
}
