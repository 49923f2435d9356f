import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { JobSpec } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';
import type { World } from '../src/index.js';
import { STORE_HOST, jobId as id, jobSpec, leaderCheckedWorld as world, leaderIndex } from '../src/index.js';

const CALM_MS = 40_000;
const LEASE_MS = 12_000;

/** A user's call at one node; its answer is judged like any other. */
async function call(
  w: World,
  node: number,
  what: 'submit' | 'poll' | 'cancel',
  spec: JobSpec,
): Promise<number> {
  const jobs = w.nodes[node]?.controller.jobs;
  assert.ok(jobs !== undefined);
  if (what === 'submit') w.checker.jobSubmitted(spec);
  if (what === 'cancel') w.checker.cancellationRequested(spec.id);
  let code: number | null = null;
  const answered =
    what === 'submit'
      ? jobs.submit(formatSubmission(spec))
      : what === 'poll'
        ? jobs.status(spec.id)
        : jobs.cancel(spec.id);
  void answered.then((a) => {
    code = jobStatusCode(a);
    w.checker.responseReceived(spec.id, what, jobStatusCode(a), 'status' in a ? a.status.phase : null);
  });
  for (let n = 0; n < 200 && code === null; n += 1) await w.runUntil(w.time.now + 50);
  assert.ok(code !== null, `${what} was never answered`);
  return code;
}

/** Every transaction of any node in this time gets no answer, and is carried out 2 to 12 s later. */
async function allLate(w: World, forMs: number): Promise<void> {
  w.faults.delayedWrites = 1;
  await w.runUntil(w.time.now + forMs);
  w.faults.delayedWrites = 0;
}

test('an accept carried out late is the same job as its retry, for whoever asks', async () => {
  const w = world(1);
  await w.runUntil(CALM_MS);
  const spec = jobSpec({ id: id(1), tasks: 2 });
  w.faults.delayedWrites = 1;
  assert.equal(await call(w, 0, 'submit', spec), 503);
  w.faults.delayedWrites = 0;
  assert.equal(w.faults.counts.delayedWrites > 0, true);
  assert.ok([200, 201].includes(await call(w, 1, 'submit', spec)));
  await w.runUntil(w.time.now + 15_000);
  assert.equal(await call(w, 2, 'poll', spec), 200);
  await w.runUntil(w.time.now + 60_000);
  assert.equal(w.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(w.checker.violations, []);
});

test('a cancellation carried out late, after its user was told to come back, holds from then on', async () => {
  const w = world(2);
  const spec = jobSpec({ id: id(1), tasks: 2, estimateS: 300 });
  w.startUser(spec, null);
  await w.runUntil(CALM_MS);
  w.faults.delayedWrites = 1;
  assert.equal(await call(w, 0, 'cancel', spec), 503);
  w.faults.delayedWrites = 0;
  assert.equal(w.recordedPhaseOf(spec.id), 'active');
  await w.runUntil(w.time.now + 15_000);
  assert.equal(w.recordedPhaseOf(spec.id), 'cancelled');
  for (const node of [0, 1, 2]) assert.equal(await call(w, node, 'cancel', spec), 200);
  await w.runUntil(w.time.now + 40_000);
  assert.equal(w.checker.runningTasksOfKind('array'), 0);
  assert.deepEqual(w.checker.violations, []);
});

// The leader's writes come after its own newer ones, and after those of a leader elected meanwhile by a late write itself.
for (const seed of [3, 4, 5, 6])
  test(`all transactions late in a placement and in an election: nothing twice, all done, seed ${seed}`, async () => {
    const w = world(seed);
    await w.runUntil(CALM_MS);
    for (let i = 0; i < 4; i += 1) w.startUser(jobSpec({ id: id(i), tasks: 3, estimateS: 15 }), null);
    await w.runUntil(w.time.now + 700);
    await allLate(w, 4000);
    const leader = leaderIndex(w);
    if (leader >= 0) w.crash(leader, 200);
    await allLate(w, 5000);
    await w.runUntil(w.time.now + 20_000);
    assert.ok(leaderIndex(w) >= 0, 'nobody leads');
    await w.runUntil(w.time.now + 100_000);
    assert.ok(w.faults.counts.delayedWrites >= 5, String(w.faults.counts.delayedWrites));
    assert.deepEqual(w.checker.violations, []);
    for (let i = 0; i < 4; i += 1) assert.equal(w.recordedPhaseOf(id(i)), 'done');
  });

for (const mode of ['unreachable', 'deaf'] as const)
  test(`the leader ends while machines with long tasks are ${mode}: they are waited for and kept`, async () => {
    const w = world(7);
    for (let i = 0; i < 4; i += 1) w.startUser(jobSpec({ id: id(i), tasks: 3, estimateS: 90 }), null);
    await w.runUntil(CALM_MS);
    const { starts } = w.checker;
    assert.equal(w.checker.runningTasksOfKind('array'), 12);
    const machines = [...w.workers.values()].filter((x) => x.alive).map((x) => x.id);
    const set = (on: boolean): void => {
      for (const m of machines)
        if (mode === 'deaf') w.faults.inboundPartitioned[on ? 'add' : 'delete'](m);
        else
          for (const n of w.nodes)
            if (on) w.network.partition(n.name, m, 'hold');
            else w.network.heal(n.name, m);
    };
    // Less than the lease, and than the silence after which a machine is given back so that its tasks are proven gone.
    set(true);
    w.crash(leaderIndex(w), 200);
    await w.runUntil(w.time.now + LEASE_MS / 4);
    set(false);
    await w.runUntil(w.time.now + 20_000);
    assert.equal(w.checker.starts, starts, 'a task was started anew');
    assert.equal(w.checker.killedByLease, 0);
    await w.runUntil(w.time.now + 150_000);
    assert.deepEqual(w.checker.violations, []);
    for (let i = 0; i < 4; i += 1) assert.equal(w.recordedPhaseOf(id(i)), 'done');
  });

for (const seed of [8, 9, 10])
  test(`jobs of two and three tasks that end far apart, across changes of leader and old reports, seed ${seed}`, async () => {
    const w = world(seed, { taskRunMs: (_, task) => 5000 + task * 22_000 });
    await w.runUntil(20_000);
    w.faults.duplicateHeartbeats = 0.4;
    for (let i = 0; i < 6; i += 1)
      w.startUser(jobSpec({ id: id(i), tasks: 2 + (i % 2), estimateS: 20 }), null);
    for (let ms = 4000; ms < 60_000; ms += 9500) {
      await w.runUntil(20_000 + ms);
      const leader = leaderIndex(w);
      if (leader < 0) continue;
      // Back and forth within a second, now and then with writes that come late.
      w.crash(leader, 100);
      if (ms % 2 === 0) await allLate(w, 600);
      await w.runUntil(w.time.now + 800);
      const next = leaderIndex(w);
      if (next >= 0) w.crash(next, 100);
    }
    w.faults.duplicateHeartbeats = 0;
    await w.runUntil(180_000);
    assert.ok(w.faults.counts.duplicateHeartbeats > 0);
    assert.deepEqual(w.checker.violations, []);
    for (let i = 0; i < 6; i += 1) assert.equal(w.recordedPhaseOf(id(i)), 'done', id(i));
  });

test('through a leader cut from service and peers users are told to come back, and nothing older than elsewhere', async () => {
  const w = world(11);
  const [kept, cancelled] = [1, 2].map((n) => jobSpec({ id: id(n), tasks: 2, estimateS: 300 }));
  assert.ok(kept !== undefined && cancelled !== undefined);
  w.startUser(kept, null);
  w.startUser(cancelled, null);
  await w.runUntil(CALM_MS);
  const cut = leaderIndex(w);
  const others = [0, 1, 2].filter((n) => n !== cut);
  const hosts = [STORE_HOST, ...others.map((n) => `spur-${n}`)];
  for (const host of hosts) w.network.partition(`spur-${cut}`, host, 'drop');
  await w.runUntil(w.time.now + 6000);
  assert.ok(others.includes(leaderIndex(w)), 'no other node leads');
  assert.equal(await call(w, others[0] ?? 0, 'cancel', cancelled), 200);
  for (const what of ['poll', 'submit', 'cancel'] as const)
    assert.equal(await call(w, cut, what, cancelled), 503, what);
  assert.equal(await call(w, cut, 'poll', kept), 503);
  await w.runUntil(w.time.now + 30_000);
  assert.equal(w.checker.runningTasksOfKind('array'), 2, 'only what was not cancelled runs');
  for (const host of hosts) w.network.heal(`spur-${cut}`, host);
  await w.runUntil(w.time.now + 10_000);
  assert.equal(await call(w, cut, 'poll', cancelled), 200);
  await w.runUntil(w.time.now + 20_000);
  assert.deepEqual(w.checker.violations, []);
});

test('all nodes end, one returns alone, and ends and returns again: nothing runs twice, all is done', async () => {
  const w = world(12);
  for (let i = 0; i < 3; i += 1) w.startUser(jobSpec({ id: id(i), tasks: 2, estimateS: 60 }), null);
  await w.runUntil(CALM_MS);
  w.crash(0, 200);
  w.crash(1, 30_000);
  w.crash(2, 30_000);
  await w.runUntil(w.time.now + 4000);
  w.crash(0, 200);
  await w.runUntil(w.time.now + 6000);
  assert.equal(leaderIndex(w), 0, 'the one that is back does not lead');
  await w.runUntil(w.time.now + 100_000);
  assert.deepEqual(w.checker.violations, []);
  for (let i = 0; i < 3; i += 1) assert.equal(w.recordedPhaseOf(id(i)), 'done');
});
