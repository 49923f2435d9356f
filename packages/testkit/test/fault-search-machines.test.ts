/**
 * Cases that the randomised fault search found or covers: machines that hang, boot or are partitioned.
 *
 * @module
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobId, jobSpec, leaderCheckedWorld, partitionZone } from '../src/index.js';
import { aliveWorkers } from './support/fleets.js';

import {
  FAULTS_BEGIN_MS,
  CANCEL_MS,
  LEASE_MS,
  after,
  assertNoViolations,
  crashLeader,
  passTime,
  startLongJobs,
} from './support/regression-cases.js';

for (const fault of ['hang', 'partition'] as const)
  for (const forMs of [6000, LEASE_MS + 4000, 2 * CANCEL_MS])
    test(`with all teams at their limits jobs cancelled during a ${fault} of their machines for ${forMs / 1000} s stop within cancel_s despite a failover`, async () => {
      for (const seed of [41, 42, 43]) {
        const world = leaderCheckedWorld(seed);
        const jobs = [
          ...startLongJobs(world, 8, { tasks: 3, cpus: 2 }),
          ...Array.from({ length: 6 }, (_, i) =>
            jobSpec({ id: jobId(100 + i), team: 'blue', tasks: 3, cpus: 2, estimateS: 400 }),
          ),
        ];
        for (const spec of jobs.slice(8)) world.startUser(spec, null);
        await world.runUntil(FAULTS_BEGIN_MS);
        const cancelledIds = new Set(world.users.cancelRunningJobs(5).map((spec) => spec.id));
        const machines = aliveWorkers(world).filter((worker) =>
          worker.occupyingTasks().some((task) => cancelledIds.has(task.job.id)),
        );
        assert.ok(machines.length > 0);
        for (const worker of machines) {
          if (fault === 'hang') worker.hang();
          else for (const node of world.nodes) world.network.partition(node.name, worker.id, 'hold');
          after(world, forMs, () => {
            if (fault === 'hang') worker.resume();
            else for (const node of world.nodes) world.network.heal(node.name, worker.id);
          });
        }
        after(world, 1500, () => {
          crashLeader(world);
        });
        await passTime(world, 2 * CANCEL_MS + 40_000);
        assertNoViolations(world, `seed ${seed}`);
      }
    });

// An expired lease does not prove that the tasks of a hanging machine have ended; only releasing the machine does.
test('a cancelled task on a machine that hangs past its lease and responds to status requests ends within cancel_s', async () => {
  for (const seed of [44, 45, 46, 47]) {
    const world = leaderCheckedWorld(seed);
    startLongJobs(world, 4);
    await world.runUntil(FAULTS_BEGIN_MS);
    const machines = aliveWorkers(world).filter((worker) => worker.occupyingTasks().length > 0);
    for (const worker of machines) worker.hang();
    // Random nodes confirm the cancellations. With every second seed the leader crashes before it can react.
    world.users.cancelRunningJobs(4);
    if (seed % 2 === 0)
      after(world, 4000, () => {
        crashLeader(world);
      });
    await passTime(world, CANCEL_MS + 4000);
    assert.equal(world.checker.runningTasksOfKind('array'), 0, `seed ${seed}`);
    assertNoViolations(world, `seed ${seed}`);
  }
});

test('machines that boot within two seconds get work despite a slow store and failovers', async () => {
  for (const seed of [61, 62, 63, 64]) {
    const world = leaderCheckedWorld(seed, { capacity: 6 });
    await world.runUntil(20_000);
    world.faults.fastBoots = true;
    world.faults.storeLatencyMs = 700;
    for (let i = 0; i < 10; i += 1)
      after(world, i * 100, () => {
        world.startUser(
          jobSpec({ id: jobId(i), tasks: 2, cpus: 2, estimateS: 25 }),
          i % 4 === 0 ? world.time.now + 9000 : null,
        );
      });
    for (const ms of [1500, 2600, 3700, 9000])
      after(world, ms, () => {
        crashLeader(world, 100);
      });
    after(world, 14_000, () => {
      world.faults.storeLatencyMs = 0;
    });
    await passTime(world, 160_000);
    assertNoViolations(world, `seed ${seed}`);
    for (let i = 0; i < 10; i += 1)
      assert.ok(
        ['done', 'cancelled'].includes(String(world.recordedPhaseOf(jobId(i)))),
        `${jobId(i)}, seed ${seed}`,
      );
  }
});

test('jobs restricted to one zone, including arrays, recover from lost machines', async () => {
  for (const seed of [91, 92]) {
    const world = leaderCheckedWorld(seed, { capacity: 5 });
    const inZoneB = { zone: 'b', oneZone: true };
    world.startUser(jobSpec({ id: jobId(1), tasks: 4, estimateS: 15, ...inZoneB }), null);
    world.startUser(jobSpec({ id: jobId(2), tasks: 6, estimateS: 15, oneZone: true }), null);
    world.startUser(jobSpec({ id: jobId(3), kind: 'gang', tasks: 3, estimateS: 20, oneZone: true }), null);
    world.startUser(
      jobSpec({ id: jobId(4), kind: 'service', tasks: 2, estimateS: 0, team: 'blue', ...inZoneB }),
      null,
    );
    for (const ms of [16_000, 22_000, 28_000, 40_000])
      after(world, ms, () => {
        const busyWorkers = aliveWorkers(world).filter((worker) => worker.occupyingTasks().length > 0);
        const lost = busyWorkers[world.random(busyWorkers.length)];
        if (lost !== undefined) world.reclaimMachine(lost.id);
      });
    after(world, 30_000, () => {
      crashLeader(world);
    });
    await world.runUntil(170_000);
    assertNoViolations(world, `seed ${seed}`);
    for (const n of [1, 2, 3])
      assert.equal(world.recordedPhaseOf(jobId(n)), 'done', `${jobId(n)}, seed ${seed}`);
    assert.equal(world.checker.runningTasksOf(jobId(4)), 2);
  }
});

test('outbound-partitioned workers that still receive direct commands break no rule across a failover', async () => {
  for (const forMs of [8000, LEASE_MS + 6000]) {
    const world = leaderCheckedWorld(99);
    const jobs = startLongJobs(world, 6);
    await world.runUntil(FAULTS_BEGIN_MS);
    const machines = aliveWorkers(world).map((worker) => worker.id);
    for (const machine of machines.slice(0, Math.ceil(machines.length / 2)))
      world.faults.outboundPartitioned.add(machine);
    for (const spec of jobs.slice(0, 3)) world.users.cancelUntilConfirmed(spec);
    after(world, 2000, () => {
      crashLeader(world);
    });
    await passTime(world, forMs);
    world.faults.outboundPartitioned.clear();
    await passTime(world, 60_000);
    assertNoViolations(world, `${forMs} ms`);
    assert.equal(world.checker.runningTasksOfKind('array'), 6, 'not every task that was not cancelled runs');
  }
});

test('jobs cancelled while a zone is partitioned for longer than a lease stop within cancel_s', async () => {
  for (const seed of [105, 106, 107]) {
    const world = leaderCheckedWorld(seed, { capacity: 5 });
    startLongJobs(world, 8);
    await world.runUntil(FAULTS_BEGIN_MS);
    partitionZone(world, 'b', world.time.now + 100, world.time.now + LEASE_MS + 12_000);
    await passTime(world, 500);
    world.users.cancelRunningJobs(4);
    await passTime(world, 90_000);
    assertNoViolations(world, `seed ${seed}`);
  }
});
