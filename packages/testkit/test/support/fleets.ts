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

/** What a fleet must say of itself. */
export type FleetOptions = Pick<WorldOptions, 'seed' | 'teams' | 'types' | 'capacity' | 'storeLimits'> &
  Partial<WorldOptions>;

/** A world in three zones with the leases and limits of a real site. */
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

/** Workers whose machines are up. */
export function aliveWorkers(world: World): SimulatedWorker[] {
  return [...world.workers.values()].filter((worker) => worker.alive);
}
