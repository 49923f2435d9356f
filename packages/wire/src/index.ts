export * from './errors.js';
export * from './ids.js';
export * from './users.js';
export * from './workers.js';
export * from './cloud.js';
export * from './state.js';
export * from './peer.js';
export * from './servers.js';
export type { ForwardedHeartbeat, ForwardedHeartbeatResponse } from './forward.js';
export * from './tariff.js';
export * from './graphs.js';
export * as read from './read.js';
export { ValidationError } from './read.js';

/** Paths of the protocols, in one place. */
export const PATHS = {
  jobs: '/submissions',
  health: '/up',
  heartbeat: '/agent/beat',
  commands: '/commands',
  show: '/show',
  machineTypes: '/flavors',
  rentals: '/rentals',
  release: '/rentals/release',
  keys: '/keys',
  transactions: '/commit',
  leases: '/leases',
  watch: '/follow',
} as const;
