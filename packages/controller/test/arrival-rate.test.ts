import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs } from '@spurbridge/net';
import { TEAMS, jobSpec } from '@spurbridge/testkit';
import type { JobId } from '@spurbridge/wire';
import { ArrivalRate } from '../src/placement/arrival-rate.js';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';

const TEAM = TEAMS[0] as (typeof TEAMS)[number];

/** Submits jobs of one team at these times and returns the burst's CPUs at each second. */
function burstCpusPerSecond(times: readonly number[], untilMs: number, tasks = 10): number[] {
  let now = 0 as MonotonicMs;
  const arrivals = new ArrivalRate(
    new RuntimeEstimator(),
    () => TEAMS,
    () => now,
  );
  const seen: number[] = [];
  const due = [...times].sort((left, right) => left - right);
  let index = 0;
  for (let at = 0; at <= untilMs; at += 1000) {
    now = at as MonotonicMs;
    for (; index < due.length && (due[index] as number) <= at; index += 1) {
      const id = `wk-${String(index).padStart(6, '0')}` as JobId;
      const spec = jobSpec({ id, team: TEAM.name, tasks, cpus: 2, estimateS: 5 });
      arrivals.recordArrival(spec, due[index] as MonotonicMs);
      // A record is read again when its job ends.
      arrivals.recordArrival(spec, due[index] as MonotonicMs);
    }
    seen.push(arrivals.burstCpus());
  }
  return seen;
}

const every = (ms: number, from: number, to: number): number[] =>
  Array.from({ length: Math.floor((to - from) / ms) }, (_, index) => from + index * ms);

test('neither many jobs at the very start nor a steady rate of arrivals is a burst', () => {
  assert.ok(
    burstCpusPerSecond([...every(50, 0, 2000), ...every(1000, 0, 200_000)], 200_000).every(
      (cpus) => cpus === 0,
    ),
  );
});

test('four times the usual arrival rate is detected within seconds as the work that arrives, and ends with it', () => {
  const seen = burstCpusPerSecond([...every(1000, 0, 300_000), ...every(333, 100_000, 160_000)], 300_000);
  const first = seen.findIndex((cpus) => cpus > 0);
  assert.ok(first >= 100 && first <= 110, `seen at ${first} s`);
  // Four jobs a second of 100 CPU seconds each, or the team's limit.
  assert.ok(Math.max(...seen) <= Math.min(TEAM.cpusMax, 440), `${Math.max(...seen)}`);
  assert.ok(seen.slice(175).every((cpus) => cpus === 0));
});

test('a team counts for no more than its limit, whatever arrives', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(60_000), { maxLength: 300 }),
      fc.integer({ min: 1, max: 500 }),
      (times, tasks) => {
        for (const cpus of burstCpusPerSecond(times, 60_000, tasks))
          assert.ok(cpus >= 0 && cpus <= TEAM.cpusMax);
      },
    ),
    { seed: 5, numRuns: 60 },
  );
});
