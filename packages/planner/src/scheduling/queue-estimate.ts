/**
 * Estimates what it costs to append a task to a queue: mainly when it would end.
 *
 * @module
 */

import type { JobView } from '../cluster-snapshot.js';
import type { MachineQueue } from './machine-queue.js';
import { MIN_RUN_S } from './resources.js';
import type { SchedulingPass } from './scheduling-pass.js';
import { COST_GRAIN_S } from './scheduling-pass.js';
import { imageFetchS } from './types.js';

/** A replica that takes a whole task's slot on a machine is worth waiting so long to avoid. */
const FRAGMENTATION_COST_S = 2;
/** A replica that would serve later than its objective rather takes a whole task's slot. */
const LATE_SERVICE_COST_S = 3;
/** Where cost counts, work that may use spot machines takes them even if it ends this much later. */
const ON_DEMAND_COST_S = 4;
/**
 * Resources for a gang are taken to come free later than estimated, the more so the longer it has waited: gangs had waited 50 to
 * 100 s for machines with their image, always about to be free, beside empty ones.
 */
const GANG_DELAY_COST_S = 5;
/** The age at which the wait for a gang's resources counts twice. */
const GANG_DELAY_AGE_S = 15;

/**
 * Estimates the next task of a job in a queue, into the estimates of the pass.
 *
 * @returns whether the task ever fits there.
 */
export function estimateTask(
  pass: SchedulingPass,
  job: JobView,
  queueIndex: number,
  queue: MachineQueue,
): boolean {
  const { spec } = job;
  const { machine } = queue;
  pass.queueVisits += 1;
  const startS = queue.earliestStart(spec);
  if (startS === Infinity) return false;
  const readyS = startS + imageFetchS(job, machine);
  // A service never completes: for it, the time at which it begins to serve counts.
  const endS =
    spec.kind === 'service' ? readyS : readyS + Math.max(job.estimateS, MIN_RUN_S) * machine.slowness;
  const { estimates } = pass;
  estimates.startsS[queueIndex] = startS;
  estimates.endsS[queueIndex] = endS;
  estimates.costBuckets[queueIndex] = Math.floor(costS(pass, job, queue, startS, endS) / COST_GRAIN_S);
  return true;
}

/** The end of the task, with a surcharge for what speaks against the queue. */
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
  // A gang waits for the slowest of its queues, and the estimates of what runs there are inexact.
  if (spec.kind === 'gang' && startS > 0)
    cost += GANG_DELAY_COST_S + startS * (1 + job.ageS / GANG_DELAY_AGE_S);
  if (spec.kind === 'service') {
    if (snapshot.typicalTask !== null)
      cost += queue.slotsLost(spec, snapshot.typicalTask) * FRAGMENTATION_COST_S;
    if (endS > job.toleratedWaitS) cost += LATE_SERVICE_COST_S;
  }
  return cost;
}
