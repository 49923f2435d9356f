import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  CALM_MS,
  WAITED_MS,
  drawMeeting,
  drawUsers,
  openArrays,
  smallWorld,
  watchLeaders,
  watchWaiting,
} from '../src/index.js';

/** Once troubles are over every question about an accepted job is answered within this. */
const ANSWERED_MS = 20_000;
/** Long enough for a job to have waited too long once all troubles are over. */
const LENGTH_MS = CALM_MS + WAITED_MS + 15_000;

/** `SPURBRIDGE_MEETING_SEEDS=1-500 npm run unit` plays more by hand. */
function seeds(standard: number): number[] {
  const wanted = /^(\d+)-(\d+)$/.exec(process.env['SPURBRIDGE_MEETING_SEEDS'] ?? `1-${standard}`);
  const [first, last] = [Number(wanted?.[1] ?? 1), Number(wanted?.[2] ?? standard)];
  return Array.from({ length: last - first + 1 }, (_, i) => first + i);
}

/** `SPURBRIDGE_MEETING_MOST=6` lets more troubles meet, by hand. */
const most = Number(process.env['SPURBRIDGE_MEETING_MOST'] ?? 3);

for (const seed of seeds(24))
  test(`troubles that meet break no rule and leave nothing open, seed ${seed}`, async () => {
    const w = smallWorld(40_000 + seed);
    drawUsers(w);
    const met = drawMeeting(w, most).join(' + ');
    watchLeaders(w, (at) => {
      assert.fail(`${met}: two leaders at ${at}`);
    });
    w.checker.calmFromMs = CALM_MS;
    watchWaiting(w);
    await w.run(LENGTH_MS);
    assert.deepEqual(w.checker.broken, [], met);
    assert.ok(w.checker.starts > 0, `${met}: nothing was started`);
    assert.deepEqual(openArrays(w), [], met);
    assert.ok(w.checker.longestUnansweredMs < ANSWERED_MS, `${met}: ${w.checker.longestUnansweredMs} ms`);
  });
