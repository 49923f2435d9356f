/**
 * The domain model: state machines of jobs, gangs, placements and machines, the stored records of jobs and
 * tasks, admission, and service levels.
 *
 * @module
 */

export * from './admission.js';
export * from './direct-starts.js';
export * from './errors.js';
export * from './gang.js';
export * from './job.js';
export * from './machine-exclusions.js';
export * from './machine.js';
export type { Objective } from './objective.js';
export type { Placement, PlacementState, StopReason, StopRequest } from './placement.js';
export { isUnsent } from './placement.js';
export * from './placement-terms.js';
export * from './planned-time.js';
export * from './record.js';
export * from './service-levels.js';
export { TransitionTable } from './transition-table.js';
