import type { JobSpec } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import {
  TEAMS,
  configurationVersions,
  isInForceEverywhere,
  jobId,
  jobSpec,
  leaderCheckedWorld,
  leaderIndex,
  nextChangeId,
  proposeChanges,
  runUntilInForce,
} from '../src/index.js';

const CALM_MS = 30_000;
/** In force everywhere within this, by the operators' plan. */
const WITHIN_MS = 5000;

async function settled(seed: number): Promise<World> {
  const world = leaderCheckedWorld(seed);
  await world.runUntil(CALM_MS);
  return world;
}

/** Makes a change at a node that has to be committed; its version. */
async function committed(world: World, node: number, team: string, cpusMax: number): Promise<number> {
  const outcome = await proposeChanges(world, node, [{ team, cpusMax }]);
  assert.equal(outcome.outcome, 'committed');
  return 'version' in outcome ? outcome.version : -1;
}

/** A submission to one node; its status. */
async function submit(world: World, node: number, spec: JobSpec): Promise<number> {
  let code: number | null = null;
  world.checker.jobSubmitted(spec);
  void world.nodes[node]?.controller.jobs.submit(formatSubmission(spec)).then((response) => {
    code = jobStatusCode(response);
  });
  for (let n = 0; n < 200 && code === null; n += 1) await world.runUntil(world.time.now + 10);
  assert.ok(code !== null, 'never answered');
  return code;
}

function usedBy(world: World, team: string): number {
  let cpus = 0;
  for (const worker of world.workers.values())
    if (worker.alive) for (const { job } of worker.occupyingTasks()) if (job.team === team) cpus += job.cpus;
  return cpus;
}

test('a change proposed at any node takes force on all nodes, the leader plans by it, and it is made once', async () => {
  const world = await settled(1);
  for (const node of [0, 1, 2]) {
    const version = await committed(world, node, 'red', 30 + node);
    const tookMs = await runUntilInForce(world, version, WITHIN_MS);
    assert.ok(tookMs !== null && tookMs < 2000, `${tookMs} ms`);
  }
  const changeId = nextChangeId();
  const first = await proposeChanges(world, 0, [{ team: 'red', cpusMax: 39 }], changeId);
  const again = await proposeChanges(world, 1, [{ team: 'red', cpusMax: 39 }], changeId);
  assert.equal(first.outcome, 'committed');
  assert.equal(again.outcome, 'known');
  await runUntilInForce(world, 4, WITHIN_MS);
  assert.deepEqual(configurationVersions(world), [4, 4, 4]);
});

test('of two concurrent changes one is rejected because its base version is not the newest', async () => {
  const world = await settled(2);
  const both = [0, 1].map(async (node) => proposeChanges(world, node, [{ team: 'red', cpusMax: 30 + node }]));
  const outcomes = (await Promise.all(both)).map((o) => o.outcome).sort();
  assert.deepEqual(outcomes, ['committed', 'conflict']);
  assert.equal(
    (await proposeChanges(world, 2, [{ team: 'red', cpus: 1 }], nextChangeId(), 0)).outcome,
    'conflict',
  );
  await runUntilInForce(world, 1, WITHIN_MS);
  assert.deepEqual(configurationVersions(world), [1, 1, 1]);
});

test('a change whose commit is delayed or whose commit response is lost is not made twice', async () => {
  const world = await settled(3);
  for (const fault of ['lostResponses', 'delayedWrites'] as const) {
    const before = configurationVersions(world)[0] ?? 0;
    const changeId = nextChangeId();
    world.faults[fault] = 1;
    const unsure = await proposeChanges(world, 0, [{ team: 'red', cpusMax: 25 + before }], changeId);
    world.faults[fault] = 0;
    assert.equal(unsure.outcome, 'unsure');
    const again = await proposeChanges(world, 1, [{ team: 'red', cpusMax: 25 + before }], changeId, before);
    assert.ok(['committed', 'known'].includes(again.outcome), again.outcome);
    // What is late is conditioned on the version before, and finds another.
    await world.runUntil(world.time.now + 15_000);
    assert.deepEqual(configurationVersions(world), [before + 1, before + 1, before + 1]);
  }
  assert.deepEqual(world.checker.violations, []);
});

for (const backMs of [200, 8000])
  test(`a change during a failover takes force, with the old leader back after ${backMs} ms`, async () => {
    const world = await settled(4);
    const leader = leaderIndex(world);
    const other = (leader + 1) % 3;
    world.crash(leader, backMs);
    const version = await committed(world, other, 'red', 31);
    assert.ok(
      (await runUntilInForce(world, version, backMs + 2 * WITHIN_MS)) !== null,
      String(configurationVersions(world)),
    );
    assert.deepEqual(world.checker.violations, []);
  });

test('a node that the store refuses gives no final rejection, reports since when, and catches up', async () => {
  const world = await settled(5);
  const cut = (leaderIndex(world) + 1) % 3;
  const node = world.nodes[cut];
  assert.ok(node !== undefined);
  node.store.isRefused = true;
  await world.runUntil(world.time.now + 10_000);
  const outcome = await proposeChanges(world, (cut + 1) % 3, [{ team: 'green', cpusMax: 8 }]);
  assert.equal(outcome.outcome, 'committed');
  await world.runUntil(world.time.now + 50_000);
  assert.equal(configurationVersions(world)[cut], 0);
  assert.ok((node.controller.configurationStatus()[0]?.ageMs ?? 0) > 50_000);
  // The other nodes know which one lags, too.
  const heard = world.nodes[(cut + 1) % 3]?.controller
    .configurationStatus()
    .find((n) => n.node === node.name);
  assert.equal(heard?.version, 0);
  const spec = jobSpec({ id: jobId(1), team: 'green' });
  assert.equal(await submit(world, cut, spec), 503);
  node.store.isRefused = false;
  assert.ok((await runUntilInForce(world, 1, WITHIN_MS)) !== null);
  assert.equal(await submit(world, cut, spec), 201);
});

test('every node knows an added team within milliseconds, or rejects its jobs only for the time being', async () => {
  const world = await settled(6);
  const outcome = await proposeChanges(world, 0, [{ team: 'green', cpusMax: 16 }]);
  assert.equal(outcome.outcome, 'committed');
  const codes = [];
  for (const node of [0, 1, 2])
    codes.push(await submit(world, node, jobSpec({ id: jobId(node), team: 'green', tasks: 2, cpus: 1 })));
  assert.ok(!codes.includes(422), String(codes));
  assert.equal(codes[0], 201);
  await runUntilInForce(world, 1, WITHIN_MS);
  for (const node of [0, 1, 2]) {
    const spec = jobSpec({ id: jobId(node), team: 'green', tasks: 2, cpus: 1 });
    assert.ok([200, 201].includes(await submit(world, node, spec)));
  }
  assert.equal(await submit(world, 1, jobSpec({ id: jobId(9), team: 'nobody' })), 422);
});

test('a node that is still reading the previous change does not reject an added team for good', async () => {
  const world = await settled(13);
  for (let n = 0; n < 5; n += 1) {
    // A node looks again a moment after each change: the second one falls into that moment.
    await committed(world, 0, 'red', 30 - n);
    await committed(world, 0, `green-${n}`, 16);
    for (const node of [1, 2]) {
      const code = await submit(
        world,
        node,
        jobSpec({ id: jobId(10 * n + node), team: `green-${n}`, tasks: 1, cpus: 1 }),
      );
      assert.ok(code === 201 || code === 503, `${code} at node ${node}`);
    }
    await world.runUntil(world.time.now + 2000);
  }
});

test('a retired team gets no new job, and its accepted jobs run to their end, waiting gangs included', async () => {
  const world = await settled(7);
  const gang = jobSpec({ id: jobId(1), kind: 'gang', tasks: 3, cpus: 4, estimateS: 5 });
  const array = jobSpec({ id: jobId(2), tasks: 20, cpus: 4, estimateS: 5 });
  assert.equal(await submit(world, 0, array), 201);
  assert.equal(await submit(world, 1, gang), 201);
  const outcome = await proposeChanges(world, 2, [{ team: 'red', isRetired: true }]);
  assert.equal(outcome.outcome, 'committed');
  await runUntilInForce(world, 1, WITHIN_MS);
  for (const node of [0, 1, 2])
    assert.equal(await submit(world, node, jobSpec({ id: jobId(10 + node) })), 422);
  assert.equal(await submit(world, 0, jobSpec({ id: jobId(20), team: 'blue' })), 201);
  // A repeat of what was accepted is answered by its record.
  assert.equal(await submit(world, 2, array), 200);
  await world.runUntil(world.time.now + 150_000);
  for (const spec of [gang, array]) assert.equal(world.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(world.checker.violations, []);
});

test('a limit lowered below current use stops no task and lets none start, across failovers', async () => {
  const world = await settled(8);
  const long = jobSpec({ id: jobId(1), tasks: 30, cpus: 2, estimateS: 300 });
  assert.equal(await submit(world, 0, long), 201);
  await world.runUntil(world.time.now + 60_000);
  const before = usedBy(world, 'red');
  assert.ok(before > 20, `${before} CPUs`);
  for (const worker of [...world.workers.values()].slice(0, 2)) worker.hang();
  const outcome = await proposeChanges(world, 1, [{ team: 'red', cpus: 8, cpusMax: 10 }]);
  assert.equal(outcome.outcome, 'committed');
  assert.ok((await runUntilInForce(world, 1, WITHIN_MS)) !== null);
  const { starts } = world.checker;
  world.crash(leaderIndex(world), 200);
  await world.runUntil(world.time.now + 4000);
  for (const worker of world.workers.values()) worker.resume();
  await world.runUntil(world.time.now + 40_000);
  assert.equal(world.checker.starts, starts, 'something started beyond the limit');
  assert.equal(usedBy(world, 'red'), before, 'something was stopped by the limit alone');
  // Raised again, the rest runs.
  await committed(world, 0, 'red', 40);
  await world.runUntil(world.time.now + 20_000);
  assert.ok(world.checker.starts > starts || before >= 40);
  assert.deepEqual(world.checker.violations, []);
});

test('a task queued on a full machine does not start after the limit is lowered', async () => {
  // Some tasks take far longer than expected, so that what was placed behind them waits.
  const world = leaderCheckedWorld(14, {
    taskRunMs: (job, task) => job.estimateS * ((task * 7919) % 10 === 0 ? 5000 : 500),
  });
  await world.runUntil(CALM_MS);
  assert.equal(await submit(world, 0, jobSpec({ id: jobId(1), tasks: 600, cpus: 1, estimateS: 2 })), 201);
  await world.runUntil(world.time.now + 30_000);
  for (let n = 0; n < 12; n += 1) {
    const outcome = await proposeChanges(world, n % 3, [{ team: 'red', cpus: 0, cpusMax: 3 }]);
    assert.ok('version' in outcome);
    assert.ok((await runUntilInForce(world, outcome.version, WITHIN_MS)) !== null);
    await world.runUntil(world.time.now + 60);
    const { starts } = world.checker;
    for (let look = 0; look < 40 && usedBy(world, 'red') > 3; look += 1) {
      await world.runUntil(world.time.now + 25);
      if (usedBy(world, 'red') > 3)
        assert.equal(world.checker.starts, starts, `a start beyond the limit, round ${n}`);
    }
    await committed(world, n % 3, 'red', 40);
    await world.runUntil(world.time.now + 2130);
  }
  assert.deepEqual(world.checker.violations, []);
});

test('a leader that was frozen starts nothing by an outdated configuration', async () => {
  const world = await settled(9);
  const leader = leaderIndex(world);
  assert.equal(await submit(world, leader, jobSpec({ id: jobId(1), tasks: 40, cpus: 2, estimateS: 8 })), 201);
  await world.runUntil(world.time.now + 6000);
  world.freeze(leader, 9000);
  await world.runUntil(world.time.now + 5000);
  const other = (leader + 1) % 3;
  const outcome = await proposeChanges(world, other, [{ team: 'red', cpus: 0, cpusMax: 4 }]);
  assert.equal(outcome.outcome, 'committed');
  await world.runUntil(world.time.now + 3000);
  const most = Math.max(4, usedBy(world, 'red'));
  for (let n = 0; n < 100; n += 1) {
    await world.runUntil(world.time.now + 250);
    assert.ok(usedBy(world, 'red') <= most, `${usedBy(world, 'red')} of ${most} CPUs at ${world.time.now}`);
  }
  assert.ok(isInForceEverywhere(world, 1), String(configurationVersions(world)));
  assert.deepEqual(world.checker.violations, []);
});

const LOSSES: readonly {
  readonly what: string;
  readonly lose: (world: World) => void;
  readonly backS?: number;
}[] = [
  {
    what: 'emptied',
    lose: (world) => {
      world.store.clear();
    },
  },
  {
    what: 'damaged',
    lose: (world) => void world.store.corruptValues((key) => key.startsWith('configuration/')),
  },
  { what: 'gone in part', lose: (world) => void world.store.dropKeys((key) => key === 'configuration/head') },
];

for (const { what, lose } of LOSSES)
  test(`after the store is ${what} no node goes back a version, and the next change succeeds`, async () => {
    const world = await settled(10);
    const version = await committed(world, 0, 'red', 33);
    await runUntilInForce(world, version, WITHIN_MS);
    lose(world);
    await world.runUntil(world.time.now + 30_000);
    assert.deepEqual(configurationVersions(world), [1, 1, 1]);
    // A value that changed under its version is found when it is read: the author is told to ask again.
    const changeId = nextChangeId();
    let outcome = await proposeChanges(world, 1, [{ team: 'blue', cpusMax: 20 }], changeId);
    for (let n = 0; n < 20 && outcome.outcome === 'unsure'; n += 1) {
      await world.runUntil(world.time.now + 500);
      outcome = await proposeChanges(world, 1, [{ team: 'blue', cpusMax: 20 }], changeId);
    }
    assert.equal(outcome.outcome, 'committed');
    assert.ok((await runUntilInForce(world, 2, WITHIN_MS)) !== null);
    assert.deepEqual(configurationVersions(world), [2, 2, 2]);
  });

test('after the store is rolled back by 20 s the latest version is restored', async () => {
  const world = await settled(11);
  await committed(world, 0, 'red', 33);
  const point = world.store.checkpoint();
  await world.runUntil(world.time.now + 20_000);
  const version = await committed(world, 1, 'red', 34);
  await runUntilInForce(world, version, WITHIN_MS);
  world.store.restore(point);
  await world.runUntil(world.time.now + 30_000);
  assert.deepEqual(configurationVersions(world), [2, 2, 2]);
  assert.equal(await committed(world, 2, 'red', 35), 3);
  assert.ok((await runUntilInForce(world, 3, WITHIN_MS)) !== null);
});

test('successive changes take force in time and break no rule while machines end and the leader changes', async () => {
  const world = await settled(12);
  const change = (n: number): { team: string; cpusMax: number }[] => {
    const team = TEAMS[n % TEAMS.length];
    return [{ team: team?.name ?? '', cpusMax: (team?.cpusMax ?? 0) - (n % 5) }];
  };
  for (let n = 0; n < 12; n += 1)
    world.startUser(
      jobSpec({ id: jobId(n), tasks: 6, team: n % 2 === 0 ? 'red' : 'blue', estimateS: 6 }),
      null,
    );
  let worstMs = 0;
  for (let n = 0; n < 40; n += 1) {
    if (n % 8 === 3) world.crash(leaderIndex(world), 200);
    if (n % 5 === 0) [...world.workers.values()].find((worker) => worker.alive)?.die();
    let outcome = await proposeChanges(world, n % 3, change(n));
    // A node that has just begun, or that a change of another author came before, asks again.
    for (
      let again = 0;
      again < 40 && outcome.outcome !== 'committed' && outcome.outcome !== 'unchanged';
      again += 1
    ) {
      await world.runUntil(world.time.now + 200);
      outcome = await proposeChanges(world, (n + again) % 3, change(n));
    }
    assert.ok('version' in outcome, outcome.outcome);
    const tookMs = await runUntilInForce(world, outcome.version, 2 * WITHIN_MS);
    assert.ok(tookMs !== null, `version ${outcome.version}: ${String(configurationVersions(world))}`);
    worstMs = Math.max(worstMs, tookMs);
  }
  assert.ok(worstMs <= WITHIN_MS, `${worstMs} ms`);
  assert.deepEqual(world.checker.violations, []);
});
