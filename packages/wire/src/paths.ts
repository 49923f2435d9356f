/**
 * Paths of all HTTP requests.
 *
 * @module
 */

/** Paths of the protocols between users, controller nodes, workers, the cloud and the key-value store. */
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
