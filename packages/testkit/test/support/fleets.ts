/**
 * Fleets of tens to hundreds of machines.
 *
 * @module
 */
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import type { JobId } from '@spurbridge/wire';
import type { WorldOptions } from '../../src/index.js';
import { World, ZONES, jobId } from '../../src/index.js';

const LEASE_S = 22;
const CANCEL_S = 42;

/** Options of a fleet: some are required, all others have defaults. */
export type FleetOptions = Pick<WorldOptions, 'seed' | 'teams' | 'types' | 'capacity' | 'storeLimits'> &
  Partial<WorldOptions>;

/** A world in three zones with worker leases and cancellation times as in production. */
export function fleetWorld(options: FleetOptions): World {
  return new World({ zones: ZONES, leaseS: LEASE_S, cancelS: CANCEL_S, ...options });
}

/** Each call returns the next job id. */
export function jobIdSequence(): () => JobId {
  let next = 0;
  return () => {
    const id = jobId(next);
    next += 1;
    return id;
  };
}

/** Workers whose machines are running. */
export function aliveWorkers(world: World): SimulatedWorker[] {
  return [...world.workers.values()].filter((worker) => worker.alive);
}
