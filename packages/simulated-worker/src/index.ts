/**
 * Simulated workers, which run no real tasks, for simulated environments and for runs with real processes.
 *
 * @module
 */
export * from './gangs.js';
export * from './timeline.js';
export * from './worker.js';
export * from './worker-host.js';
export type { WorkerTask } from './worker-task.js';
