/**
 * A small simulated environment, in which situations that are rare in a large one occur within a short run.
 *
 * @module
 */
import { TEAMS, TYPES, ZONES } from './fixtures.js';
import { TwoLeadersError, watchForTwoLeaders } from './leadership.js';
import type { WorldOptions } from './world-options.js';
import { World } from './world.js';

const CAPACITY = 3;
const LEASE_S = 12;
const CANCEL_S = 26;

/** An environment of three controllers and a few machines; `overrides` replaces single options. */
export function smallWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  return new World({
    seed,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: CAPACITY,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
    ...overrides,
  });
}

/**
 * A small environment in which two simultaneous leaders end the test.
 *
 * @throws TwoLeadersError while simulated time passes
 */
export function leaderCheckedWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  const world = smallWorld(seed, overrides);
  watchForTwoLeaders(world, (atMs) => {
    throw new TwoLeadersError(atMs);
  });
  return world;
}
