import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { DataLoss, World } from '../src/index.js';
import {
  DAY_LENGTH_MS,
  startGeneratedJobs,
  leaderIndex,
  injectDataLoss,
  smallWorld,
  watchForTwoLeaders,
} from '../src/index.js';

const LOSS_MS = 60_000;
const BACK_MS = 200;
/** What must hold even where no copy of the records is left anywhere. */
const ALWAYS = ['ran_twice', 'quota', 'wrong_place', 'invented', 'not_done', 'gang_split'];

/** `SPURBRIDGE_QUICK_SEEDS=1-200 npm run unit` plays more days by hand. */
function seeds(standard: number): number[] {
  const wanted = /^(\d+)-(\d+)$/.exec(process.env['SPURBRIDGE_QUICK_SEEDS'] ?? `1-${standard}`);
  const [first, last] = [Number(wanted?.[1] ?? 1), Number(wanted?.[2] ?? standard)];
  return Array.from({ length: last - first + 1 }, (_, i) => first + i);
}

async function play(w: World): Promise<void> {
  startGeneratedJobs(w);
  watchForTwoLeaders(w, (at) => {
    assert.fail(`two leaders at ${at}`);
  });
  await w.runUntil(DAY_LENGTH_MS);
  assert.ok(w.checker.starts > 0, 'nothing was started');
}

function endAll(w: World, atMs: number, backMs: number): void {
  w.time.after(atMs, () => {
    for (let i = 0; i < 3; i += 1) w.crash(i, backMs);
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
  for (const seed of seeds(4))
    test(`${loss}, all nodes end ${afterMs} ms later and are back after ${backMs} ms, seed ${seed}`, async () => {
      const w = smallWorld(5000 + seed);
      injectDataLoss(w, loss, LOSS_MS);
      endAll(w, LOSS_MS + afterMs, backMs);
      await play(w);
      assert.deepEqual(
        w.checker.violations.filter((b) => ALWAYS.includes(b.rule)),
        [],
      );
    });

// Both had just begun and won by turns; each lost its lease after three seconds, while one that ran on stood by.
for (const seed of [76, 78, 80])
  test(`two of three nodes end and are back in 0.2 s, the leader one of them: the one that ran on leads next, seed ${seed}`, async () => {
    const w = smallWorld(seed);
    startGeneratedJobs(w);
    await w.runUntil(40_000);
    const leader = leaderIndex(w);
    const stays = (leader + 1) % 3;
    for (let i = 0; i < 3; i += 1) if (i !== stays) w.crash(i, BACK_MS);
    const led: number[] = [];
    watchForTwoLeaders(w, (at) => {
      assert.fail(`two leaders at ${at}`);
    });
    for (let ms = 0; ms < 15_000; ms += 50) {
      await w.runUntil(40_000 + ms);
      const now = w.nodes.findIndex((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
      if (now >= 0 && led.at(-1) !== now) led.push(now);
    }
    assert.deepEqual(led, [stays]);
    assert.deepEqual(w.checker.violations, []);
  });
