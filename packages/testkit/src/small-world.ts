/**
 * A small world, in which most things that can happen to a large one happen soon.
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

/** A world of three controllers and a few machines; `overrides` replaces single options. */
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
 * A small world in which two leaders at the same moment end the test.
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
