/**
 * How controllers recover the store's records: first start, snapshots, and restarts of an interrupted recovery.
 *
 * @module
 */
import type { SnapshotToolOptions } from '@spurbridge/snapshot';
import {
  SnapshotToolError,
  decodeSnapshot,
  encodeSnapshot,
  previewRestore,
  restoreSnapshot,
  snapshotName,
  takeSnapshot,
} from '@spurbridge/snapshot';
import type { Revision, Version } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import {
  InMemorySnapshotDirectory,
  ProcessClock,
  SimStoreClient,
  jobId,
  jobSpec,
  leaderIndex,
} from '../src/index.js';

import { allNodesTrustStore, machinesOfJob, responseOf, service, watchedWorld } from './support/data-loss.js';

/** When the recovery of a data loss after 30 s is over at the latest. */
const RECOVERED_BY_MS = 60_000;

test('snapshots of another deployment and corrupted ones are rejected, and an older valid one is used', async () => {
  const folder = new InMemorySnapshotDirectory();
  const refused: unknown[] = [];
  const log = {
    debug: () => undefined,
    info: (fields: object, message: string) => {
      if (message === 'snapshot refused') refused.push(fields);
    },
    error: () => undefined,
  };
  const world = watchedWorld(10, { snapshots: { directory: folder, intervalMs: 10_000 }, log });
  const spec = service(1);
  world.startUser(spec, null);
  await world.runUntil(45_000);
  const foreignHeader = { deployment: 'theirs', epoch: 9, revision: 9000 as Revision, takenAt: 1 };
  const foreignRecords = [[`j/${jobId(9)}`, { version: 3 as Version, text: '{"phase":"active"}' }]] as const;
  await folder.write(snapshotName(foreignHeader, 'x'), encodeSnapshot(foreignHeader, foreignRecords));
  await folder.write(snapshotName({ epoch: 1, revision: 99_999 as Revision }, 'y'), Buffer.from('{"cut'));
  // The epoch's record remains, so the deployment of the store is known. All records of jobs and tasks are lost, and no
  // node has a replica of them, because all nodes restart.
  world.store.dropKeys((k) => k.startsWith('j/') || k.startsWith('t/'));
  world.store.rollBackRevision(2);
  for (let i = 0; i < 3; i += 1) world.crash(i);
  await world.runUntil(150_000);
  assert.equal((await folder.listNames()).length > 2, true);
  assert.match(JSON.stringify(refused), /theirs/);
  assert.match(JSON.stringify(refused), /no header/);
  assert.equal(world.recordedPhaseOf(spec.id), 'active');
  assert.equal(world.store.peek(`j/${jobId(9)}`), undefined);
  assert.deepEqual(world.checker.violations, []);
});

test('after the store is emptied and all nodes restart, unknown tasks are stopped and a new job is placed', async () => {
  const world = watchedWorld(11);
  for (const n of [1, 2, 3]) world.startUser(service(n), null);
  await world.runUntil(40_000);
  world.store.clear();
  for (let i = 0; i < 3; i += 1) world.crash(i);
  await world.runUntil(130_000);
  // No copy of the records is left, so the jobs are lost. No other rule may be broken.
  assert.equal([1, 2, 3].flatMap((n) => machinesOfJob(world, jobId(n))).length, 0);
  assert.deepEqual(
    new Set(world.checker.violations.map((violation) => violation.rule)),
    new Set(['forgotten']),
  );
  assert.deepEqual(world.reusedRentalNames, []);
  world.startUser(service(4), null);
  await world.runUntil(170_000);
  assert.ok(machinesOfJob(world, jobId(4)).length > 0);
});

test('on a first start connected nodes trust the store after 1.1 s, and nodes without peers after two seconds', async () => {
  const world = watchedWorld(12);
  await world.runUntil(1100);
  assert.ok(allNodesTrustStore(world));
  const isolated = watchedWorld(13);
  for (const a of [0, 1, 2])
    for (const b of [0, 1, 2]) if (a < b) isolated.network.partition(`spur-${a}`, `spur-${b}`, 'drop');
  await isolated.runUntil(1500);
  assert.ok(!isolated.nodes.some((node) => node.recoverableStore.isTrusted));
  await isolated.runUntil(2600);
  assert.ok(allNodesTrustStore(isolated));
});

test('a job id that nobody submitted is unknown before, during and after a data loss', async () => {
  const world = watchedWorld(14);
  world.startUser(service(1), null);
  const ask = (): void => {
    for (const node of world.nodes)
      void node.controller.jobs.status(jobId(77)).then((response) => {
        world.checker.responseReceived(jobId(77), 'poll', jobStatusCode(response), null);
        assert.ok(
          jobStatusCode(response) === 404 || jobStatusCode(response) === 503,
          String(jobStatusCode(response)),
        );
      });
    world.time.after(300, ask);
  };
  ask();
  await world.runUntil(30_000);
  world.store.clear();
  await world.runUntil(60_000);
  assert.deepEqual(world.checker.violations, []);
});

/** Options of the snapshot tool, which an operator runs beside the controllers. */
function toolOptions(world: World): SnapshotToolOptions {
  const clock = new ProcessClock(world.time, 1, 0);
  return {
    underlyingStore: new SimStoreClient(world.store, world.network, 'operator', clock),
    clock,
    wallNow: () => world.wallClockStartMs as never,
    valueKb: 16,
    controllerCount: 3,
    log: { info: () => undefined },
  };
}

test('an operator can restore lost records from a snapshot while the controllers run', async () => {
  const world = watchedWorld(15);
  for (const n of [1, 2]) world.startUser(service(n), null);
  await world.runUntil(30_000);
  const taken = await responseOf(world, takeSnapshot(toolOptions(world)));
  const snapshot = decodeSnapshot(taken.bytes);
  world.store.clear();
  for (let i = 0; i < 3; i += 1) world.crash(i);
  await world.runUntil(70_000);
  world.startUser(service(3), null);
  await world.runUntil(90_000);
  assert.equal(machinesOfJob(world, jobId(1)).length + machinesOfJob(world, jobId(2)).length, 0);
  // The emptied store was started as a new deployment. Records of another deployment are only added with consent.
  const refusal = await responseOf(
    world,
    previewRestore(toolOptions(world), snapshot).catch((e: unknown) => e),
  );
  assert.ok(refusal instanceof SnapshotToolError && refusal.message.includes('deployment'));
  const acceptedDeployment = snapshot.deployment;
  const before = await responseOf(world, previewRestore(toolOptions(world), snapshot, acceptedDeployment));
  assert.ok(before.addedKeys.includes(`j/${jobId(1)}`) && !before.addedKeys.includes(`j/${jobId(3)}`));
  assert.equal(world.store.peek(`j/${jobId(1)}`), undefined, 'the dry run wrote a record');
  const violationsBefore = world.checker.violations.length;
  const done = await responseOf(
    world,
    restoreSnapshot(toolOptions(world), snapshot, 30_000, acceptedDeployment),
  );
  assert.deepEqual(done.addedKeys, before.addedKeys);
  await world.runUntil(world.time.now + 60_000);
  assert.deepEqual([world.recordedPhaseOf(jobId(1)), world.recordedPhaseOf(jobId(3))], ['active', 'active']);
  for (const n of [1, 2, 3])
    assert.ok(machinesOfJob(world, jobId(n)).length > 0, `service ${n} does not run`);
  assert.deepEqual(world.checker.violations.slice(violationsBefore), []);
});

test('a controller that missed more changes than the store retains reads all records again and detects no data loss', async () => {
  const world = watchedWorld(16);
  world.startUser(service(1), null);
  await world.runUntil(20_000);
  const node = world.nodes[(leaderIndex(world) + 1) % 3];
  assert.ok(node !== undefined);
  const watch = node.store.watch.bind(node.store);
  let compactedResponsesLeft = 3;
  node.store.watch = (...args) => {
    compactedResponsesLeft -= 1;
    return compactedResponsesLeft < 0 ? watch(...args) : Promise.resolve({ outcome: 'compacted' });
  };
  world.startUser(jobSpec({ id: jobId(2), tasks: 4, estimateS: 5 }), null);
  await world.runUntil(60_000);
  assert.ok(allNodesTrustStore(world));
  assert.equal((world.store.peek('epoch') as { number: number }).number, 1);
  assert.equal(node.recoverableStore.jobPhaseOf(jobId(2)), 'done');
});

for (const step of ['fence moved', 'pages written', 'epoch opened'] as const)
  test(`a recovery is restarted and completes when the recovering node crashes right after this step: ${step}`, async () => {
    const world = watchedWorld(18);
    for (const n of [1, 2, 3]) world.startUser(service(n), null);
    world.startUser(jobSpec({ id: jobId(4), tasks: 6, estimateS: 9 }), null);
    await world.runUntil(40_000);
    const before = world.checker.starts;
    world.store.clear();
    let crashed = '';
    for (let n = 0; n < 400 && crashed === ''; n += 1) {
      await world.runUntil(world.time.now + 5);
      const epoch = world.store.peek('epoch') as { by: string; phase: string; number: number } | undefined;
      if (epoch === undefined || epoch.number < 2) continue;
      const isStepDone =
        step === 'fence moved'
          ? epoch.phase === 'gathering'
          : step === 'pages written'
            ? world.store.keys().some((k) => k.startsWith('m/') && k.endsWith(`${epoch.by}/done`))
            : epoch.phase === 'open';
      if (!isStepDone) continue;
      crashed = epoch.by;
      world.crash(world.nodes.findIndex((node) => node.name === crashed));
    }
    assert.notEqual(crashed, '');
    await world.runUntil(55_000);
    assert.ok(world.nodes.some((node) => node.clock.alive && node.controller.leadership.holdsValidLease()));
    await world.runUntil(150_000);
    assert.ok(allNodesTrustStore(world));
    assert.equal(world.recordedPhaseOf(jobId(4)), 'done');
    assert.ok(world.checker.starts - before <= 6, `${world.checker.starts - before} starts`);
    assert.deepEqual(world.checker.violations, []);
    // The pages and markers of all attempts are deleted in the end.
    assert.deepEqual(
      world.store.keys().filter((k) => k.startsWith('m/')),
      [],
    );
    assert.equal(world.store.keys().filter((k) => k.startsWith('e/')).length, 1);
  });

// The last leader is recognised by the highest token that any worker has shown, which is a later one than that of its
// election. Otherwise the records would count as incomplete, and every machine would have to confirm its tasks first.
test('after a data loss the records are complete, if the leader that has raised the tokens of machines lives', async () => {
  const world = watchedWorld(12);
  for (let n = 0; n < 12; n += 1)
    world.startUser(jobSpec({ id: jobId(n), tasks: 8, cpus: 1, estimateS: 2 }), null);
  await world.runUntil(30_000);
  const election = world.nodes[leaderIndex(world)]?.controller.leadership.fencingToken ?? Infinity;
  assert.ok([...world.workers.values()].some((worker) => worker.highestFencingToken > election));
  world.store.clear();
  for (const isTrusted of [false, true])
    while (allNodesTrustStore(world) !== isTrusted && world.time.now < RECOVERED_BY_MS)
      await world.runUntil(world.time.now + 20);
  assert.ok(world.time.now < RECOVERED_BY_MS);
  assert.deepEqual(
    world.nodes.map((node) => node.recoverableStore.continuous),
    [true, true, true],
  );
  assert.deepEqual(world.checker.violations, []);
});
