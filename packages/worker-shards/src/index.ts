export * from './lease-delegation.js';
export * from './shard-balancer.js';
export * from './worker-shard.js';
export * from './pending-requests.js';
