/**
 * Estimates the cost of appending a task to a queue, which is mainly when the task would end.
 *
 * @module
 */

import type { JobView } from '../cluster-snapshot.js';
import type { MachineQueue } from './machine-queue.js';
import type { SchedulingPass } from './scheduling-pass.js';
import { COST_BUCKET_S } from './scheduling-pass.js';
import { imageFetchS } from './types.js';

/** The cost, in seconds, of each slot for a typical task that a replica takes away from a machine. */
const FRAGMENTATION_COST_S = 2;
/**
 * The cost, in seconds, of a replica that begins to serve later than its service-level objective allows. It
 * exceeds `FRAGMENTATION_COST_S`, so a replica takes a slot for a typical task if it would be late otherwise.
 */
const LATE_SERVICE_COST_S = 3;
/** With `isCostAware`, work allowed on spot machines prefers them even if it ends this many seconds later. */
const ON_DEMAND_COST_S = 4;
/**
 * Fixed surcharge, in seconds, on a gang's start that is not immediate. The estimated wait is added with a weight
 * that grows with the gang's age. Without this, gangs waited 50 to 100 s for machines that had their image and
 * were always estimated to be free soon, while other machines were empty.
 */
const GANG_DELAY_COST_S = 5;
/** The age in seconds at which the weight of a gang's estimated wait has doubled. */
const GANG_DELAY_AGE_S = 15;

/**
 * Estimates the next task of a job in a queue, and stores the result in the estimates of the pass.
 *
 * @param runS - the planned run time of the task on a machine of usual speed, in seconds.
 * @returns whether the task ever fits there.
 */
export function estimateTask(
  pass: SchedulingPass,
  job: JobView,
  queueIndex: number,
  queue: MachineQueue,
  runS: number,
): boolean {
  const { spec } = job;
  const { machine } = queue;
  pass.queueVisits += 1;
  const startS = queue.earliestStart(spec);
  if (startS === Infinity) return false;
  const readyS = startS + imageFetchS(job, machine);
  // A service never completes; the time at which it begins to serve counts instead.
  const endS = spec.kind === 'service' ? readyS : readyS + runS * machine.slowness;
  const { estimates } = pass;
  estimates.startsS[queueIndex] = startS;
  estimates.endsS[queueIndex] = endS;
  estimates.costBuckets[queueIndex] = Math.floor(costS(pass, job, queue, startS, endS) / COST_BUCKET_S);
  return true;
}

/** The end of the task, plus surcharges for disadvantages of the queue. */
function costS(
  { snapshot }: SchedulingPass,
  job: JobView,
  queue: MachineQueue,
  startS: number,
  endS: number,
): number {
  const { spec } = job;
  const isExpensive = snapshot.isCostAware && spec.spot && !queue.machine.spot;
  let cost = endS + (isExpensive ? ON_DEMAND_COST_S : 0);
  // A gang waits for the slowest of its queues, whose estimates are inexact.
  if (spec.kind === 'gang' && startS > 0)
    cost += GANG_DELAY_COST_S + startS * (1 + job.ageS / GANG_DELAY_AGE_S);
  if (spec.kind === 'service') {
    if (snapshot.typicalTask !== null)
      cost += queue.slotsLost(spec, snapshot.typicalTask) * FRAGMENTATION_COST_S;
    if (endS > job.toleratedWaitS) cost += LATE_SERVICE_COST_S;
  }
  return cost;
}
