import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  FAULTS_END_MS,
  STARVATION_LIMIT_MS,
  injectCombinedFaults,
  startGeneratedJobs,
  unfinishedArrays,
  smallWorld,
  watchForTwoLeaders,
  watchForStarvation,
} from '../src/index.js';

/** Once troubles are over every question about an accepted job is answered within this. */
const ANSWERED_MS = 20_000;
/** Long enough for a job to have waited too long once all troubles are over. */
const LENGTH_MS = FAULTS_END_MS + STARVATION_LIMIT_MS + 15_000;

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
    startGeneratedJobs(w);
    const met = injectCombinedFaults(w, most).join(' + ');
    watchForTwoLeaders(w, (at) => {
      assert.fail(`${met}: two leaders at ${at}`);
    });
    w.checker.faultsEndMs = FAULTS_END_MS;
    watchForStarvation(w);
    await w.runUntil(LENGTH_MS);
    assert.deepEqual(w.checker.violations, [], met);
    assert.ok(w.checker.starts > 0, `${met}: nothing was started`);
    assert.deepEqual(unfinishedArrays(w), [], met);
    assert.ok(w.checker.longestUnansweredMs < ANSWERED_MS, `${met}: ${w.checker.longestUnansweredMs} ms`);
  });
