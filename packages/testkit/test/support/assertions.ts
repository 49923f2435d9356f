/**
 * What must hold in every simulated world.
 *
 * @module
 */
import assert from 'node:assert/strict';
import type { World } from '../../src/index.js';
import { DAY_LENGTH_MS, startGeneratedJobs, watchForTwoLeaders } from '../../src/index.js';

/** Rules that must hold even where no copy of the records is left anywhere. */
export const RULES_WITHOUT_RECORDS = [
  'ran_twice',
  'quota',
  'wrong_place',
  'invented',
  'not_done',
  'gang_split',
];

/** Fails as soon as two nodes lead at the same moment. */
export function failOnTwoLeaders(world: World, context = ''): void {
  const prefix = context === '' ? '' : `${context}: `;
  watchForTwoLeaders(world, (at) => {
    assert.fail(`${prefix}two leaders at ${at}`);
  });
}

/** No rule was broken, every class and team was served, and no more tasks were killed by leases than this. */
export function assertServed(world: World, killed = 0): void {
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.checker.underservedGroups(), []);
  assert.ok(world.checker.killedByLease <= killed, `${world.checker.killedByLease} tasks killed by leases`);
}

/** Plays a day of generated jobs to its end. */
export async function playGeneratedDay(world: World): Promise<void> {
  startGeneratedJobs(world);
  failOnTwoLeaders(world);
  await world.runUntil(DAY_LENGTH_MS);
  assert.ok(world.checker.starts > 0, 'nothing was started');
}
