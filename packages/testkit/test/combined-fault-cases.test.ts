import type { JobSpec } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import { STORE_HOST, jobId, jobSpec, leaderCheckedWorld, leaderIndex } from '../src/index.js';
import { aliveWorkers } from './support/fleets.js';

/** Time by which machines are up, and submitted tasks run. */
const SETTLED_MS = 40_000;
const LEASE_MS = 12_000;

/** Sends a user's request to one node, checks the response against the rules, and returns its status code. */
async function sendRequest(
  world: World,
  node: number,
  request: 'submit' | 'poll' | 'cancel',
  spec: JobSpec,
): Promise<number> {
  const jobs = world.nodes[node]?.controller.jobs;
  assert.ok(jobs !== undefined);
  if (request === 'submit') world.checker.jobSubmitted(spec);
  if (request === 'cancel') world.checker.cancellationRequested(spec.id);
  let code: number | null = null;
  const pendingResponse =
    request === 'submit'
      ? jobs.submit(formatSubmission(spec))
      : request === 'poll'
        ? jobs.status(spec.id)
        : jobs.cancel(spec.id);
  void pendingResponse.then((response) => {
    code = jobStatusCode(response);
    world.checker.responseReceived(
      spec.id,
      request,
      jobStatusCode(response),
      'status' in response ? response.status.phase : null,
    );
  });
  for (let n = 0; n < 200 && code === null; n += 1) await world.runUntil(world.time.now + 50);
  assert.ok(code !== null, `${request} got no response`);
  return code;
}

/** For this long, no transaction of any node gets a response, and each is executed 2 to 12 s later. */
async function delayAllWrites(world: World, forMs: number): Promise<void> {
  world.faults.delayedWrites = 1;
  await world.runUntil(world.time.now + forMs);
  world.faults.delayedWrites = 0;
}

test('a submission whose transaction is executed late and its retry on another node create one job', async () => {
  const world = leaderCheckedWorld(1);
  await world.runUntil(SETTLED_MS);
  const spec = jobSpec({ id: jobId(1), tasks: 2 });
  world.faults.delayedWrites = 1;
  assert.equal(await sendRequest(world, 0, 'submit', spec), 503);
  world.faults.delayedWrites = 0;
  assert.equal(world.faults.counts.delayedWrites > 0, true);
  assert.ok([200, 201].includes(await sendRequest(world, 1, 'submit', spec)));
  await world.runUntil(world.time.now + 15_000);
  assert.equal(await sendRequest(world, 2, 'poll', spec), 200);
  await world.runUntil(world.time.now + 60_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(world.checker.violations, []);
});

test('a cancellation whose transaction is executed after its user got 503 is final from then on', async () => {
  const world = leaderCheckedWorld(2);
  const spec = jobSpec({ id: jobId(1), tasks: 2, estimateS: 300 });
  world.startUser(spec, null);
  await world.runUntil(SETTLED_MS);
  world.faults.delayedWrites = 1;
  assert.equal(await sendRequest(world, 0, 'cancel', spec), 503);
  world.faults.delayedWrites = 0;
  assert.equal(world.recordedPhaseOf(spec.id), 'active');
  await world.runUntil(world.time.now + 15_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'cancelled');
  for (const node of [0, 1, 2]) assert.equal(await sendRequest(world, node, 'cancel', spec), 200);
  await world.runUntil(world.time.now + 40_000);
  assert.equal(world.checker.runningTasksOfKind('array'), 0);
  assert.deepEqual(world.checker.violations, []);
});

// Delayed writes of a leader are executed after newer writes of its own, and after writes of the next leader, whose
// election may itself be a delayed write.
for (const seed of [3, 4, 5, 6])
  test(`delayed transactions during placement and election run no task twice, and every job completes, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed);
    await world.runUntil(SETTLED_MS);
    for (let i = 0; i < 4; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 3, estimateS: 15 }), null);
    await world.runUntil(world.time.now + 700);
    await delayAllWrites(world, 4000);
    const leader = leaderIndex(world);
    if (leader >= 0) world.crash(leader, 200);
    await delayAllWrites(world, 5000);
    await world.runUntil(world.time.now + 20_000);
    assert.ok(leaderIndex(world) >= 0, 'no node leads');
    await world.runUntil(world.time.now + 100_000);
    assert.ok(world.faults.counts.delayedWrites >= 5, String(world.faults.counts.delayedWrites));
    assert.deepEqual(world.checker.violations, []);
    for (let i = 0; i < 4; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done');
  });

for (const mode of ['unreachable', 'inbound-partitioned'] as const)
  test(`after a failover the leader waits for ${mode} machines with long tasks, and the tasks continue`, async () => {
    const world = leaderCheckedWorld(7);
    for (let i = 0; i < 4; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 3, estimateS: 90 }), null);
    await world.runUntil(SETTLED_MS);
    const { starts } = world.checker;
    assert.equal(world.checker.runningTasksOfKind('array'), 12);
    const machines = aliveWorkers(world).map((worker) => worker.id);
    const setPartitioned = (isPartitioned: boolean): void => {
      for (const machine of machines)
        if (mode === 'inbound-partitioned')
          world.faults.inboundPartitioned[isPartitioned ? 'add' : 'delete'](machine);
        else
          for (const node of world.nodes)
            if (isPartitioned) world.network.partition(node.name, machine, 'hold');
            else world.network.heal(node.name, machine);
    };
    // The partition is shorter than the lease, and too short for silent machines to be released.
    setPartitioned(true);
    world.crash(leaderIndex(world), 200);
    await world.runUntil(world.time.now + LEASE_MS / 4);
    setPartitioned(false);
    await world.runUntil(world.time.now + 20_000);
    assert.equal(world.checker.starts, starts, 'a task was restarted');
    assert.equal(world.checker.killedByLease, 0);
    await world.runUntil(world.time.now + 150_000);
    assert.deepEqual(world.checker.violations, []);
    for (let i = 0; i < 4; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done');
  });

for (const seed of [8, 9, 10])
  test(`jobs whose tasks end at very different times complete despite failovers and duplicate heartbeats, seed ${seed}`, async () => {
    const world = leaderCheckedWorld(seed, { taskRunMs: (_, task) => 5000 + task * 22_000 });
    await world.runUntil(20_000);
    world.faults.duplicateHeartbeats = 0.4;
    for (let i = 0; i < 6; i += 1)
      world.startUser(jobSpec({ id: jobId(i), tasks: 2 + (i % 2), estimateS: 20 }), null);
    for (let ms = 4000; ms < 60_000; ms += 9500) {
      await world.runUntil(20_000 + ms);
      const leader = leaderIndex(world);
      if (leader < 0) continue;
      // Two failovers within about a second, sometimes with delayed writes in between.
      world.crash(leader, 100);
      if (ms % 2 === 0) await delayAllWrites(world, 600);
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

test('a leader partitioned from the store and its peers responds to users with 503 and never with stale data', async () => {
  const world = leaderCheckedWorld(11);
  const [kept, cancelled] = [1, 2].map((n) => jobSpec({ id: jobId(n), tasks: 2, estimateS: 300 }));
  assert.ok(kept !== undefined && cancelled !== undefined);
  world.startUser(kept, null);
  world.startUser(cancelled, null);
  await world.runUntil(SETTLED_MS);
  const oldLeader = leaderIndex(world);
  const others = [0, 1, 2].filter((n) => n !== oldLeader);
  const hosts = [STORE_HOST, ...others.map((n) => `spur-${n}`)];
  for (const host of hosts) world.network.partition(`spur-${oldLeader}`, host, 'drop');
  await world.runUntil(world.time.now + 6000);
  assert.ok(others.includes(leaderIndex(world)), 'no other node leads');
  assert.equal(await sendRequest(world, others[0] ?? 0, 'cancel', cancelled), 200);
  for (const request of ['poll', 'submit', 'cancel'] as const)
    assert.equal(await sendRequest(world, oldLeader, request, cancelled), 503, request);
  assert.equal(await sendRequest(world, oldLeader, 'poll', kept), 503);
  await world.runUntil(world.time.now + 30_000);
  assert.equal(
    world.checker.runningTasksOfKind('array'),
    2,
    'only the tasks of the job that was not cancelled run',
  );
  for (const host of hosts) world.network.heal(`spur-${oldLeader}`, host);
  await world.runUntil(world.time.now + 10_000);
  assert.equal(await sendRequest(world, oldLeader, 'poll', cancelled), 200);
  await world.runUntil(world.time.now + 20_000);
  assert.deepEqual(world.checker.violations, []);
});

test('when all nodes crash and one restarts alone twice, no task runs twice and every job completes', async () => {
  const world = leaderCheckedWorld(12);
  for (let i = 0; i < 3; i += 1) world.startUser(jobSpec({ id: jobId(i), tasks: 2, estimateS: 60 }), null);
  await world.runUntil(SETTLED_MS);
  world.crash(0, 200);
  world.crash(1, 30_000);
  world.crash(2, 30_000);
  await world.runUntil(world.time.now + 4000);
  world.crash(0, 200);
  await world.runUntil(world.time.now + 6000);
  assert.equal(leaderIndex(world), 0, 'the restarted node does not lead');
  await world.runUntil(world.time.now + 100_000);
  assert.deepEqual(world.checker.violations, []);
  for (let i = 0; i < 3; i += 1) assert.equal(world.recordedPhaseOf(jobId(i)), 'done');
});
