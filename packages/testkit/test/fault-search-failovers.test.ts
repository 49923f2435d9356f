/**
 * Cases that the randomised fault search found or covers: failovers, and heartbeats that arrive during or after them.
 *
 * @module
 */
import type { JobId } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import { jobId, jobSpec, leaderCheckedWorld, leaderIndex } from '../src/index.js';
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
  startOutage,
} from './support/regression-cases.js';

for (const confirmingNode of [0, 1, 2])
  test(`tasks stop within cancel_s when node ${confirmingNode} confirms their cancellation during a failover`, async () => {
    for (const seed of [51, 52, 53]) {
      const world = leaderCheckedWorld(seed);
      const jobs = startLongJobs(world, 10);
      await world.runUntil(FAULTS_BEGIN_MS);
      const leader = leaderIndex(world);
      if (seed % 2 === 0) crashLeader(world, 300);
      else void world.nodes[leader]?.controller.leadership.resign('by the test');
      jobs.forEach((spec, i) => {
        let isConfirmed = false;
        const requestCancellation = (): void => {
          if (isConfirmed) return;
          world.users.sendRequest(confirmingNode, 'cancel', spec, (response) => {
            isConfirmed = jobStatusCode(response) === 200;
          });
          after(world, 700, requestCancellation);
        };
        after(world, i * 300, requestCancellation);
      });
      await passTime(world, 3500 + CANCEL_MS + 3000);
      assert.equal(world.checker.runningTasksOfKind('array'), 0, `seed ${seed}`);
      assertNoViolations(world, `seed ${seed}`);
    }
  });

test('replayed heartbeats that reach every node after an election break no rule, even if their machines are lost', async () => {
  for (const seed of [71, 72, 73, 74]) {
    const world = leaderCheckedWorld(seed);
    world.faults.replayedHeartbeats = 0.3;
    for (let i = 0; i < 6; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 3, estimateS: 12 }), null);
    await world.runUntil(30_000);
    for (const worker of aliveWorkers(world).slice(0, 3)) world.reclaimMachine(worker.id);
    await passTime(world, 15_000);
    for (let i = 6; i < 10; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 2, estimateS: 20 }), null);
    for (const ms of [2000, 9000, 9700])
      after(world, ms, () => {
        crashLeader(world, 100);
      });
    await passTime(world, 110_000);
    assert.ok(world.faults.counts.replayedHeartbeats > 20);
    assertNoViolations(world, `seed ${seed}`);
    for (let i = 0; i < 10; i += 1)
      assert.equal(world.recordedPhaseOf(jobId(i)), 'done', `${jobId(i)}, seed ${seed}`);
  }
});

/** Keys of the task records that place a task on the machine. */
function placementsOn(world: World, machine: string): string[] {
  const keys = world.store.keys().filter((k) => k.startsWith('t/'));
  return keys.filter((k) => JSON.stringify(world.store.peek(k)).includes(machine));
}

// A leader placed a task on a machine that no longer existed, because it had received an old heartbeat of it. The task
// did not run for nine seconds, until the machine's silence was detected.
test('a new leader places no task on a machine that it knows only from a replayed heartbeat', async () => {
  const world = leaderCheckedWorld(75);
  startLongJobs(world, 2);
  await world.runUntil(FAULTS_BEGIN_MS);
  const lostMachine = aliveWorkers(world)[0];
  assert.ok(lostMachine !== undefined);
  const oldHeartbeat = lostMachine.makeHeartbeat();
  for (const worker of aliveWorkers(world))
    if (worker.type === lostMachine.type && worker.zone === lostMachine.zone) world.reclaimMachine(worker.id);
  // The cloud's list of machines no longer has the machine when the next leader is elected.
  await passTime(world, 30_000);
  crashLeader(world, 200);
  let newLeader = -1;
  while (newLeader < 0) {
    await passTime(world, 20);
    newLeader = leaderIndex(world);
  }
  await passTime(world, 100);
  assert.deepEqual(placementsOn(world, lostMachine.id), []);
  void world.nodes[newLeader]?.controller.handleHeartbeat({ ...oldHeartbeat, tasks: [] });
  await passTime(world, 50);
  // These jobs may run only on machines of this type in this zone.
  const constraints = { types: [lostMachine.type.name], zone: lostMachine.zone, estimateS: 400 };
  for (let i = 10; i < 12; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 2, ...constraints }), null);
  for (let n = 0; n < 60; n += 1) {
    await passTime(world, 50);
    assert.deepEqual(placementsOn(world, lostMachine.id), []);
  }
  await passTime(world, 30_000);
  assertNoViolations(world);
  assert.equal(world.checker.runningTasksOf(jobId(10)), 2, 'the job does not run');
});

test('outdated heartbeats that arrive after a new leader has acted on their machines break no rule', async () => {
  for (const seed of [76, 77, 78]) {
    const world = leaderCheckedWorld(seed);
    for (let i = 0; i < 5; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 3, estimateS: 10 }), null);
    await world.runUntil(26_000);
    const oldHeartbeats = aliveWorkers(world).map((worker) => worker.makeHeartbeat());
    crashLeader(world, 100);
    for (let i = 5; i < 9; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 2, estimateS: 10 }), null);
    for (const ms of [2500, 6000, 20_000])
      after(world, ms, () => {
        for (const heartbeat of oldHeartbeats)
          for (const node of world.nodes) void node.controller.handleHeartbeat(heartbeat);
      });
    await passTime(world, 90_000);
    assertNoViolations(world, `seed ${seed}`);
    for (let i = 0; i < 9; i += 1)
      assert.equal(world.recordedPhaseOf(jobId(i)), 'done', `${jobId(i)}, seed ${seed}`);
  }
});

test('an absence of all controllers for longer than a worker lease breaks no rule', async () => {
  for (const seed of [97, 98]) {
    const world = leaderCheckedWorld(seed);
    const jobs = startLongJobs(world, 6);
    await world.runUntil(FAULTS_BEGIN_MS);
    const cancelledJobs = jobs.slice(0, 2);
    for (const spec of cancelledJobs) world.users.cancelUntilConfirmed(spec);
    await passTime(world, 300);
    for (const n of [0, 1, 2]) world.crash(n, LEASE_MS + 3000 + n * 500);
    await passTime(world, LEASE_MS + 60_000);
    assertNoViolations(world, `seed ${seed}`);
    assert.equal(
      world.checker.runningTasksOfKind('array'),
      8,
      'not every task that was not cancelled runs again',
    );
  }
});

test('ten failovers in two minutes, some of them during a store outage, break no rule', async () => {
  for (const seed of [101, 102]) {
    const world = leaderCheckedWorld(seed);
    for (let i = 0; i < 12; i += 1)
      after(world, 15_000 + i * 9000, () => {
        world.startUser(
          jobSpec({ id: jobId(i), tasks: 2, estimateS: 8 }),
          i % 4 === 0 ? world.time.now + 6000 : null,
        );
      });
    world.faults.replayedHeartbeats = 0.2;
    for (let n = 0; n < 10; n += 1)
      after(world, 20_000 + n * 12_000, () => {
        crashLeader(world, [50, 300, 2000][n % 3]);
      });
    after(world, 60_000, () => {
      startOutage(world, 30_000);
    });
    await world.runUntil(230_000);
    assertNoViolations(world, `seed ${seed}`);
    for (let i = 0; i < 12; i += 1)
      assert.ok(
        ['done', 'cancelled'].includes(String(world.recordedPhaseOf(jobId(i)))),
        `${jobId(i)}, seed ${seed}`,
      );
  }
});

test('two failovers followed by a crash of all nodes break no rule', async () => {
  for (const seed of [108, 109]) {
    const world = leaderCheckedWorld(seed);
    const jobs = startLongJobs(world, 6);
    await world.runUntil(FAULTS_BEGIN_MS);
    for (const spec of jobs.slice(0, 2)) world.users.cancelUntilConfirmed(spec);
    crashLeader(world, 300);
    await passTime(world, 900);
    crashLeader(world, 300);
    await passTime(world, 700);
    world.crash(0, 500);
    world.crash(1, 20_000);
    world.crash(2, 20_000);
    await passTime(world, 70_000);
    assertNoViolations(world, `seed ${seed}`);
    assert.equal(world.checker.runningTasksOfKind('array'), 8);
  }
});

/** The number of the job's tasks on machines, according to the workers. */
function tasksOnMachines(world: World, job: JobId): number {
  return aliveWorkers(world).reduce(
    (n, worker) => n + worker.occupyingTasks().filter((task) => task.job.id === job).length,
    0,
  );
}

// A leader deleted the task records of a job as soon as it read that the job was cancelled. The next leader then knew
// nothing of the tasks that were still running.
test('task records of cancelled jobs are kept until the tasks have ended, also across failovers', async () => {
  for (const seed of [121, 122, 123]) {
    const world = leaderCheckedWorld(seed, { capacity: 8 });
    const jobs = startLongJobs(world, 10, { cpus: 2 });
    await world.runUntil(FAULTS_BEGIN_MS);
    assert.equal(world.checker.runningTasksOfKind('array'), 20, 'the team is not at its limit');
    const machines = aliveWorkers(world).map((worker) => worker.id);
    const cancelledJobs = jobs.slice(0, 4);
    for (const spec of cancelledJobs) world.users.cancelUntilConfirmed(spec);
    for (const machine of machines)
      for (const node of world.nodes) world.network.partition(node.name, machine, 'hold');
    // As many tasks wait as are cancelled. If the running tasks were not counted towards the team's limit, the waiting
    // tasks would start too early.
    for (let i = 0; i < 4; i += 1)
      world.startUser(jobSpec({ id: jobId(50 + i), tasks: 2, cpus: 2, estimateS: 400 }), null);
    for (const ms of [300, 2600, 5200])
      after(world, ms, () => {
        crashLeader(world, 100);
      });
    for (let n = 0; n < 70; n += 1) {
      await passTime(world, 100);
      for (const { id: job } of cancelledJobs)
        if (tasksOnMachines(world, job) > 0)
          assert.ok(
            world.store.peek(`t/${job}/0`) !== undefined,
            `the task record of ${job} is missing at ${world.time.now}, seed ${seed}`,
          );
    }
    for (const machine of machines) for (const node of world.nodes) world.network.heal(node.name, machine);
    await passTime(world, 40_000);
    assertNoViolations(world, `seed ${seed}`);
  }
});
