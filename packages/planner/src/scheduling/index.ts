/**
 * Cotask scheduling: which waiting tasks start on which machines, and what is preempted for them.
 *
 * @module
 */

export { planTasks } from './cotask-scheduler.js';
export type { PlanOptions, SchedulingPlan, TaskPreemption, TaskStart, UnplacedDemand } from './types.js';
