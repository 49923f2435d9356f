export * from './gangs.js';
export * from './timeline.js';
export * from './worker.js';
