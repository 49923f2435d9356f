import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs } from '@spurbridge/net';
import { TEAMS, jobSpec } from '@spurbridge/testkit';
import type { JobId } from '@spurbridge/wire';
import { ArrivalRate } from '../src/placement/arrival-rate.js';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';

const TEAM = TEAMS[0] as (typeof TEAMS)[number];

/** Arrivals at these times, each job of so much work for its team; the load seen at each second. */
function watch(times: readonly number[], untilMs: number, tasks = 10): number[] {
  let now = 0 as MonotonicMs;
  const a = new ArrivalRate(
    new RuntimeEstimator(),
    () => TEAMS,
    () => now,
  );
  const seen: number[] = [];
  const due = [...times].sort((x, y) => x - y);
  let n = 0;
  for (let at = 0; at <= untilMs; at += 1000) {
    now = at as MonotonicMs;
    for (; n < due.length && (due[n] as number) <= at; n += 1) {
      const id = `wk-${String(n).padStart(6, '0')}` as JobId;
      const spec = jobSpec({ id, team: TEAM.name, tasks, cpus: 2, estimateS: 5 });
      a.recordArrival(spec, due[n] as MonotonicMs);
      // A record is read again when its job ends.
      a.recordArrival(spec, due[n] as MonotonicMs);
    }
    seen.push(a.burstCpus());
  }
  return seen;
}

const every = (ms: number, from: number, to: number): number[] =>
  Array.from({ length: Math.floor((to - from) / ms) }, (_, i) => from + i * ms);

test('a start with many jobs at once is no burst, nor is an even stream', () => {
  assert.ok(watch([...every(50, 0, 2000), ...every(1000, 0, 200_000)], 200_000).every((x) => x === 0));
});

test('four times as many as usual are seen within seconds, as the work that they bring, and are over with it', () => {
  const seen = watch([...every(1000, 0, 300_000), ...every(333, 100_000, 160_000)], 300_000);
  const first = seen.findIndex((x) => x > 0);
  assert.ok(first >= 100 && first <= 110, `seen at ${first} s`);
  // Four jobs a second of 100 CPU seconds each, or the team's limit.
  assert.ok(Math.max(...seen) <= Math.min(TEAM.cpusMax, 440), `${Math.max(...seen)}`);
  assert.ok(seen.slice(175).every((x) => x === 0));
});

test('no team counts for more than its limit, whatever arrives', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(60_000), { maxLength: 300 }),
      fc.integer({ min: 1, max: 500 }),
      (times, tasks) => {
        for (const x of watch(times, 60_000, tasks)) assert.ok(x >= 0 && x <= TEAM.cpusMax);
      },
    ),
    { seed: 5, numRuns: 60 },
  );
});
