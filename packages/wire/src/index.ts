export * from './errors.js';
export * from './ids.js';
export * from './users.js';
export * from './workers.js';
export * from './cloud.js';
export * from './state.js';
export * from './peer.js';
export * from './servers.js';
export type { Forward, ForwardAnswer } from './forward.js';
export * from './tariff.js';
export * from './graphs.js';
export * as read from './read.js';
export { MalformedError } from './read.js';

/** Paths of the protocols, in one place. */
export const PATHS = {
  jobs: '/submissions',
  health: '/up',
  report: '/agent/beat',
  commands: '/commands',
  show: '/show',
  types: '/flavors',
  rentals: '/rentals',
  release: '/rentals/release',
  keys: '/keys',
  commit: '/commit',
  leases: '/leases',
  watch: '/follow',
} as const;
