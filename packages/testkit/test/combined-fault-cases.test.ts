import type { JobSpec } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import { STORE_HOST, jobId, jobSpec, leaderCheckedWorld, leaderIndex } from '../src/index.js';
import { aliveWorkers } from './support/fleets.js';

const CALM_MS = 40_000;
const LEASE_MS = 12_000;

/** A user's call at one node; its answer is judged like any other. */
async function call(
  world: World,
  node: number,
  what: 'submit' | 'poll' | 'cancel',
  spec: JobSpec,
): Promise<number> {
  const jobs = world.nodes[node]?.controller.jobs;
  assert.ok(jobs !== undefined);
  if (what === 'submit') world.checker.jobSubmitted(spec);
  if (what === 'cancel') world.checker.cancellationRequested(spec.id);
  let code: number | null = null;
  const answered =
    what === 'submit'
      ? jobs.submit(formatSubmission(spec))
      : what === 'poll'
        ? jobs.status(spec.id)
        : jobs.cancel(spec.id);
  void answered.then((response) => {
    code = jobStatusCode(response);
    world.checker.responseReceived(
      spec.id,
      what,
      jobStatusCode(response),
      'status' in response ? response.status.phase : null,
    );
  });
  for (let n = 0; n < 200 && code === null; n += 1) await world.runUntil(world.time.now + 50);
  assert.ok(code !== null, `${what} was never answered`);
  return code;
}

/** Every transaction of any node in this time gets no answer, and is carried out 2 to 12 s later. */
async function allLate(world: World, forMs: number): Promise<void> {
  world.faults.delayedWrites = 1;
  await world.runUntil(world.time.now + forMs);
  world.faults.delayedWrites = 0;
}

test('a submission whose transaction is carried out late is the same job as its retry on every node', async () => {
  const world = leaderCheckedWorld(1);
  await world.runUntil(CALM_MS);
  const spec = jobSpec({ id: jobId(1), tasks: 2 });
  world.faults.delayedWrites = 1;
  assert.equal(await call(world, 0, 'submit', spec), 503);
  world.faults.delayedWrites = 0;
  assert.equal(world.faults.counts.delayedWrites > 0, true);
  assert.ok([200, 201].includes(await call(world, 1, 'submit', spec)));
  await world.runUntil(world.time.now + 15_000);
  assert.equal(await call(world, 2, 'poll', spec), 200);
  await world.runUntil(world.time.now + 60_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(world.checker.violations, []);
});

test('a cancellation whose transaction is carried out after its user got 503 holds from then on', async () => {
  const world = leaderCheckedWorld(2);
  const spec = jobSpec({ id: jobId(1), tasks: 2, estimateS: 300 });
  world.startUser(spec, null);
  await world.runUntil(CALM_MS);
  world.faults.delayedWrites = 1;
  assert.equal(await call(world, 0, 'cancel', spec), 503);
  world.faults.delayedWrites = 0;
  assert.equal(world.recordedPhaseOf(spec.id), 'active');
  await world.runUntil(world.time.now + 15_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'cancelled');
  for (const node of [0, 1, 2]) assert.equal(await call(world, node, 'cancel', spec), 200);
  await world.runUntil(world.time.now + 40_000);
  assert.equal(world.checker.runningTasksOfKind('array'), 0);
  assert.deepEqual(world.checker.violations, []);
});

// The leader's writes come after its own newer ones, and after those of a leader elected meanwhile by a late write itself.
for (const seed of [3, 4, 5, 6])
  test(`delayed transactions during placement and election run nothing twice and every job is done, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed);
    await world.runUntil(CALM_MS);
    for (let i = 0; i < 4; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 3, estimateS: 15 }), null);
    await world.runUntil(world.time.now + 700);
    await allLate(world, 4000);
    const leader = leaderIndex(world);
    if (leader >= 0) world.crash(leader, 200);
    await allLate(world, 5000);
    await world.runUntil(world.time.now + 20_000);
    assert.ok(leaderIndex(world) >= 0, 'nobody leads');
    await world.runUntil(world.time.now + 100_000);
    assert.ok(world.faults.counts.delayedWrites >= 5, String(world.faults.counts.delayedWrites));
    assert.deepEqual(world.checker.violations, []);
    for (let i = 0; i < 4; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done');
  });

for (const mode of ['unreachable', 'inbound-partitioned'] as const)
  test(`after a failover machines with long tasks that are ${mode} are waited for and keep their tasks`, async () => {
    const world = leaderCheckedWorld(7);
    for (let i = 0; i < 4; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 3, estimateS: 90 }), null);
    await world.runUntil(CALM_MS);
    const { starts } = world.checker;
    assert.equal(world.checker.runningTasksOfKind('array'), 12);
    const machines = aliveWorkers(world).map((worker) => worker.id);
    const set = (on: boolean): void => {
      for (const machine of machines)
        if (mode === 'inbound-partitioned') world.faults.inboundPartitioned[on ? 'add' : 'delete'](machine);
        else
          for (const node of world.nodes)
            if (on) world.network.partition(node.name, machine, 'hold');
            else world.network.heal(node.name, machine);
    };
    // Less than the lease, and than the silence after which a machine is given back so that its tasks are proven gone.
    set(true);
    world.crash(leaderIndex(world), 200);
    await world.runUntil(world.time.now + LEASE_MS / 4);
    set(false);
    await world.runUntil(world.time.now + 20_000);
    assert.equal(world.checker.starts, starts, 'a task was started anew');
    assert.equal(world.checker.killedByLease, 0);
    await world.runUntil(world.time.now + 150_000);
    assert.deepEqual(world.checker.violations, []);
    for (let i = 0; i < 4; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done');
  });

for (const seed of [8, 9, 10])
  test(`jobs whose tasks end far apart are done despite failovers and duplicate heartbeats, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed, { taskRunMs: (_, task) => 5000 + task * 22_000 });
    await world.runUntil(20_000);
    world.faults.duplicateHeartbeats = 0.4;
    for (let i = 0; i < 6; i += 1)
      world.startUser(jobSpec({ id: jobId(i), tasks: 2 + (i % 2), estimateS: 20 }), null);
    for (let ms = 4000; ms < 60_000; ms += 9500) {
      await world.runUntil(20_000 + ms);
      const leader = leaderIndex(world);
      if (leader < 0) continue;
      // Back and forth within a second, now and then with writes that come late.
      world.crash(leader, 100);
      if (ms % 2 === 0) await allLate(world, 600);
      await world.runUntil(world.time.now + 800);
      const next = leaderIndex(world);
      if (next >= 0) world.crash(next, 100);
    }
    world.faults.duplicateHeartbeats = 0;
    await world.runUntil(180_000);
    assert.ok(world.faults.counts.duplicateHeartbeats > 0);
    assert.deepEqual(world.checker.violations, []);
    for (let i = 0; i < 6; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done', jobId(i));
  });

test('a leader cut off from store and peers answers users with 503 and nothing stale', async () => {
  const world = leaderCheckedWorld(11);
  const [kept, cancelled] = [1, 2].map((n) => jobSpec({ id: jobId(n), tasks: 2, estimateS: 300 }));
  assert.ok(kept !== undefined && cancelled !== undefined);
  world.startUser(kept, null);
  world.startUser(cancelled, null);
  await world.runUntil(CALM_MS);
  const cut = leaderIndex(world);
  const others = [0, 1, 2].filter((n) => n !== cut);
  const hosts = [STORE_HOST, ...others.map((n) => `spur-${n}`)];
  for (const host of hosts) world.network.partition(`spur-${cut}`, host, 'drop');
  await world.runUntil(world.time.now + 6000);
  assert.ok(others.includes(leaderIndex(world)), 'no other node leads');
  assert.equal(await call(world, others[0] ?? 0, 'cancel', cancelled), 200);
  for (const what of ['poll', 'submit', 'cancel'] as const)
    assert.equal(await call(world, cut, what, cancelled), 503, what);
  assert.equal(await call(world, cut, 'poll', kept), 503);
  await world.runUntil(world.time.now + 30_000);
  assert.equal(world.checker.runningTasksOfKind('array'), 2, 'only what was not cancelled runs');
  for (const host of hosts) world.network.heal(`spur-${cut}`, host);
  await world.runUntil(world.time.now + 10_000);
  assert.equal(await call(world, cut, 'poll', cancelled), 200);
  await world.runUntil(world.time.now + 20_000);
  assert.deepEqual(world.checker.violations, []);
});

test('when all nodes end and one returns alone twice, nothing runs twice and every job is done', async () => {
  const world = leaderCheckedWorld(12);
  for (let i = 0; i < 3; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 2, estimateS: 60 }), null);
  await world.runUntil(CALM_MS);
  world.crash(0, 200);
  world.crash(1, 30_000);
  world.crash(2, 30_000);
  await world.runUntil(world.time.now + 4000);
  world.crash(0, 200);
  await world.runUntil(world.time.now + 6000);
  assert.equal(leaderIndex(world), 0, 'the one that is back does not lead');
  await world.runUntil(world.time.now + 100_000);
  assert.deepEqual(world.checker.violations, []);
  for (let i = 0; i < 3; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done');
});
