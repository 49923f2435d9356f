import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import {
  SnapshotToolError,
  decodeSnapshot,
  previewRestore,
  encodeSnapshot,
  restoreSnapshot,
  snapshotName,
  takeSnapshot,
} from '@spurbridge/snapshot';
import type { SnapshotToolOptions } from '@spurbridge/snapshot';
import type { JobId, JobSpec, Revision, Version } from '@spurbridge/wire';
import type { StoreCheckpoint, World } from '../src/index.js';
import {
  InMemorySnapshotDirectory,
  ProcessClock,
  STORE_HOST,
  SimStoreClient,
  partitionZone,
  forkStore,
  jobSpec,
  leaderIndex,
  machinesInZone,
  smallWorld,
  watchForTwoLeaders,
} from '../src/index.js';

const id = (n: number): JobId => `wk-${String(n).padStart(6, '0')}` as JobId;
const service = (n: number, over: Partial<JobSpec> = {}): JobSpec =>
  jobSpec({ id: id(n), kind: 'service', estimateS: 0, tasks: 4, cpus: 2, spot: false, ...over });

function watched(seed: number, over: Parameters<typeof smallWorld>[1] = {}): World {
  const w = smallWorld(seed, over);
  watchForTwoLeaders(w, (at) => {
    assert.fail(`two leaders at ${at}`);
  });
  return w;
}

function allTrusted(w: World): boolean {
  return w.nodes.every((n) => n.recoverableStore.isTrusted);
}

function placedOn(w: World, job: JobId): string[] {
  return [...w.workers.values()]
    .filter(
      (x) =>
        x.alive &&
        [0, 1, 2, 3].some((t) => ['running', 'fetching'].includes(x.attemptOf(job, t)?.phase ?? '')),
    )
    .map((x) => x.id);
}

test('replicas run on through a loss: none is stopped, started again or killed by its lease', async () => {
  const w = watched(1);
  let ended = 0;
  w.checker.onRunEnded = () => {
    ended += 1;
  };
  for (const n of [1, 2, 3]) w.startUser(service(n), null);
  await w.runUntil(40_000);
  const before = w.checker.starts;
  w.store.clear();
  await w.runUntil(42_500);
  assert.ok(allTrusted(w), 'sound again within 2.5 s where all nodes take part');
  await w.runUntil(100_000);
  assert.deepEqual([w.checker.starts - before, ended, w.checker.violations], [0, 0, []]);
});

test('two leaders, one on either side of a restored store: one side works, the other refuses', async () => {
  const w = watched(2);
  let point: StoreCheckpoint | null = null;
  w.time.after(20_000, () => {
    point = w.store.checkpoint();
  });
  for (const n of [1, 2, 3, 4, 5, 6])
    w.time.after(n * 6000, () => {
      w.startUser(jobSpec({ id: id(n), tasks: 6, estimateS: 12 }), null);
    });
  await w.runUntil(45_000);
  assert.ok(point !== null);
  const leader = leaderIndex(w);
  forkStore(w, (leader + 1) % 3, point);
  await w.runUntil(75_000);
  assert.ok(w.nodes.some((n) => n.recoverableStore.isTrusted) && !allTrusted(w), 'not both sides may work');
  // The operators put all nodes in front of one store again: the one that was written to last.
  const working = w.nodes.find((n) => n.recoverableStore.isTrusted);
  assert.ok(working !== undefined);
  for (const n of w.nodes) n.store.backend = working.store.backend;
  await w.runUntil(180_000);
  assert.ok(allTrusted(w));
  assert.deepEqual(w.checker.violations, []);
});

test('a commit from before the loss, delivered a minute after it, changes nothing', async () => {
  const w = watched(3);
  w.startUser(service(1), null);
  for (const n of [2, 3, 4])
    w.time.after(n * 9000, () => {
      w.startUser(jobSpec({ id: id(n), tasks: 8, estimateS: 10 }), n === 3 ? 60_000 : null);
    });
  await w.runUntil(29_000);
  const node = w.nodes[leaderIndex(w)];
  assert.ok(node !== undefined);
  w.network.partition(node.name, STORE_HOST, 'hold');
  // What the leader and its users' calls send now stays on the way.
  w.time.after(2500, () => {
    w.store.clear();
  });
  await w.runUntil(91_500);
  const keys = w.store.keys().filter((k) => k.startsWith('t/'));
  const before = JSON.stringify(keys.map((k) => w.store.peek(k)));
  w.network.heal(node.name, STORE_HOST);
  await w.runUntil(91_520);
  const after = JSON.stringify(keys.map((k) => w.store.peek(k)));
  assert.equal(after, before);
  await w.runUntil(200_000);
  assert.deepEqual(w.checker.violations, []);
});

test('a cancellation whose record is lost, its tasks in a zone that is cut off, holds all the same', async () => {
  const w = watched(4);
  const spec = service(1, { zone: 'b', tasks: 2 });
  w.startUser(spec, 30_000);
  w.startUser(service(2), null);
  let point: StoreCheckpoint | null = null;
  w.time.after(28_000, () => {
    point = w.store.checkpoint();
  });
  await w.runUntil(20_000);
  assert.ok(machinesInZone(w, 'b').length > 0 && placedOn(w, spec.id).length > 0);
  partitionZone(w, 'b', 26_000, 110_000);
  await w.runUntil(36_000);
  assert.equal(w.recordedPhaseOf(spec.id), 'cancelled');
  assert.ok(point !== null);
  w.store.restore(point);
  assert.notEqual(w.recordedPhaseOf(spec.id), 'cancelled');
  await w.runUntil(200_000);
  assert.equal(w.recordedPhaseOf(spec.id), 'cancelled');
  assert.deepEqual(w.checker.violations, []);
});

for (const [what, harm] of [
  ['gone', (w: World, key: string) => w.store.dropKeys((k) => k === key)],
  ['unreadable', (w: World, key: string) => w.store.corruptValues((k) => k === key)],
] as const)
  test(`a job told done whose record is ${what} is still done, and its record is put back`, async () => {
    const w = watched(5);
    const spec = jobSpec({ id: id(1), tasks: 3, estimateS: 4 });
    w.startUser(spec, null);
    w.startUser(service(2), null);
    await w.runUntil(45_000);
    assert.equal(w.recordedPhaseOf(spec.id), 'done');
    assert.equal(harm(w, `j/${spec.id}`), 1);
    // Whoever asks first, of whichever node, gets no older answer; then the record is back.
    for (let t = 45_100; t < 60_000; t += 700) {
      for (const n of w.nodes) {
        const answer = await answered(w, n.controller.jobs.status(spec.id));
        w.checker.responseReceived(
          spec.id,
          'poll',
          jobStatusCode(answer),
          'status' in answer ? answer.status.phase : null,
        );
      }
      await w.runUntil(t);
    }
    assert.equal(w.recordedPhaseOf(spec.id), 'done');
    assert.deepEqual(w.checker.violations, []);
  });

async function answered<T>(w: World, call: Promise<T>): Promise<T> {
  let found: T | null = null;
  void call.then((a) => {
    found = a;
  });
  for (let n = 0; n < 400 && found === null; n += 1) await w.runUntil(w.time.now + 10);
  assert.ok(found !== null, 'no answer');
  return found;
}

test('a gang between two attempts goes on as a whole after the loss', async () => {
  const w = watched(6);
  const spec = jobSpec({
    id: id(1),
    kind: 'gang',
    tasks: 3,
    cpus: 4,
    estimateS: 14,
    spot: false,
    checkpointS: 4,
  });
  w.startUser(spec, null);
  while (placedOn(w, spec.id).length < 3 && w.time.now < 60_000) await w.runUntil(w.time.now + 200);
  const on = placedOn(w, spec.id);
  assert.equal(on.length, 3);
  await w.runUntil(w.time.now + 4000);
  w.workers.get(on[0] as never)?.die();
  // Its mates exit with `peers`, the first attempt is over, the second not yet placed.
  while (placedOn(w, spec.id).length > 0) await w.runUntil(w.time.now + 100);
  w.store.clear();
  w.crash(leaderIndex(w));
  await w.runUntil(200_000);
  assert.ok((w.gangAttempts.get(spec.id) ?? 0) > 1);
  assert.equal(w.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(w.checker.violations, []);
});

test('a spot machine half drained, and a rental answered just before: neither is forgotten', async () => {
  const w = watched(7);
  const spec = jobSpec({ id: id(1), tasks: 12, estimateS: 25, checkpointS: 5, saveS: 2 });
  w.startUser(spec, null);
  await w.runUntil(30_000);
  const taken = [...w.workers.values()].find((x) => x.alive && x.spot && placedOn(w, spec.id).includes(x.id));
  assert.ok(taken !== undefined);
  taken.preemptionAtMs = w.time.now + 10_000;
  w.time.after(10_000, () => {
    w.reclaimMachine(taken.id);
  });
  // More work than room: machines are rented in the same second in which the store is emptied.
  w.startUser(jobSpec({ id: id(2), tasks: 14, team: 'blue', estimateS: 20, spot: false }), null);
  await w.runUntil(33_000);
  w.store.clear();
  w.crash(leaderIndex(w));
  await w.runUntil(200_000);
  assert.deepEqual([w.recordedPhaseOf(spec.id), w.recordedPhaseOf(id(2))], ['done', 'done']);
  assert.deepEqual(w.reusedRentalNames, []);
  assert.deepEqual(w.checker.violations, []);
});

test('the owners’ machines are kept although the record of which they are is lost', async () => {
  const w = watched(8);
  w.startUser(service(1), null);
  await w.runUntil(30_000);
  const standing = w.store.peek('fleet');
  assert.ok(standing !== undefined);
  w.store.dropKeys((k) => k === 'fleet');
  await w.runUntil(110_000);
  assert.deepEqual(w.store.peek('fleet'), standing);
});

test('a zone whose workers only its own node reaches, during a loss: nothing runs twice', async () => {
  const w = watched(9);
  for (const n of [1, 2, 3]) w.startUser(service(n, { spread: true }), null);
  await w.runUntil(35_000);
  const inside = machinesInZone(w, 'b');
  assert.ok(inside.length > 0);
  const node = w.nodes.find((n) => n.zone === 'b');
  for (const other of w.nodes)
    if (other !== node) for (const m of inside) w.network.partition(other.name, m, 'hold');
  await w.runUntil(36_000);
  w.store.clear();
  await w.runUntil(95_000);
  for (const other of w.nodes) if (other !== node) for (const m of inside) w.network.heal(other.name, m);
  await w.runUntil(180_000);
  assert.deepEqual(w.checker.violations, []);
});

test('another deployment’s snapshot and a damaged one are refused, an older good one is taken', async () => {
  const folder = new InMemorySnapshotDirectory();
  const refused: unknown[] = [];
  const log = {
    debug: () => undefined,
    info: (fields: object, message: string) => {
      if (message === 'snapshot refused') refused.push(fields);
    },
    error: () => undefined,
  };
  const w = watched(10, { snapshots: { folder, everyMs: 10_000 }, log });
  const spec = service(1);
  w.startUser(spec, null);
  await w.runUntil(45_000);
  const theirs = { deployment: 'theirs', epoch: 9, revision: 9000 as Revision, takenAt: 1 };
  const foreign = [[`j/${id(9)}`, { version: 3 as Version, text: '{"phase":"active"}' }]] as const;
  await folder.write(snapshotName(theirs, 'x'), encodeSnapshot(theirs, foreign));
  await folder.write(snapshotName({ epoch: 1, revision: 99_999 as Revision }, 'y'), Buffer.from('{"cut'));
  // The epoch's record stays, so that whose store it is is known; everything else is lost, and every node.
  w.store.dropKeys((k) => k.startsWith('j/') || k.startsWith('t/'));
  w.store.rollBackRevision(2);
  for (let i = 0; i < 3; i += 1) w.crash(i);
  await w.runUntil(150_000);
  assert.equal((await folder.listNames()).length > 2, true);
  assert.match(JSON.stringify(refused), /theirs/);
  assert.match(JSON.stringify(refused), /no header/);
  assert.equal(w.recordedPhaseOf(spec.id), 'active');
  assert.equal(w.store.peek(`j/${id(9)}`), undefined);
  assert.deepEqual(w.checker.violations, []);
});

test('emptied, all nodes dead, nothing but workers left: unknown tasks are stopped, ids can come again', async () => {
  const w = watched(11);
  for (const n of [1, 2, 3]) w.startUser(service(n), null);
  await w.runUntil(40_000);
  w.store.clear();
  for (let i = 0; i < 3; i += 1) w.crash(i);
  await w.runUntil(130_000);
  // No copy is left anywhere: the jobs are lost. What must still hold does.
  assert.equal([1, 2, 3].flatMap((n) => placedOn(w, id(n))).length, 0);
  assert.deepEqual(new Set(w.checker.violations.map((b) => b.rule)), new Set(['forgotten']));
  assert.deepEqual(w.reusedRentalNames, []);
  w.startUser(service(4), null);
  await w.runUntil(170_000);
  assert.ok(placedOn(w, id(4)).length > 0);
});

test('a first start waits for nobody longer than it must, and a node alone begins after two seconds', async () => {
  const w = watched(12);
  await w.runUntil(1100);
  assert.ok(allTrusted(w));
  const lonely = watched(13);
  for (const a of [0, 1, 2])
    for (const b of [0, 1, 2]) if (a < b) lonely.network.partition(`spur-${a}`, `spur-${b}`, 'drop');
  await lonely.runUntil(1500);
  assert.ok(!lonely.nodes.some((n) => n.recoverableStore.isTrusted));
  await lonely.runUntil(2600);
  assert.ok(allTrusted(lonely));
});

test('an id that nobody submitted is never answered for, before, during and after a loss', async () => {
  const w = watched(14);
  w.startUser(service(1), null);
  const ask = (): void => {
    for (const n of w.nodes)
      void n.controller.jobs.status(id(77)).then((a) => {
        const code = jobStatusCode(a);
        w.checker.responseReceived(id(77), 'poll', code, null);
        assert.ok(code === 404 || code === 503, String(code));
      });
    w.time.after(300, ask);
  };
  ask();
  await w.runUntil(30_000);
  w.store.clear();
  await w.runUntil(60_000);
  assert.deepEqual(w.checker.violations, []);
});

/** An operator's command, run beside the controllers. */
function operator(w: World): SnapshotToolOptions {
  const clock = new ProcessClock(w.time, 1, 0);
  return {
    raw: new SimStoreClient(w.store, w.network, 'operator', clock),
    clock,
    wallNow: () => w.wallClockStartMs as never,
    valueKb: 16,
    controllerCount: 3,
    log: { info: () => undefined },
  };
}

test('an operator’s snapshot brings back what nobody remembers, beside controllers that run on', async () => {
  const w = watched(15);
  for (const n of [1, 2]) w.startUser(service(n), null);
  await w.runUntil(30_000);
  const taken = await answered(w, takeSnapshot(operator(w)));
  const snapshot = decodeSnapshot(taken.bytes);
  w.store.clear();
  for (let i = 0; i < 3; i += 1) w.crash(i);
  await w.runUntil(70_000);
  w.startUser(service(3), null);
  await w.runUntil(90_000);
  assert.equal(placedOn(w, id(1)).length + placedOn(w, id(2)).length, 0);
  // Another life of the state service is another deployment: only its own records may be mixed with it.
  const foreign = await answered(
    w,
    previewRestore(operator(w), snapshot).catch((e: unknown) => e),
  );
  assert.ok(foreign instanceof SnapshotToolError && foreign.message.includes('deployment'));
  const ours = snapshot.deployment;
  const before = await answered(w, previewRestore(operator(w), snapshot, ours));
  assert.ok(before.addedKeys.includes(`j/${id(1)}`) && !before.addedKeys.includes(`j/${id(3)}`));
  assert.equal(w.store.peek(`j/${id(1)}`), undefined, 'a dry run writes nothing');
  const broken = w.checker.violations.length;
  const done = await answered(w, restoreSnapshot(operator(w), snapshot, 30_000, ours));
  assert.deepEqual(done.addedKeys, before.addedKeys);
  await w.runUntil(w.time.now + 60_000);
  assert.deepEqual([w.recordedPhaseOf(id(1)), w.recordedPhaseOf(id(3))], ['active', 'active']);
  for (const n of [1, 2, 3]) assert.ok(placedOn(w, id(n)).length > 0, `service ${n} runs`);
  assert.deepEqual(w.checker.violations.slice(broken), []);
});

test('a controller left behind by more changes than the store keeps reads anew and doubts nothing', async () => {
  const w = watched(16);
  w.startUser(service(1), null);
  await w.runUntil(20_000);
  const node = w.nodes[(leaderIndex(w) + 1) % 3];
  assert.ok(node !== undefined);
  const watch = node.store.watch.bind(node.store);
  let left = 3;
  node.store.watch = (...args) => {
    left -= 1;
    return left < 0 ? watch(...args) : Promise.resolve({ outcome: 'compacted' });
  };
  w.startUser(jobSpec({ id: id(2), tasks: 4, estimateS: 5 }), null);
  await w.runUntil(60_000);
  assert.ok(allTrusted(w));
  assert.equal((w.store.peek('epoch') as { number: number }).number, 1);
  assert.equal(node.recoverableStore.phaseOf(id(2)), 'done');
});

test('tasks that nobody knows any more count against every team until they are gone', async () => {
  const w = watched(17, { leaseS: 30, cancelS: 50 });
  // One team at its limit of 40 CPUs, on machines with room to spare; its jobs are forgotten with everything else.
  const all = [1, 2, 3, 4, 5];
  for (const n of all) w.startUser(service(n, { cpus: 8, tasks: 1, types: ['m16'], zone: 'a' }), null);
  await w.runUntil(45_000);
  assert.ok(all.every((n) => placedOn(w, id(n)).length > 0));
  w.store.clear();
  for (let i = 0; i < 3; i += 1) w.crash(i);
  for (const n of [11, 12, 13])
    w.startUser(service(n, { cpus: 1, tasks: 4, types: ['m16'], zone: 'a' }), null);
  await w.runUntil(110_000);
  assert.ok([11, 12, 13].every((n) => placedOn(w, id(n)).length > 0));
  assert.deepEqual(
    w.checker.violations.filter((b) => b.rule !== 'forgotten'),
    [],
  );
});

for (const step of ['fence moved', 'pages written', 'epoch opened'] as const)
  test(`the node that gathers is killed right after: ${step}; it begins again and ends the same`, async () => {
    const w = watched(18);
    for (const n of [1, 2, 3]) w.startUser(service(n), null);
    w.startUser(jobSpec({ id: id(4), tasks: 6, estimateS: 9 }), null);
    await w.runUntil(40_000);
    const before = w.checker.starts;
    w.store.clear();
    let killed = '';
    for (let n = 0; n < 400 && killed === ''; n += 1) {
      await w.runUntil(w.time.now + 5);
      const epoch = w.store.peek('epoch') as { by: string; phase: string; number: number } | undefined;
      if (epoch === undefined || epoch.number < 2) continue;
      const isThere =
        step === 'fence moved'
          ? epoch.phase === 'gathering'
          : step === 'pages written'
            ? w.store.keys().some((k) => k.startsWith('m/') && k.endsWith(`${epoch.by}/done`))
            : epoch.phase === 'open';
      if (!isThere) continue;
      killed = epoch.by;
      w.crash(w.nodes.findIndex((x) => x.name === killed));
    }
    assert.notEqual(killed, '');
    await w.runUntil(55_000);
    assert.ok(w.nodes.some((n) => n.clock.alive && n.controller.leadership.holdsValidLease()));
    await w.runUntil(150_000);
    assert.ok(allTrusted(w));
    assert.equal(w.recordedPhaseOf(id(4)), 'done');
    assert.ok(w.checker.starts - before <= 6, `${w.checker.starts - before} starts`);
    assert.deepEqual(w.checker.violations, []);
    // Pages and markers of every try are gone in the end.
    assert.deepEqual(
      w.store.keys().filter((k) => k.startsWith('m/')),
      [],
    );
    assert.equal(w.store.keys().filter((k) => k.startsWith('e/')).length, 1);
  });
