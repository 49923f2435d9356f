import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs } from '@spurbridge/net';
import { TEAMS, jobSpec } from '@spurbridge/testkit';
import type { JobId } from '@spurbridge/wire';
import { ArrivalRate } from '../src/placement/arrival-rate.js';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';

const TEAM = TEAMS[0] as (typeof TEAMS)[number];

/** Submits jobs of one team at these times, and returns the CPUs of the detected burst at every second. */
function burstCpusBySecond(submittedAt: readonly number[], untilMs: number, tasks = 10): number[] {
  let now = 0 as MonotonicMs;
  const arrivals = new ArrivalRate(
    new RuntimeEstimator(),
    () => TEAMS,
    () => now,
  );
  const burstCpus: number[] = [];
  const arrivalTimes = [...submittedAt].sort((left, right) => left - right);
  let index = 0;
  for (let at = 0; at <= untilMs; at += 1000) {
    now = at as MonotonicMs;
    for (; index < arrivalTimes.length && (arrivalTimes[index] as number) <= at; index += 1) {
      const id = `wk-${String(index).padStart(6, '0')}` as JobId;
      const spec = jobSpec({ id, team: TEAM.name, tasks, cpus: 2, estimateS: 5 });
      arrivals.recordArrival(spec, arrivalTimes[index] as MonotonicMs);
      // The job's record is read again when the job ends; the second reading must not count.
      arrivals.recordArrival(spec, arrivalTimes[index] as MonotonicMs);
    }
    burstCpus.push(arrivals.burstCpus());
  }
  return burstCpus;
}

/** Times from `fromMs` until `toMs` at a fixed interval. */
const timesAtInterval = (intervalMs: number, fromMs: number, toMs: number): number[] =>
  Array.from({ length: Math.floor((toMs - fromMs) / intervalMs) }, (_, index) => fromMs + index * intervalMs);

test('many jobs at the start and a steady arrival rate are not detected as a burst', () => {
  assert.ok(
    burstCpusBySecond([...timesAtInterval(50, 0, 2000), ...timesAtInterval(1000, 0, 200_000)], 200_000).every(
      (cpus) => cpus === 0,
    ),
  );
});

test('a burst of four times the usual arrival rate is detected within 10 s, and ends within 15 s after the extra arrivals', () => {
  const burstCpus = burstCpusBySecond(
    [...timesAtInterval(1000, 0, 300_000), ...timesAtInterval(333, 100_000, 160_000)],
    300_000,
  );
  const firstS = burstCpus.findIndex((cpus) => cpus > 0);
  assert.ok(firstS >= 100 && firstS <= 110, `detected at ${firstS} s`);
  // The upper bound is the team's limit, or about four jobs per second of 100 CPU seconds each.
  assert.ok(Math.max(...burstCpus) <= Math.min(TEAM.cpusMax, 440), `${Math.max(...burstCpus)}`);
  assert.ok(burstCpus.slice(175).every((cpus) => cpus === 0));
});

test('the burst CPUs of a team never exceed its CPU limit', () => {
  fc.assert(
    fc.property(
      fc.array(fc.nat(60_000), { maxLength: 300 }),
      fc.integer({ min: 1, max: 500 }),
      (submittedAt, tasks) => {
        for (const cpus of burstCpusBySecond(submittedAt, 60_000, tasks))
          assert.ok(cpus >= 0 && cpus <= TEAM.cpusMax);
      },
    ),
    { seed: 5, numRuns: 60 },
  );
});
