import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { World } from '../src/index.js';
import {
  FAULTS_END_MS,
  STARVATION_DETECTION_MS,
  injectRandomFault,
  smallWorld,
  startGeneratedJobs,
  unfinishedArrays,
  watchForStarvation,
} from '../src/index.js';
import { failOnTwoLeaders } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

async function runDay(seed: number, faults: number): Promise<World> {
  const world = smallWorld(seed);
  startGeneratedJobs(world);
  for (let i = 0; i < faults; i += 1) injectRandomFault(world);
  failOnTwoLeaders(world);
  world.checker.faultsEndMs = FAULTS_END_MS;
  watchForStarvation(world);
  await world.runUntil(FAULTS_END_MS + STARVATION_DETECTION_MS);
  return world;
}

function assertRulesKept(world: World, seed: number): void {
  assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  assert.ok(world.checker.starts > 0, `seed ${seed} started no task`);
  assert.deepEqual(world.checker.underservedGroups(), [], `seed ${seed}`);
}

test('a day without faults breaks no rule, and every job ends', async () => {
  const world = await runDay(7, 0);
  assertRulesKept(world, 7);
  for (const spec of world.checker.submitted.values())
    assert.ok(
      ['done', 'cancelled'].includes(String(world.recordedPhaseOf(spec.id))),
      `${spec.id} ${spec.kind}`,
    );
});

for (const seed of seedsFrom('SPURBRIDGE_SEEDS', 14))
  test(`generated faults break no rule, and all arrays end after the faults, seed ${seed}`, async () => {
    const world = await runDay(seed, 2 + (seed % 5));
    assertRulesKept(world, seed);
    assert.deepEqual(unfinishedArrays(world), [], `seed ${seed}`);
  });
