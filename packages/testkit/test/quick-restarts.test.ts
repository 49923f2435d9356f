import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DataLoss, World } from '../src/index.js';
import { injectDataLoss, leaderIndex, smallWorld, startGeneratedJobs } from '../src/index.js';
import { RULES_WITHOUT_RECORDS, failOnTwoLeaders, playGeneratedDay } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

const LOSS_MS = 60_000;
const BACK_MS = 200;
function endAll(world: World, atMs: number, backMs: number): void {
  world.time.after(atMs, () => {
    for (let i = 0; i < 3; i += 1) world.crash(i, backMs);
  });
}

const ENDS: readonly { readonly loss: DataLoss; readonly afterMs: number; readonly backMs: number }[] = [
  { loss: 'rolled back 2 s', afterMs: 300, backMs: BACK_MS },
  { loss: 'rolled back 2 s', afterMs: 1000, backMs: BACK_MS },
  { loss: 'rolled back 2 s', afterMs: 2000, backMs: BACK_MS },
  { loss: 'tasks gone', afterMs: 2000, backMs: 8000 },
  { loss: 'rolled back 20 s', afterMs: 1, backMs: BACK_MS },
];

for (const { loss, afterMs, backMs } of ENDS)
  for (const seed of seedsFrom('SPURBRIDGE_QUICK_SEEDS', 4))
    test(`data loss "${loss}" with all nodes ending ${afterMs} ms later for ${backMs} ms: nothing runs twice or over a limit, seed ${seed}`, async () => {
      const world = smallWorld(5000 + seed);
      injectDataLoss(world, loss, LOSS_MS);
      endAll(world, LOSS_MS + afterMs, backMs);
      await playGeneratedDay(world);
      assert.deepEqual(
        world.checker.violations.filter((violation) => RULES_WITHOUT_RECORDS.includes(violation.rule)),
        [],
      );
    });

// Both had just begun and won by turns; each lost its lease after three seconds, while one that ran on stood by.
for (const seed of [76, 78, 80])
  test(`when the leader and another node restart within 0.2 s the node that ran on leads next, seed ${seed}`, async () => {
    const world = smallWorld(seed);
    startGeneratedJobs(world);
    await world.runUntil(40_000);
    const leader = leaderIndex(world);
    const stays = (leader + 1) % 3;
    for (let i = 0; i < 3; i += 1) if (i !== stays) world.crash(i, BACK_MS);
    const led: number[] = [];
    failOnTwoLeaders(world);
    for (let ms = 0; ms < 15_000; ms += 50) {
      await world.runUntil(40_000 + ms);
      const now = world.nodes.findIndex(
        (node) => node.clock.alive && node.controller.leadership.holdsValidLease(),
      );
      if (now >= 0 && led.at(-1) !== now) led.push(now);
    }
    assert.deepEqual(led, [stays]);
    assert.deepEqual(world.checker.violations, []);
  });
