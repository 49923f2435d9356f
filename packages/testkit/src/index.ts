/**
 * A simulated environment of controllers, key-value store, cloud, workers and users, for tests and
 * measurements: stand-ins that follow the protocol, faults, and a checker of the protocol's rules.
 *
 * @module
 */
export * from './clock.js';
export * from './cloud.js';
export * from './configuration.js';
export * from './fault-injector.js';
export * from './hosts.js';
export * from './network.js';
export * from './key-value-store.js';
export * from './store-client.js';
export * from './store-rate-limit.js';
export * from './store-faults.js';
export * from './rule-checker.js';
export * from './rule-violations.js';
export type { TaskRun } from './running-tasks.js';
export * from './sim-node.js';
export * from './world.js';
export * from './world-options.js';
export * from './traffic-digest.js';
export * from './user-call.js';
export * from './users.js';
export * from './malformed-submissions.js';
export * from './fixtures.js';
export * from './tariff-feed.js';
export * from './generated-jobs.js';
export * from './random-faults.js';
export * from './small-world.js';
export * from './leadership.js';
export * from './machine-restarts.js';
export * from './zone-partition.js';
export * from './data-loss.js';
export * from './in-memory-snapshot-directory.js';
export * from './combined-faults.js';
export * from './contended-days.js';
export * from './preemption-days.js';
export * from './faulty-machine-days.js';
export * from './extreme-amount-days.js';
export * from './starvation.js';
export * from './step-counter.js';

export { unexitedFirst } from './task-list-order.js';
