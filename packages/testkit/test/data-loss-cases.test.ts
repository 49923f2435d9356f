/**
 * What becomes of jobs, tasks and machines when the store loses data.
 *
 * @module
 */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { StoreCheckpoint, World } from '../src/index.js';
import {
  STORE_HOST,
  forkStore,
  jobId,
  jobSpec,
  leaderIndex,
  machinesInZone,
  partitionZone,
} from '../src/index.js';

import { allTrusted, placedOn, responseOf, service, watchedWorld } from './support/data-loss.js';

test('replicas run on through a loss of data: none is stopped, restarted or killed by its lease', async () => {
  const world = watchedWorld(1);
  let ended = 0;
  world.checker.onRunEnded = () => {
    ended += 1;
  };
  for (const n of [1, 2, 3]) world.startUser(service(n), null);
  await world.runUntil(40_000);
  const before = world.checker.starts;
  world.store.clear();
  await world.runUntil(42_500);
  assert.ok(allTrusted(world), 'sound again within 2.5 s where all nodes take part');
  await world.runUntil(100_000);
  assert.deepEqual([world.checker.starts - before, ended, world.checker.violations], [0, 0, []]);
});

test('with nodes on two diverged stores one side works and the other refuses', async () => {
  const world = watchedWorld(2);
  let point: StoreCheckpoint | null = null;
  world.time.after(20_000, () => {
    point = world.store.checkpoint();
  });
  for (const n of [1, 2, 3, 4, 5, 6])
    world.time.after(n * 6000, () => {
      world.startUser(jobSpec({ id: jobId(n), tasks: 6, estimateS: 12 }), null);
    });
  await world.runUntil(45_000);
  assert.ok(point !== null);
  const leader = leaderIndex(world);
  forkStore(world, (leader + 1) % 3, point);
  await world.runUntil(75_000);
  assert.ok(
    world.nodes.some((node) => node.recoverableStore.isTrusted) && !allTrusted(world),
    'not both sides may work',
  );
  // The operators put all nodes in front of one store again: the one that was written to last.
  const working = world.nodes.find((node) => node.recoverableStore.isTrusted);
  assert.ok(working !== undefined);
  for (const node of world.nodes) node.store.backend = working.store.backend;
  await world.runUntil(180_000);
  assert.ok(allTrusted(world));
  assert.deepEqual(world.checker.violations, []);
});

test('a commit sent before the loss and delivered a minute after it changes nothing', async () => {
  const world = watchedWorld(3);
  world.startUser(service(1), null);
  for (const n of [2, 3, 4])
    world.time.after(n * 9000, () => {
      world.startUser(jobSpec({ id: jobId(n), tasks: 8, estimateS: 10 }), n === 3 ? 60_000 : null);
    });
  await world.runUntil(29_000);
  const node = world.nodes[leaderIndex(world)];
  assert.ok(node !== undefined);
  world.network.partition(node.name, STORE_HOST, 'hold');
  // What the leader and its users' calls send now stays on the way.
  world.time.after(2500, () => {
    world.store.clear();
  });
  await world.runUntil(91_500);
  const keys = world.store.keys().filter((k) => k.startsWith('t/'));
  const before = JSON.stringify(keys.map((k) => world.store.peek(k)));
  world.network.heal(node.name, STORE_HOST);
  await world.runUntil(91_520);
  const after = JSON.stringify(keys.map((k) => world.store.peek(k)));
  assert.equal(after, before);
  await world.runUntil(200_000);
  assert.deepEqual(world.checker.violations, []);
});

test('a cancellation holds although its record is lost and its tasks are in a partitioned zone', async () => {
  const world = watchedWorld(4);
  const spec = service(1, { zone: 'b', tasks: 2 });
  world.startUser(spec, 30_000);
  world.startUser(service(2), null);
  let point: StoreCheckpoint | null = null;
  world.time.after(28_000, () => {
    point = world.store.checkpoint();
  });
  await world.runUntil(20_000);
  assert.ok(machinesInZone(world, 'b').length > 0 && placedOn(world, spec.id).length > 0);
  partitionZone(world, 'b', 26_000, 110_000);
  await world.runUntil(36_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'cancelled');
  assert.ok(point !== null);
  world.store.restore(point);
  assert.notEqual(world.recordedPhaseOf(spec.id), 'cancelled');
  await world.runUntil(200_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'cancelled');
  assert.deepEqual(world.checker.violations, []);
});

for (const [what, harm] of [
  ['gone', (world: World, key: string) => world.store.dropKeys((k) => k === key)],
  ['unreadable', (world: World, key: string) => world.store.corruptValues((k) => k === key)],
] as const)
  test(`a job reported done whose record is ${what} is still done, and its record is restored`, async () => {
    const world = watchedWorld(5);
    const spec = jobSpec({ id: jobId(1), tasks: 3, estimateS: 4 });
    world.startUser(spec, null);
    world.startUser(service(2), null);
    await world.runUntil(45_000);
    assert.equal(world.recordedPhaseOf(spec.id), 'done');
    assert.equal(harm(world, `j/${spec.id}`), 1);
    // Whoever asks first, of whichever node, gets no older answer; then the record is back.
    for (let t = 45_100; t < 60_000; t += 700) {
      for (const node of world.nodes) {
        const answer = await responseOf(world, node.controller.jobs.status(spec.id));
        world.checker.responseReceived(
          spec.id,
          'poll',
          jobStatusCode(answer),
          'status' in answer ? answer.status.phase : null,
        );
      }
      await world.runUntil(t);
    }
    assert.equal(world.recordedPhaseOf(spec.id), 'done');
    assert.deepEqual(world.checker.violations, []);
  });

test('a gang between two attempts continues as a whole after the loss', async () => {
  const world = watchedWorld(6);
  const spec = jobSpec({
    id: jobId(1),
    kind: 'gang',
    tasks: 3,
    cpus: 4,
    estimateS: 14,
    spot: false,
    checkpointS: 4,
  });
  world.startUser(spec, null);
  while (placedOn(world, spec.id).length < 3 && world.time.now < 60_000)
    await world.runUntil(world.time.now + 200);
  const on = placedOn(world, spec.id);
  assert.equal(on.length, 3);
  await world.runUntil(world.time.now + 4000);
  world.workers.get(on[0] as never)?.die();
  // Its mates exit with `peers`, the first attempt is over, the second not yet placed.
  while (placedOn(world, spec.id).length > 0) await world.runUntil(world.time.now + 100);
  world.store.clear();
  world.crash(leaderIndex(world));
  await world.runUntil(200_000);
  assert.ok((world.gangAttempts.get(spec.id) ?? 0) > 1);
  assert.equal(world.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(world.checker.violations, []);
});

test('a draining spot machine and a rental answered just before the loss are not forgotten', async () => {
  const world = watchedWorld(7);
  const spec = jobSpec({ id: jobId(1), tasks: 12, estimateS: 25, checkpointS: 5, saveS: 2 });
  world.startUser(spec, null);
  await world.runUntil(30_000);
  const taken = [...world.workers.values()].find(
    (worker) => worker.alive && worker.spot && placedOn(world, spec.id).includes(worker.id),
  );
  assert.ok(taken !== undefined);
  taken.preemptionAtMs = world.time.now + 10_000;
  world.time.after(10_000, () => {
    world.reclaimMachine(taken.id);
  });
  // More work than room: machines are rented in the same second in which the store is emptied.
  world.startUser(jobSpec({ id: jobId(2), tasks: 14, team: 'blue', estimateS: 20, spot: false }), null);
  await world.runUntil(33_000);
  world.store.clear();
  world.crash(leaderIndex(world));
  await world.runUntil(200_000);
  assert.deepEqual([world.recordedPhaseOf(spec.id), world.recordedPhaseOf(jobId(2))], ['done', 'done']);
  assert.deepEqual(world.reusedRentalNames, []);
  assert.deepEqual(world.checker.violations, []);
});

test('the initial fleet is kept although its record is lost', async () => {
  const world = watchedWorld(8);
  world.startUser(service(1), null);
  await world.runUntil(30_000);
  const standing = world.store.peek('fleet');
  assert.ok(standing !== undefined);
  world.store.dropKeys((k) => k === 'fleet');
  await world.runUntil(110_000);
  assert.deepEqual(world.store.peek('fleet'), standing);
});

test('nothing runs twice when a zone is reached only by its own node during a loss', async () => {
  const world = watchedWorld(9);
  for (const n of [1, 2, 3]) world.startUser(service(n, { spread: true }), null);
  await world.runUntil(35_000);
  const inside = machinesInZone(world, 'b');
  assert.ok(inside.length > 0);
  const node = world.nodes.find((node) => node.zone === 'b');
  for (const other of world.nodes)
    if (other !== node) for (const machine of inside) world.network.partition(other.name, machine, 'hold');
  await world.runUntil(36_000);
  world.store.clear();
  await world.runUntil(95_000);
  for (const other of world.nodes)
    if (other !== node) for (const machine of inside) world.network.heal(other.name, machine);
  await world.runUntil(180_000);
  assert.deepEqual(world.checker.violations, []);
});

test('orphan tasks count against every team until they are gone', async () => {
  const world = watchedWorld(17, { leaseS: 30, cancelS: 50 });
  // One team at its limit of 40 CPUs, on machines with room to spare; its jobs are forgotten with everything else.
  const all = [1, 2, 3, 4, 5];
  for (const n of all) world.startUser(service(n, { cpus: 8, tasks: 1, types: ['m16'], zone: 'a' }), null);
  await world.runUntil(45_000);
  assert.ok(all.every((n) => placedOn(world, jobId(n)).length > 0));
  world.store.clear();
  for (let i = 0; i < 3; i += 1) world.crash(i);
  for (const n of [11, 12, 13])
    world.startUser(service(n, { cpus: 1, tasks: 4, types: ['m16'], zone: 'a' }), null);
  await world.runUntil(110_000);
  assert.ok([11, 12, 13].every((n) => placedOn(world, jobId(n)).length > 0));
  assert.deepEqual(
    world.checker.violations.filter((violation) => violation.rule !== 'forgotten'),
    [],
  );
});
