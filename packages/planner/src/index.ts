/**
 * The planner: which tasks start where and what is preempted for them, and how the fleet is sized. Plans are computed from a
 * snapshot and change nothing themselves.
 *
 * @module
 */

export * from './cluster-snapshot.js';
export * from './fleet/index.js';
export { BinaryHeap } from './heap.js';
export * from './scheduling/index.js';
