/**
 * Cases that the randomised fault search found or covers: users, their requests and their many small jobs.
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
  BEGIN_MS,
  CANCEL_MS,
  after,
  assertNoViolations,
  crashLeader,
  passTime,
  refuseNode,
  startLongJobs,
  startOutage,
} from './support/regression-cases.js';

const CIRCUMSTANCES: Readonly<Record<string, (world: World) => void>> = {
  'nothing else': () => undefined,
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
  'nodes refused by the store in turns': (world) => {
    for (let ms = 0; ms < 30_000; ms += 5000)
      after(world, ms, () => {
        refuseNode(world, world.random(3), 4000);
      });
  },
  'a store that lost its data': (world) => {
    for (const ms of [6000, 18_000])
      after(world, ms, () => {
        world.store.clear();
      });
  },
};

for (const [name, begin] of Object.entries(CIRCUMSTANCES))
  test(`bursts of polls to all nodes, with ${name}, never get a stale response`, async () => {
    const world = leaderCheckedWorld(21);
    await world.runUntil(20_000);
    world.faults.pollBursts = 1;
    world.faults.cancellationsAtCompletion = 0.3;
    begin(world);
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
  test(`lost transaction responses during placements, ends and an election break no rule, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed);
    world.faults.pollBursts = 1;
    await world.runUntil(20_000);
    const spells: [number, number][] = [
      [0, 2500],
      [6000, 1500],
      [12_000, 3000],
    ];
    for (const [ms, forMs] of spells) {
      after(world, ms, () => {
        world.faults.lostResponses = 1;
      });
      after(world, ms + forMs, () => {
        world.faults.lostResponses = 0;
      });
    }
    // The second spell meets an election, the third one cancellations.
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
  test(`lost responses while a new epoch is opened after a loss of data restart nothing, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed);
    const jobs = startLongJobs(world, 4);
    await world.runUntil(BEGIN_MS);
    const { starts } = world.checker;
    world.faults.lostResponses = 0.5;
    world.store.clear();
    await passTime(world, 8000);
    world.faults.lostResponses = 0;
    await passTime(world, 40_000);
    assert.ok(world.faults.counts.lostResponses > 0);
    assert.ok(leaderIndex(world) >= 0);
    for (const spec of jobs) assert.equal(world.recordedPhaseOf(spec.id), 'active');
    assert.equal(world.checker.starts, starts, 'something was started anew');
    assertNoViolations(world);
  });

test('single-task jobs at four a second, a quarter of them cancelled, are served at 25 mutations a second', async () => {
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
  const open = [...world.checker.submitted.keys()].filter(
    (x) => !['done', 'cancelled'].includes(String(world.recordedPhaseOf(x))),
  );
  assert.deepEqual(open, []);
  // Cancellations and ends are confirmed in time: nobody is refused for want of writes for long.
  assert.ok(world.checker.longestUnansweredMs < 10_000, String(world.checker.longestUnansweredMs));
});

test('a store that is slow, refuses the leader and then everybody breaks no rule while users cancel and poll', async () => {
  for (const seed of [94, 95]) {
    const world = leaderCheckedWorld(seed);
    startLongJobs(world, 8);
    await world.runUntil(BEGIN_MS);
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

test('with more work than capacity over slow links no job starves, whatever its priority', async () => {
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

// The slow store lets the end come between the reading of a cancellation and its writing: on the same version one of them holds.
for (const slowMs of [0, 500, 1000])
  test(`a cancellation, a poll and a resubmission at the end of the last task agree, with a store latency of up to ${slowMs} ms`, async () => {
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

test('malformed requests are rejected, and known jobs keep their answers', async () => {
  const world = leaderCheckedWorld(111);
  startLongJobs(world, 2);
  for (let i = 10; i < 16; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 1, estimateS: 2 }), null);
  await world.runUntil(BEGIN_MS);
  for (let n = 0; n < 300; n += 1)
    after(world, n * 60, () => {
      world.users.sendMalformedRequest();
    });
  await passTime(world, 30_000);
  assertNoViolations(world);
});
