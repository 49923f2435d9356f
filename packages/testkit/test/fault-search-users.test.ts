/**
 * Cases that the randomised fault search found or covers: requests of users, and many small jobs.
 *
 * @module
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { World } from '../src/index.js';
import {
  jobId,
  jobSpec,
  leaderCheckedWorld,
  leaderIndex,
  startSingleTaskJobs,
  watchForStarvation,
} from '../src/index.js';

import {
  FAULTS_BEGIN_MS,
  CANCEL_MS,
  after,
  assertNoViolations,
  crashLeader,
  passTime,
  refuseNode,
  startLongJobs,
  startOutage,
} from './support/regression-cases.js';

const CONDITIONS: Readonly<Record<string, (world: World) => void>> = {
  'no other fault': () => undefined,
  'a slow store': (world) => {
    world.faults.storeLatencyMs = 600;
  },
  'lost responses': (world) => {
    world.faults.lostResponses = 0.4;
  },
  'restarting nodes': (world) => {
    for (let ms = 0; ms < 30_000; ms += 2500)
      after(world, ms, () => {
        world.crash(world.random(3), 100);
      });
  },
  'random nodes refused by the store': (world) => {
    for (let ms = 0; ms < 30_000; ms += 5000)
      after(world, ms, () => {
        refuseNode(world, world.random(3), 4000);
      });
  },
  'data losses': (world) => {
    for (const ms of [6000, 18_000])
      after(world, ms, () => {
        world.store.clear();
      });
  },
};

for (const [name, beginFault] of Object.entries(CONDITIONS))
  test(`bursts of polls to all nodes with ${name} get no stale response`, async () => {
    const world = leaderCheckedWorld(21);
    await world.runUntil(20_000);
    world.faults.pollBursts = 1;
    world.faults.cancellationsAtCompletion = 0.3;
    beginFault(world);
    for (let i = 0; i < 24; i += 1)
      after(world, i * 1200, () => {
        const cancelMs = i % 3 === 0 ? world.time.now + world.random(6000) : null;
        world.startUser(jobSpec({ id: jobId(i), tasks: 1 + (i % 2), cpus: 1, estimateS: 3 }), cancelMs);
      });
    await passTime(world, 32_000);
    world.faults.storeLatencyMs = 0;
    world.faults.lostResponses = 0;
    await passTime(world, 50_000);
    assert.ok(world.faults.counts.pollBursts >= 24, String(world.faults.counts.pollBursts));
    assertNoViolations(world, name);
    for (let i = 0; i < 24; i += 1)
      assert.ok(['done', 'cancelled'].includes(String(world.recordedPhaseOf(jobId(i)))), jobId(i));
  });

for (const seed of [31, 32, 33, 34])
  test(`lost transaction responses during placements, completions and an election break no rule, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed);
    world.faults.pollBursts = 1;
    await world.runUntil(20_000);
    const lossPeriods: [number, number][] = [
      [0, 2500],
      [6000, 1500],
      [12_000, 3000],
    ];
    for (const [ms, forMs] of lossPeriods) {
      after(world, ms, () => {
        world.faults.lostResponses = 1;
      });
      after(world, ms + forMs, () => {
        world.faults.lostResponses = 0;
      });
    }
    // The second period of lost responses overlaps with an election, and the third one with cancellations.
    after(world, 6100, () => {
      crashLeader(world);
    });
    for (let i = 0; i < 8; i += 1)
      after(world, i * 900, () => {
        world.startUser(
          jobSpec({ id: jobId(i), tasks: 2, cpus: 1, estimateS: 6 }),
          i % 2 === 0 ? world.time.now + 7000 : null,
        );
      });
    await passTime(world, 90_000);
    assert.ok(world.faults.counts.lostResponses >= 5, String(world.faults.counts.lostResponses));
    assert.ok(leaderIndex(world) >= 0);
    assertNoViolations(world);
    assert.deepEqual(world.reusedRentalNames, []);
    for (let i = 0; i < 8; i += 1)
      assert.ok(['done', 'cancelled'].includes(String(world.recordedPhaseOf(jobId(i)))), jobId(i));
  });

for (const seed of [35, 36])
  test(`lost responses while a new epoch is opened after a data loss restart no task, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed);
    const jobs = startLongJobs(world, 4);
    await world.runUntil(FAULTS_BEGIN_MS);
    const { starts } = world.checker;
    world.faults.lostResponses = 0.5;
    world.store.clear();
    await passTime(world, 8000);
    world.faults.lostResponses = 0;
    await passTime(world, 40_000);
    assert.ok(world.faults.counts.lostResponses > 0);
    assert.ok(leaderIndex(world) >= 0);
    for (const spec of jobs) assert.equal(world.recordedPhaseOf(spec.id), 'active');
    assert.equal(world.checker.starts, starts, 'a task was restarted');
    assertNoViolations(world);
  });

test('four single-task jobs per second, a quarter of them cancelled, are served with a store limit of 25 mutations per second', async () => {
  const world = leaderCheckedWorld(81, {
    storeLimits: { rps: 100, writeRps: 25, valueKb: 16, txnOps: 12 },
    capacity: 6,
  });
  await world.runUntil(20_000);
  const waiting = jobSpec({ id: jobId(1), class: 'usual', tasks: 4, estimateS: 10 });
  startSingleTaskJobs(world, 120_000);
  after(world, 30_000, () => {
    world.startUser(waiting, null);
  });
  world.checker.faultsEndMs = 140_000;
  watchForStarvation(world);
  await world.runUntil(180_000);
  assertNoViolations(world);
  assert.deepEqual(world.checker.underservedGroups(), []);
  const unfinished = [...world.checker.submitted.keys()].filter(
    (id) => !['done', 'cancelled'].includes(String(world.recordedPhaseOf(id))),
  );
  assert.deepEqual(unfinished, []);
  // Cancellations and completions are confirmed in time, so the write limit delays no user for long.
  assert.ok(world.checker.longestUnansweredMs < 10_000, String(world.checker.longestUnansweredMs));
});

test('a store that is slow, then refuses the leader and then fails breaks no rule while users cancel and poll', async () => {
  for (const seed of [94, 95]) {
    const world = leaderCheckedWorld(seed);
    startLongJobs(world, 8);
    await world.runUntil(FAULTS_BEGIN_MS);
    world.faults.pollBursts = 1;
    world.faults.storeLatencyMs = 500;
    world.users.cancelRunningJobs(5);
    await passTime(world, 1500);
    refuseNode(world, leaderIndex(world), 6000);
    await passTime(world, 2500);
    startOutage(world, CANCEL_MS + 10_000);
    await passTime(world, CANCEL_MS + 10_000);
    world.faults.storeLatencyMs = 0;
    world.checker.faultsEndMs = world.time.now;
    await passTime(world, 60_000);
    assertNoViolations(world, `seed ${seed}`);
    assert.ok(world.checker.longestUnansweredMs < 20_000, String(world.checker.longestUnansweredMs));
  }
});

test('no job of any priority starves when the work exceeds the capacity and links are slow', async () => {
  const world = leaderCheckedWorld(96);
  await world.runUntil(20_000);
  world.network.extraLatencyMs = 400;
  for (let i = 0; i < 16; i += 1)
    after(world, i * 700, () => {
      const priority = (['production', 'high', 'normal', 'low'] as const)[i % 4] ?? 'normal';
      const team = i % 3 === 0 ? 'blue' : 'red';
      world.startUser(jobSpec({ id: jobId(i), tasks: 4, cpus: 2, estimateS: 12, priority, team }), null);
    });
  await passTime(world, 60_000);
  world.network.extraLatencyMs = 0;
  world.checker.faultsEndMs = world.time.now;
  watchForStarvation(world);
  await passTime(world, 120_000);
  assertNoViolations(world);
  for (let i = 0; i < 16; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done', jobId(i));
});

// With a slow store a job can complete between the read and the write of its cancellation. Both writes require the same
// version of the record, so only one of them succeeds.
for (const slowMs of [0, 500, 1000])
  test(`a cancellation, a poll and a resubmission at completion of the last task get consistent responses with a store latency of up to ${slowMs} ms`, async () => {
    for (const seed of [103, 104, 110]) {
      const world = leaderCheckedWorld(seed);
      world.faults.cancellationsAtCompletion = 0.7;
      world.faults.pollBursts = 1;
      world.faults.storeLatencyMs = slowMs;
      await world.runUntil(20_000);
      for (let i = 0; i < 30; i += 1)
        after(world, i * 400, () => {
          world.startUser(jobSpec({ id: jobId(i), tasks: 1 + (i % 3), cpus: 1, estimateS: 2 }), null);
        });
      await passTime(world, 30_000);
      world.faults.storeLatencyMs = 0;
      await passTime(world, 40_000);
      assert.ok(world.faults.counts.cancellationsAtCompletion > 5);
      assertNoViolations(world, `seed ${seed}`);
      for (let i = 0; i < 30; i += 1)
        assert.ok(['done', 'cancelled'].includes(String(world.recordedPhaseOf(jobId(i)))), jobId(i));
    }
  });

test('malformed requests are rejected and do not change the responses about known jobs', async () => {
  const world = leaderCheckedWorld(111);
  startLongJobs(world, 2);
  for (let i = 10; i < 16; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 1, estimateS: 2 }), null);
  await world.runUntil(FAULTS_BEGIN_MS);
  for (let n = 0; n < 300; n += 1)
    after(world, n * 60, () => {
      world.users.sendMalformedRequest();
    });
  await passTime(world, 30_000);
  assertNoViolations(world);
});
