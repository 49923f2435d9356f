import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAULTS_END_MS,
  STARVATION_DETECTION_MS,
  injectCombinedFaults,
  smallWorld,
  startGeneratedJobs,
  unfinishedArrays,
  watchForStarvation,
} from '../src/index.js';
import { failOnTwoLeaders } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

/** Once all faults are over, requests about an accepted job must not fail for as long as this. */
const MAX_UNANSWERED_MS = 20_000;
/** Long enough for the starvation of a job to be detected once all faults are over. */
const RUN_MS = FAULTS_END_MS + STARVATION_DETECTION_MS;

/** The maximum number of combined faults; `SPURBRIDGE_MEETING_MOST` raises it in a manual run. */
const maxFaults = Number(process.env['SPURBRIDGE_MEETING_MOST'] ?? 3);

for (const seed of seedsFrom('SPURBRIDGE_MEETING_SEEDS', 24))
  test(`combined faults break no rule and leave no array unfinished, seed ${seed}`, async () => {
    const world = smallWorld(40_000 + seed);
    startGeneratedJobs(world);
    const faultNames = injectCombinedFaults(world, maxFaults).join(' + ');
    failOnTwoLeaders(world, faultNames);
    world.checker.faultsEndMs = FAULTS_END_MS;
    watchForStarvation(world);
    await world.runUntil(RUN_MS);
    assert.deepEqual(world.checker.violations, [], faultNames);
    assert.ok(world.checker.starts > 0, `${faultNames}: no task was started`);
    assert.deepEqual(unfinishedArrays(world), [], faultNames);
    assert.ok(
      world.checker.longestUnansweredMs < MAX_UNANSWERED_MS,
      `${faultNames}: ${world.checker.longestUnansweredMs} ms`,
    );
  });
