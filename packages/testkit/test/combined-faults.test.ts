import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAULTS_END_MS,
  STARVATION_LIMIT_MS,
  injectCombinedFaults,
  smallWorld,
  startGeneratedJobs,
  unfinishedArrays,
  watchForStarvation,
} from '../src/index.js';
import { failOnTwoLeaders } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

/** Once all faults are over every request about an accepted job is answered within this. */
const ANSWERED_MS = 20_000;
/** Long enough for a job to have waited too long once all faults are over. */
const LENGTH_MS = FAULTS_END_MS + STARVATION_LIMIT_MS + 15_000;

/** `SPURBRIDGE_MEETING_MOST=6` combines more faults, by hand. */
const most = Number(process.env['SPURBRIDGE_MEETING_MOST'] ?? 3);

for (const seed of seedsFrom('SPURBRIDGE_MEETING_SEEDS', 24))
  test(`combined faults break no rule and leave no job unfinished, seed ${seed}`, async () => {
    const world = smallWorld(40_000 + seed);
    startGeneratedJobs(world);
    const met = injectCombinedFaults(world, most).join(' + ');
    failOnTwoLeaders(world, met);
    world.checker.faultsEndMs = FAULTS_END_MS;
    watchForStarvation(world);
    await world.runUntil(LENGTH_MS);
    assert.deepEqual(world.checker.violations, [], met);
    assert.ok(world.checker.starts > 0, `${met}: nothing was started`);
    assert.deepEqual(unfinishedArrays(world), [], met);
    assert.ok(
      world.checker.longestUnansweredMs < ANSWERED_MS,
      `${met}: ${world.checker.longestUnansweredMs} ms`,
    );
  });
