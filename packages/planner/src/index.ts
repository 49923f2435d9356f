/**
 * The planner: places and preempts tasks, and sizes the fleet. Plans are computed from a snapshot without
 * side effects.
 *
 * @module
 */

export * from './cluster-snapshot.js';
export * from './errors.js';
export * from './fleet/index.js';
export { BinaryHeap } from './heap.js';
export * from './scheduling/index.js';
