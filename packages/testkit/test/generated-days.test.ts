import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { World } from '../src/index.js';
import {
  FAULTS_END_MS,
  DAY_LENGTH_MS,
  startGeneratedJobs,
  unfinishedArrays,
  smallWorld,
  injectRandomFault,
  watchForTwoLeaders,
} from '../src/index.js';

/** Seeds are fixed; `SPURBRIDGE_SEEDS=1000-1050 npm run unit` tries others by hand. */
function seeds(): number[] {
  const wanted = /^(\d+)-(\d+)$/.exec(process.env['SPURBRIDGE_SEEDS'] ?? '1-14');
  const [first, last] = [Number(wanted?.[1] ?? 1), Number(wanted?.[2] ?? 14)];
  return Array.from({ length: last - first + 1 }, (_, i) => first + i);
}

async function day(seed: number, troubles: number): Promise<World> {
  const w = smallWorld(seed);
  startGeneratedJobs(w);
  for (let i = 0; i < troubles; i += 1) injectRandomFault(w);
  watchForTwoLeaders(w, (at) => {
    assert.fail(`two leaders at ${at}`);
  });
  w.checker.faultsEndMs = FAULTS_END_MS;
  await w.runUntil(DAY_LENGTH_MS);
  return w;
}

function assertKept(w: World, seed: number): void {
  assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
  assert.ok(w.checker.starts > 0, `seed ${seed} started nothing`);
  assert.deepEqual(w.checker.underservedGroups(), [], `seed ${seed}`);
}

test('a quiet day keeps every rule and ends every job', async () => {
  const w = await day(7, 0);
  assertKept(w, 7);
  for (const spec of w.checker.submitted.values())
    assert.ok(['done', 'cancelled'].includes(String(w.recordedPhaseOf(spec.id))), `${spec.id} ${spec.kind}`);
});

for (const seed of seeds())
  test(`troubles drawn from seed ${seed} break no rule, and arrays end once they are over`, async () => {
    const w = await day(seed, 2 + (seed % 5));
    assertKept(w, seed);
    assert.deepEqual(unfinishedArrays(w), [], `seed ${seed}`);
  });
