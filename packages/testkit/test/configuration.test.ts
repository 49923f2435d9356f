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

/** Time by which machines are up, and a leader serves them. */
const SETTLED_MS = 30_000;
/** The operators require that a change is in force on all nodes within this time. */
const ROLLOUT_LIMIT_MS = 5000;

async function startSettledWorld(seed: number): Promise<World> {
  const world = leaderCheckedWorld(seed);
  await world.runUntil(SETTLED_MS);
  return world;
}

/** Proposes a change to a node, which must commit it; returns its version. */
async function commitChange(world: World, node: number, team: string, cpusMax: number): Promise<number> {
  const outcome = await proposeChanges(world, node, [{ team, cpusMax }]);
  assert.equal(outcome.outcome, 'committed');
  return 'version' in outcome ? outcome.version : -1;
}

/** Submits a job to one node; returns the status code of the response. */
async function submit(world: World, node: number, spec: JobSpec): Promise<number> {
  let code: number | null = null;
  world.checker.jobSubmitted(spec);
  void world.nodes[node]?.controller.jobs.submit(formatSubmission(spec)).then((response) => {
    code = jobStatusCode(response);
  });
  for (let n = 0; n < 200 && code === null; n += 1) await world.runUntil(world.time.now + 10);
  assert.ok(code !== null, 'the submission got no response');
  return code;
}

function cpusUsedBy(world: World, team: string): number {
  let cpus = 0;
  for (const worker of world.workers.values())
    if (worker.alive) for (const { job } of worker.occupyingTasks()) if (job.team === team) cpus += job.cpus;
  return cpus;
}

test("a change proposed to any node takes effect on all nodes and in the leader's plans, and its retry is not applied again", async () => {
  const world = await startSettledWorld(1);
  for (const node of [0, 1, 2]) {
    const version = await commitChange(world, node, 'red', 30 + node);
    const tookMs = await runUntilInForce(world, version, ROLLOUT_LIMIT_MS);
    assert.ok(tookMs !== null && tookMs < 2000, `${tookMs} ms`);
  }
  const changeId = nextChangeId();
  const first = await proposeChanges(world, 0, [{ team: 'red', cpusMax: 39 }], changeId);
  const retried = await proposeChanges(world, 1, [{ team: 'red', cpusMax: 39 }], changeId);
  assert.equal(first.outcome, 'committed');
  assert.equal(retried.outcome, 'known');
  await runUntilInForce(world, 4, ROLLOUT_LIMIT_MS);
  assert.deepEqual(configurationVersions(world), [4, 4, 4]);
});

test('of two concurrent changes one conflicts because its base version is no longer the latest', async () => {
  const world = await startSettledWorld(2);
  const proposals = [0, 1].map(async (node) =>
    proposeChanges(world, node, [{ team: 'red', cpusMax: 30 + node }]),
  );
  const outcomes = (await Promise.all(proposals)).map((o) => o.outcome).sort();
  assert.deepEqual(outcomes, ['committed', 'conflict']);
  assert.equal(
    (await proposeChanges(world, 2, [{ team: 'red', cpus: 1 }], nextChangeId(), 0)).outcome,
    'conflict',
  );
  await runUntilInForce(world, 1, ROLLOUT_LIMIT_MS);
  assert.deepEqual(configurationVersions(world), [1, 1, 1]);
});

test('a change whose commit is delayed or whose commit response is lost is not applied twice when it is retried', async () => {
  const world = await startSettledWorld(3);
  for (const fault of ['lostResponses', 'delayedWrites'] as const) {
    const before = configurationVersions(world)[0] ?? 0;
    const changeId = nextChangeId();
    world.faults[fault] = 1;
    const first = await proposeChanges(world, 0, [{ team: 'red', cpusMax: 25 + before }], changeId);
    world.faults[fault] = 0;
    assert.equal(first.outcome, 'unsure');
    const retried = await proposeChanges(world, 1, [{ team: 'red', cpusMax: 25 + before }], changeId, before);
    assert.ok(['committed', 'known'].includes(retried.outcome), retried.outcome);
    // The delayed commit requires the previous version, and fails because the version has changed.
    await world.runUntil(world.time.now + 15_000);
    assert.deepEqual(configurationVersions(world), [before + 1, before + 1, before + 1]);
  }
  assert.deepEqual(world.checker.violations, []);
});

for (const restartMs of [200, 8000])
  test(`a change during a failover takes effect when the old leader restarts after ${restartMs} ms`, async () => {
    const world = await startSettledWorld(4);
    const leader = leaderIndex(world);
    const other = (leader + 1) % 3;
    world.crash(leader, restartMs);
    const version = await commitChange(world, other, 'red', 31);
    assert.ok(
      (await runUntilInForce(world, version, restartMs + 2 * ROLLOUT_LIMIT_MS)) !== null,
      String(configurationVersions(world)),
    );
    assert.deepEqual(world.checker.violations, []);
  });

test('a node that the store refuses rejects jobs only temporarily, reports the age of its configuration, and catches up', async () => {
  const world = await startSettledWorld(5);
  const refused = (leaderIndex(world) + 1) % 3;
  const node = world.nodes[refused];
  assert.ok(node !== undefined);
  node.store.isRefused = true;
  await world.runUntil(world.time.now + 10_000);
  const outcome = await proposeChanges(world, (refused + 1) % 3, [{ team: 'green', cpusMax: 8 }]);
  assert.equal(outcome.outcome, 'committed');
  await world.runUntil(world.time.now + 50_000);
  assert.equal(configurationVersions(world)[refused], 0);
  assert.ok((node.controller.configurationStatus()[0]?.ageMs ?? 0) > 50_000);
  // The other nodes also know that the configuration of this node is outdated.
  const reported = world.nodes[(refused + 1) % 3]?.controller
    .configurationStatus()
    .find((n) => n.node === node.name);
  assert.equal(reported?.version, 0);
  const spec = jobSpec({ id: jobId(1), team: 'green' });
  assert.equal(await submit(world, refused, spec), 503);
  node.store.isRefused = false;
  assert.ok((await runUntilInForce(world, 1, ROLLOUT_LIMIT_MS)) !== null);
  assert.equal(await submit(world, refused, spec), 201);
});

test('every node accepts jobs of an added team, or rejects them only temporarily until it knows the team', async () => {
  const world = await startSettledWorld(6);
  const outcome = await proposeChanges(world, 0, [{ team: 'green', cpusMax: 16 }]);
  assert.equal(outcome.outcome, 'committed');
  const codes = [];
  for (const node of [0, 1, 2])
    codes.push(await submit(world, node, jobSpec({ id: jobId(node), team: 'green', tasks: 2, cpus: 1 })));
  assert.ok(!codes.includes(422), String(codes));
  assert.equal(codes[0], 201);
  await runUntilInForce(world, 1, ROLLOUT_LIMIT_MS);
  for (const node of [0, 1, 2]) {
    const spec = jobSpec({ id: jobId(node), team: 'green', tasks: 2, cpus: 1 });
    assert.ok([200, 201].includes(await submit(world, node, spec)));
  }
  assert.equal(await submit(world, 1, jobSpec({ id: jobId(9), team: 'nobody' })), 422);
});

test('a node that is still reading the previous change accepts jobs of an added team or rejects them only temporarily', async () => {
  const world = await startSettledWorld(13);
  for (let n = 0; n < 5; n += 1) {
    // A node reads the configuration shortly after a change. The second change is committed within that delay.
    await commitChange(world, 0, 'red', 30 - n);
    await commitChange(world, 0, `green-${n}`, 16);
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

test('new jobs of a retired team are rejected, and its accepted jobs complete, including waiting gangs', async () => {
  const world = await startSettledWorld(7);
  const gang = jobSpec({ id: jobId(1), kind: 'gang', tasks: 3, cpus: 4, estimateS: 5 });
  const array = jobSpec({ id: jobId(2), tasks: 20, cpus: 4, estimateS: 5 });
  assert.equal(await submit(world, 0, array), 201);
  assert.equal(await submit(world, 1, gang), 201);
  const outcome = await proposeChanges(world, 2, [{ team: 'red', isRetired: true }]);
  assert.equal(outcome.outcome, 'committed');
  await runUntilInForce(world, 1, ROLLOUT_LIMIT_MS);
  for (const node of [0, 1, 2])
    assert.equal(await submit(world, node, jobSpec({ id: jobId(10 + node) })), 422);
  assert.equal(await submit(world, 0, jobSpec({ id: jobId(20), team: 'blue' })), 201);
  // The response to a repeated submission of an accepted job is based on its record.
  assert.equal(await submit(world, 2, array), 200);
  await world.runUntil(world.time.now + 150_000);
  for (const spec of [gang, array]) assert.equal(world.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(world.checker.violations, []);
});

test('a limit lowered below current usage stops no running task and prevents new starts, also after a failover', async () => {
  const world = await startSettledWorld(8);
  const long = jobSpec({ id: jobId(1), tasks: 30, cpus: 2, estimateS: 300 });
  assert.equal(await submit(world, 0, long), 201);
  await world.runUntil(world.time.now + 60_000);
  const before = cpusUsedBy(world, 'red');
  assert.ok(before > 20, `${before} CPUs`);
  for (const worker of [...world.workers.values()].slice(0, 2)) worker.hang();
  const outcome = await proposeChanges(world, 1, [{ team: 'red', cpus: 8, cpusMax: 10 }]);
  assert.equal(outcome.outcome, 'committed');
  assert.ok((await runUntilInForce(world, 1, ROLLOUT_LIMIT_MS)) !== null);
  const { starts } = world.checker;
  world.crash(leaderIndex(world), 200);
  await world.runUntil(world.time.now + 4000);
  for (const worker of world.workers.values()) worker.resume();
  await world.runUntil(world.time.now + 40_000);
  assert.equal(world.checker.starts, starts, 'a task started beyond the limit');
  assert.equal(cpusUsedBy(world, 'red'), before, 'a task was stopped because of the limit');
  // After the limit is raised again, the remaining tasks run.
  await commitChange(world, 0, 'red', 40);
  await world.runUntil(world.time.now + 20_000);
  assert.ok(world.checker.starts > starts || before >= 40);
  assert.deepEqual(world.checker.violations, []);
});

test('a task queued on a full machine does not start after the limit is lowered', async () => {
  // Some tasks take far longer than estimated, so tasks queued behind them on the same machine wait.
  const world = leaderCheckedWorld(14, {
    taskRunMs: (job, task) => job.estimateS * ((task * 7919) % 10 === 0 ? 5000 : 500),
  });
  await world.runUntil(SETTLED_MS);
  assert.equal(await submit(world, 0, jobSpec({ id: jobId(1), tasks: 600, cpus: 1, estimateS: 2 })), 201);
  await world.runUntil(world.time.now + 30_000);
  for (let n = 0; n < 12; n += 1) {
    const outcome = await proposeChanges(world, n % 3, [{ team: 'red', cpus: 0, cpusMax: 3 }]);
    assert.ok('version' in outcome);
    assert.ok((await runUntilInForce(world, outcome.version, ROLLOUT_LIMIT_MS)) !== null);
    await world.runUntil(world.time.now + 60);
    const { starts } = world.checker;
    for (let checks = 0; checks < 40 && cpusUsedBy(world, 'red') > 3; checks += 1) {
      await world.runUntil(world.time.now + 25);
      if (cpusUsedBy(world, 'red') > 3)
        assert.equal(world.checker.starts, starts, `a task started beyond the limit, round ${n}`);
    }
    await commitChange(world, n % 3, 'red', 40);
    await world.runUntil(world.time.now + 2130);
  }
  assert.deepEqual(world.checker.violations, []);
});

test('a leader that was frozen starts no task under an outdated configuration', async () => {
  const world = await startSettledWorld(9);
  const leader = leaderIndex(world);
  assert.equal(await submit(world, leader, jobSpec({ id: jobId(1), tasks: 40, cpus: 2, estimateS: 8 })), 201);
  await world.runUntil(world.time.now + 6000);
  world.freeze(leader, 9000);
  await world.runUntil(world.time.now + 5000);
  const other = (leader + 1) % 3;
  const outcome = await proposeChanges(world, other, [{ team: 'red', cpus: 0, cpusMax: 4 }]);
  assert.equal(outcome.outcome, 'committed');
  await world.runUntil(world.time.now + 3000);
  const maxCpus = Math.max(4, cpusUsedBy(world, 'red'));
  for (let n = 0; n < 100; n += 1) {
    await world.runUntil(world.time.now + 250);
    assert.ok(
      cpusUsedBy(world, 'red') <= maxCpus,
      `${cpusUsedBy(world, 'red')} of ${maxCpus} CPUs at ${world.time.now}`,
    );
  }
  assert.ok(isInForceEverywhere(world, 1), String(configurationVersions(world)));
  assert.deepEqual(world.checker.violations, []);
});

const LOSSES: readonly {
  readonly damage: string;
  readonly lose: (world: World) => void;
  readonly backS?: number;
}[] = [
  {
    damage: 'lost',
    lose: (world) => {
      world.store.clear();
    },
  },
  {
    damage: 'corrupted',
    lose: (world) => void world.store.corruptValues((key) => key.startsWith('configuration/')),
  },
  {
    damage: 'partly lost',
    lose: (world) => void world.store.dropKeys((key) => key === 'configuration/head'),
  },
];

for (const { damage, lose } of LOSSES)
  test(`after the store's records are ${damage} no node returns to an earlier version, and the next change succeeds`, async () => {
    const world = await startSettledWorld(10);
    const version = await commitChange(world, 0, 'red', 33);
    await runUntilInForce(world, version, ROLLOUT_LIMIT_MS);
    lose(world);
    await world.runUntil(world.time.now + 30_000);
    assert.deepEqual(configurationVersions(world), [1, 1, 1]);
    // A value that changed without a new version is only detected when it is read. The proposal then ends as `unsure`,
    // and its author has to repeat it.
    const changeId = nextChangeId();
    let outcome = await proposeChanges(world, 1, [{ team: 'blue', cpusMax: 20 }], changeId);
    for (let n = 0; n < 20 && outcome.outcome === 'unsure'; n += 1) {
      await world.runUntil(world.time.now + 500);
      outcome = await proposeChanges(world, 1, [{ team: 'blue', cpusMax: 20 }], changeId);
    }
    assert.equal(outcome.outcome, 'committed');
    assert.ok((await runUntilInForce(world, 2, ROLLOUT_LIMIT_MS)) !== null);
    assert.deepEqual(configurationVersions(world), [2, 2, 2]);
  });

test('after the store is rolled back by 20 s the latest configuration version is restored', async () => {
  const world = await startSettledWorld(11);
  await commitChange(world, 0, 'red', 33);
  const checkpoint = world.store.checkpoint();
  await world.runUntil(world.time.now + 20_000);
  const version = await commitChange(world, 1, 'red', 34);
  await runUntilInForce(world, version, ROLLOUT_LIMIT_MS);
  world.store.restore(checkpoint);
  await world.runUntil(world.time.now + 30_000);
  assert.deepEqual(configurationVersions(world), [2, 2, 2]);
  assert.equal(await commitChange(world, 2, 'red', 35), 3);
  assert.ok((await runUntilInForce(world, 3, ROLLOUT_LIMIT_MS)) !== null);
});

test('successive changes take effect in time and break no rule during machine losses and failovers', async () => {
  const world = await startSettledWorld(12);
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
    // A proposal is repeated if its node has just started, or if a change of another author was committed first.
    for (
      let retries = 0;
      retries < 40 && outcome.outcome !== 'committed' && outcome.outcome !== 'unchanged';
      retries += 1
    ) {
      await world.runUntil(world.time.now + 200);
      outcome = await proposeChanges(world, (n + retries) % 3, change(n));
    }
    assert.ok('version' in outcome, outcome.outcome);
    const tookMs = await runUntilInForce(world, outcome.version, 2 * ROLLOUT_LIMIT_MS);
    assert.ok(tookMs !== null, `version ${outcome.version}: ${String(configurationVersions(world))}`);
    worstMs = Math.max(worstMs, tookMs);
  }
  assert.ok(worstMs <= ROLLOUT_LIMIT_MS, `${worstMs} ms`);
  assert.deepEqual(world.checker.violations, []);
});
