export * from './gang.js';
export * from './job.js';
export type { Placement, PlacementState, StopReason } from './placement.js';
export { isUnsent } from './placement.js';
export * from './machine.js';
export * from './record.js';
export * from './admission.js';
export { Transitions } from './transition.js';
export * from './served.js';
