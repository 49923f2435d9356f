/**
 * Load test of the built program with real processes, and the capacity tables rendered from its results.
 *
 * @module
 */
export * from './command.js';
export * from './events.js';
export * from './options.js';
export * from './results.js';
export * from './workload.js';
export * from './capacity.js';
export * from './linear-fit.js';
export type { NamedResult } from './special-run-tables.js';
export * from './capacity-command.js';
