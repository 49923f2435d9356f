import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CONTENDED_DAY_MS,
  FAULTS_END_MS,
  contendedWorld,
  startContendedDay,
  unfinishedArrays,
  watchForStarvation,
} from '../src/index.js';
import { failOnTwoLeaders } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

// Guards against `left_waiting` by what a leader intended in its memory only (review/3), and by other causes.
for (const seed of seedsFrom('SPURBRIDGE_CONTENTION_SEEDS', 16))
  test(`services that preempt other work while the leader ends leave nothing waiting, seed ${seed}`, async () => {
    const world = contendedWorld(80_000 + seed);
    const faultNames = startContendedDay(world).join(' + ');
    failOnTwoLeaders(world, faultNames);
    world.checker.faultsEndMs = FAULTS_END_MS;
    watchForStarvation(world);
    await world.runUntil(CONTENDED_DAY_MS);
    assert.deepEqual(world.checker.violations, [], faultNames);
    assert.deepEqual(unfinishedArrays(world), [], faultNames);
  });
