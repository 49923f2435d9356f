export * from './command.js';
export * from './events.js';
export * from './options.js';
export * from './results.js';
export * from './workload.js';
export * from './capacity.js';
export * from './capacity-command.js';
