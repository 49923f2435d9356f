/**
 * Simulated workers, which run no real tasks, for simulated environments and for runs with real processes.
 *
 * @module
 */
export type { AgentMemory } from './agent-state.js';
export { NEW_AGENT } from './agent-state.js';
export * from './gangs.js';
export * from './timeline.js';
export * from './worker.js';
export * from './worker-host.js';
export type { WorkerTask } from './worker-task.js';
