import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DataLoss, World } from '../src/index.js';
import { injectDataLoss, leaderIndex, smallWorld, startGeneratedJobs } from '../src/index.js';
import { RULES_WITHOUT_RECORDS, failOnTwoLeaders, runGeneratedDay } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

const LOSS_MS = 60_000;
const RESTART_MS = 200;

function crashAllNodes(world: World, atMs: number, downMs: number): void {
  world.time.after(atMs, () => {
    for (let i = 0; i < 3; i += 1) world.crash(i, downMs);
  });
}

const CASES: readonly { readonly loss: DataLoss; readonly afterMs: number; readonly downMs: number }[] = [
  { loss: 'rolled back 2 s', afterMs: 300, downMs: RESTART_MS },
  { loss: 'rolled back 2 s', afterMs: 1000, downMs: RESTART_MS },
  { loss: 'rolled back 2 s', afterMs: 2000, downMs: RESTART_MS },
  { loss: 'tasks gone', afterMs: 2000, downMs: 8000 },
  { loss: 'rolled back 20 s', afterMs: 1, downMs: RESTART_MS },
];

for (const { loss, afterMs, downMs } of CASES)
  for (const seed of seedsFrom('SPURBRIDGE_QUICK_SEEDS', 4))
    test(`after data loss "${loss}" and a crash of all nodes ${afterMs} ms later for ${downMs} ms no task runs twice and no limit is exceeded, seed ${seed}`, async () => {
      const world = smallWorld(5000 + seed);
      injectDataLoss(world, loss, LOSS_MS);
      crashAllNodes(world, LOSS_MS + afterMs, downMs);
      await runGeneratedDay(world);
      assert.deepEqual(
        world.checker.violations.filter((violation) => RULES_WITHOUT_RECORDS.includes(violation.rule)),
        [],
      );
    });

// The two restarted nodes won elections alternately, and each lost its lease after three seconds, although the third
// node had kept running.
for (const seed of [76, 78, 80])
  test(`when the leader and another node restart within 0.2 s the node that kept running leads next, seed ${seed}`, async () => {
    const world = smallWorld(seed);
    startGeneratedJobs(world);
    await world.runUntil(40_000);
    const leader = leaderIndex(world);
    const survivor = (leader + 1) % 3;
    for (let i = 0; i < 3; i += 1) if (i !== survivor) world.crash(i, RESTART_MS);
    const leaders: number[] = [];
    failOnTwoLeaders(world);
    for (let ms = 0; ms < 15_000; ms += 50) {
      await world.runUntil(40_000 + ms);
      const current = world.nodes.findIndex(
        (node) => node.clock.alive && node.controller.leadership.holdsValidLease(),
      );
      if (current >= 0 && leaders.at(-1) !== current) leaders.push(current);
    }
    assert.deepEqual(leaders, [survivor]);
    assert.deepEqual(world.checker.violations, []);
  });
