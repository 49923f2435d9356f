/**
 * Effects of data losses of the store on jobs, tasks and machines.
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

import { allNodesTrustStore, machinesOfJob, responseOf, service, watchedWorld } from './support/data-loss.js';

test('replicas continue through a data loss without being stopped, restarted or killed by an expired lease', async () => {
  const world = watchedWorld(1);
  let endedRuns = 0;
  world.checker.onRunEnded = () => {
    endedRuns += 1;
  };
  for (const n of [1, 2, 3]) world.startUser(service(n), null);
  await world.runUntil(40_000);
  const startsBefore = world.checker.starts;
  world.store.clear();
  await world.runUntil(42_500);
  assert.ok(
    allNodesTrustStore(world),
    'the store is not trusted again within 2.5 s although all nodes take part',
  );
  await world.runUntil(100_000);
  assert.deepEqual([world.checker.starts - startsBefore, endedRuns, world.checker.violations], [0, 0, []]);
});

test('when nodes use two diverged stores, the nodes of one store keep working and the others refuse requests', async () => {
  const world = watchedWorld(2);
  let checkpoint: StoreCheckpoint | null = null;
  world.time.after(20_000, () => {
    checkpoint = world.store.checkpoint();
  });
  for (const n of [1, 2, 3, 4, 5, 6])
    world.time.after(n * 6000, () => {
      world.startUser(jobSpec({ id: jobId(n), tasks: 6, estimateS: 12 }), null);
    });
  await world.runUntil(45_000);
  assert.ok(checkpoint !== null);
  const leader = leaderIndex(world);
  forkStore(world, (leader + 1) % 3, checkpoint);
  await world.runUntil(75_000);
  assert.ok(
    world.nodes.some((node) => node.recoverableStore.isTrusted) && !allNodesTrustStore(world),
    'either all nodes or none trust their store',
  );
  // The operators connect all nodes to one store again: the one that was written to last.
  const working = world.nodes.find((node) => node.recoverableStore.isTrusted);
  assert.ok(working !== undefined);
  for (const node of world.nodes) node.store.backend = working.store.backend;
  await world.runUntil(180_000);
  assert.ok(allNodesTrustStore(world));
  assert.deepEqual(world.checker.violations, []);
});

test('a commit that is sent before a data loss and delivered a minute after it changes no task record', async () => {
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
  // Store requests of the leader, including those for its users, are held back from now on.
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

test('a cancellation remains final although its record is lost and its tasks are in a partitioned zone', async () => {
  const world = watchedWorld(4);
  const spec = service(1, { zone: 'b', tasks: 2 });
  world.startUser(spec, 30_000);
  world.startUser(service(2), null);
  let checkpoint: StoreCheckpoint | null = null;
  world.time.after(28_000, () => {
    checkpoint = world.store.checkpoint();
  });
  await world.runUntil(20_000);
  assert.ok(machinesInZone(world, 'b').length > 0 && machinesOfJob(world, spec.id).length > 0);
  partitionZone(world, 'b', 26_000, 110_000);
  await world.runUntil(36_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'cancelled');
  assert.ok(checkpoint !== null);
  world.store.restore(checkpoint);
  assert.notEqual(world.recordedPhaseOf(spec.id), 'cancelled');
  await world.runUntil(200_000);
  assert.equal(world.recordedPhaseOf(spec.id), 'cancelled');
  assert.deepEqual(world.checker.violations, []);
});

for (const [damage, damageRecord] of [
  ['lost', (world: World, key: string) => world.store.dropKeys((k) => k === key)],
  ['corrupted', (world: World, key: string) => world.store.corruptValues((k) => k === key)],
] as const)
  test(`a job that was reported as done stays done although its record is ${damage}, and the record is restored`, async () => {
    const world = watchedWorld(5);
    const spec = jobSpec({ id: jobId(1), tasks: 3, estimateS: 4 });
    world.startUser(spec, null);
    world.startUser(service(2), null);
    await world.runUntil(45_000);
    assert.equal(world.recordedPhaseOf(spec.id), 'done');
    assert.equal(damageRecord(world, `j/${spec.id}`), 1);
    // No response of any node may report an earlier phase, including the first response after the damage. The
    // record must have been restored by the end.
    for (let t = 45_100; t < 60_000; t += 700) {
      for (const node of world.nodes) {
        const response = await responseOf(world, node.controller.jobs.status(spec.id));
        world.checker.responseReceived(
          spec.id,
          'poll',
          jobStatusCode(response),
          'status' in response ? response.status.phase : null,
        );
      }
      await world.runUntil(t);
    }
    assert.equal(world.recordedPhaseOf(spec.id), 'done');
    assert.deepEqual(world.checker.violations, []);
  });

test('a gang that is between two attempts during a data loss is restarted as a whole', async () => {
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
  while (machinesOfJob(world, spec.id).length < 3 && world.time.now < 60_000)
    await world.runUntil(world.time.now + 200);
  const machines = machinesOfJob(world, spec.id);
  assert.equal(machines.length, 3);
  await world.runUntil(world.time.now + 4000);
  world.workers.get(machines[0] as never)?.die();
  // The other tasks exit with the cause `peers`, because a task of their gang was lost. Then the first attempt has ended,
  // and the second one is not placed yet.
  while (machinesOfJob(world, spec.id).length > 0) await world.runUntil(world.time.now + 100);
  world.store.clear();
  world.crash(leaderIndex(world));
  await world.runUntil(200_000);
  assert.ok((world.gangAttempts.get(spec.id) ?? 0) > 1);
  assert.equal(world.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(world.checker.violations, []);
});

test('a draining spot machine and a rental confirmed just before a data loss are not forgotten', async () => {
  const world = watchedWorld(7);
  const spec = jobSpec({ id: jobId(1), tasks: 12, estimateS: 25, checkpointS: 5, saveS: 2 });
  world.startUser(spec, null);
  await world.runUntil(30_000);
  const preempted = [...world.workers.values()].find(
    (worker) => worker.alive && worker.spot && machinesOfJob(world, spec.id).includes(worker.id),
  );
  assert.ok(preempted !== undefined);
  preempted.preemptionAtMs = world.time.now + 10_000;
  world.time.after(10_000, () => {
    world.reclaimMachine(preempted.id);
  });
  // The work exceeds the capacity, so machines are rented in the same second in which the store loses its data.
  world.startUser(jobSpec({ id: jobId(2), tasks: 14, team: 'blue', estimateS: 20, spot: false }), null);
  await world.runUntil(33_000);
  world.store.clear();
  world.crash(leaderIndex(world));
  await world.runUntil(200_000);
  assert.deepEqual([world.recordedPhaseOf(spec.id), world.recordedPhaseOf(jobId(2))], ['done', 'done']);
  assert.deepEqual(world.reusedRentalNames, []);
  assert.deepEqual(world.checker.violations, []);
});

test('the record of the initial fleet is restored unchanged after it is lost', async () => {
  const world = watchedWorld(8);
  world.startUser(service(1), null);
  await world.runUntil(30_000);
  const before = world.store.peek('fleet');
  assert.ok(before !== undefined);
  world.store.dropKeys((k) => k === 'fleet');
  await world.runUntil(110_000);
  assert.deepEqual(world.store.peek('fleet'), before);
});

test('no task runs twice when a zone is reachable only from its own node during a data loss', async () => {
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

test('orphaned tasks count towards the limit of every team until they have ended', async () => {
  const world = watchedWorld(17, { leaseS: 30, cancelS: 50 });
  // One team uses its limit of 40 CPUs on machines with free capacity. Its jobs are lost with all other records.
  const lostJobs = [1, 2, 3, 4, 5];
  for (const n of lostJobs)
    world.startUser(service(n, { cpus: 8, tasks: 1, types: ['m16'], zone: 'a' }), null);
  await world.runUntil(45_000);
  assert.ok(lostJobs.every((n) => machinesOfJob(world, jobId(n)).length > 0));
  world.store.clear();
  for (let i = 0; i < 3; i += 1) world.crash(i);
  for (const n of [11, 12, 13])
    world.startUser(service(n, { cpus: 1, tasks: 4, types: ['m16'], zone: 'a' }), null);
  await world.runUntil(110_000);
  assert.ok([11, 12, 13].every((n) => machinesOfJob(world, jobId(n)).length > 0));
  assert.deepEqual(
    world.checker.violations.filter((violation) => violation.rule !== 'forgotten'),
    [],
  );
});
