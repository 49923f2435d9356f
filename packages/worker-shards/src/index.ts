/**
 * The shard of worker machines that one controller serves: which machines send their heartbeats to it, how shards are
 * balanced between controllers, and how a leader delegates the renewal of worker leases to the controller that receives
 * the heartbeats.
 *
 * @module
 */
export * from './known-tokens.js';
export * from './lease-delegation.js';
export * from './shard-balancer.js';
export * from './worker-shard.js';
export * from './pending-requests.js';
