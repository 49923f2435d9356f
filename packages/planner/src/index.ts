export * from './snapshot.js';
export { Heap } from './heap.js';
export * from './plan/index.js';
export * from './fleet.js';
