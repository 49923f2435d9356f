export * from './snapshot.js';
export * from './plan.js';
export * from './fleet.js';
