export * from './cluster-snapshot.js';
export { BinaryHeap } from './heap.js';
export * from './scheduling/index.js';
export * from './fleet/plan-fleet.js';
