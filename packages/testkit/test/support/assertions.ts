/**
 * Assertions about simulated worlds, and the run of a generated day.
 *
 * @module
 */
import assert from 'node:assert/strict';
import type { World } from '../../src/index.js';
import {
  DAY_LENGTH_MS,
  FAULTS_END_MS,
  STARVATION_DETECTION_MS,
  startGeneratedJobs,
  unfinishedArrays,
  watchForStarvation,
  watchForTwoLeaders,
} from '../../src/index.js';

/** Rules that must hold even if no copy of the records is left. */
export const RULES_WITHOUT_RECORDS = [
  'ran_twice',
  'quota',
  'wrong_place',
  'invented',
  'not_done',
  'gang_split',
];

/** Fails the test as soon as two nodes lead at the same time. */
export function failOnTwoLeaders(world: World, context = ''): void {
  const prefix = context === '' ? '' : `${context}: `;
  watchForTwoLeaders(world, (at) => {
    assert.fail(`${prefix}two leaders at ${at}`);
  });
}

/**
 * Asserts that no rule was broken, that every class and team was served, and that at most `maxKilled` tasks were killed
 * by expired leases.
 */
export function assertServed(world: World, maxKilled = 0): void {
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.checker.underservedGroups(), []);
  assert.ok(
    world.checker.killedByLease <= maxKilled,
    `${world.checker.killedByLease} tasks killed by expired leases`,
  );
}

/**
 * Runs a day whose jobs and faults are started, until a job that waits beside free resources after the faults is detected.
 * Asserts that no rule was broken, and that all arrays ended.
 */
export async function runWatchedDay(world: World, faultNames: string): Promise<void> {
  failOnTwoLeaders(world, faultNames);
  world.checker.faultsEndMs = FAULTS_END_MS;
  watchForStarvation(world);
  await world.runUntil(FAULTS_END_MS + STARVATION_DETECTION_MS);
  assert.deepEqual(world.checker.violations, [], faultNames);
  assert.deepEqual(unfinishedArrays(world), [], faultNames);
}

/** Runs a generated day with its jobs to the end. */
export async function runGeneratedDay(world: World): Promise<void> {
  startGeneratedJobs(world);
  failOnTwoLeaders(world);
  await world.runUntil(DAY_LENGTH_MS);
  assert.ok(world.checker.starts > 0, 'no task was started');
}
