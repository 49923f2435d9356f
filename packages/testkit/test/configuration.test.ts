import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { JobSpec } from '@spurbridge/wire';
import { formatSubmission } from '@spurbridge/wire';
import type { World } from '../src/index.js';
import {
  TEAMS,
  isInForceEverywhere,
  jobId as id,
  jobSpec,
  leaderCheckedWorld as world,
  leaderIndex,
  nextChangeId,
  proposeChanges,
  runUntilInForce,
  configurationVersions,
} from '../src/index.js';

const CALM_MS = 30_000;
/** In force everywhere within this, by the operators' plan. */
const WITHIN_MS = 5000;

async function settled(seed: number): Promise<World> {
  const w = world(seed);
  await w.runUntil(CALM_MS);
  return w;
}

/** Makes a change at a node that has to be committed; its version. */
async function committed(w: World, node: number, team: string, cpusMax: number): Promise<number> {
  const outcome = await proposeChanges(w, node, [{ team, cpusMax }]);
  assert.equal(outcome.outcome, 'committed');
  return 'version' in outcome ? outcome.version : -1;
}

/** A submission to one node; its status. */
async function submit(w: World, node: number, spec: JobSpec): Promise<number> {
  let code: number | null = null;
  w.checker.jobSubmitted(spec);
  void w.nodes[node]?.controller.jobs.submit(formatSubmission(spec)).then((a) => {
    code = jobStatusCode(a);
  });
  for (let n = 0; n < 200 && code === null; n += 1) await w.runUntil(w.time.now + 10);
  assert.ok(code !== null, 'never answered');
  return code;
}

function usedBy(w: World, team: string): number {
  let cpus = 0;
  for (const x of w.workers.values())
    if (x.alive) for (const { job } of x.occupyingTasks()) if (job.team === team) cpus += job.cpus;
  return cpus;
}

test('a change at any node is in force on all of them, the leader plans by it, and it is made once', async () => {
  const w = await settled(1);
  for (const node of [0, 1, 2]) {
    const version = await committed(w, node, 'red', 30 + node);
    const tookMs = await runUntilInForce(w, version, WITHIN_MS);
    assert.ok(tookMs !== null && tookMs < 2000, `${tookMs} ms`);
  }
  const changeId = nextChangeId();
  const first = await proposeChanges(w, 0, [{ team: 'red', cpusMax: 39 }], changeId);
  const again = await proposeChanges(w, 1, [{ team: 'red', cpusMax: 39 }], changeId);
  assert.equal(first.outcome, 'committed');
  assert.equal(again.outcome, 'known');
  await runUntilInForce(w, 4, WITHIN_MS);
  assert.deepEqual(configurationVersions(w), [4, 4, 4]);
});

test('of two authors at once one is told that its version is not the newest', async () => {
  const w = await settled(2);
  const both = [0, 1].map(async (node) => proposeChanges(w, node, [{ team: 'red', cpusMax: 30 + node }]));
  const outcomes = (await Promise.all(both)).map((o) => o.outcome).sort();
  assert.deepEqual(outcomes, ['committed', 'conflict']);
  assert.equal(
    (await proposeChanges(w, 2, [{ team: 'red', cpus: 1 }], nextChangeId(), 0)).outcome,
    'conflict',
  );
  await runUntilInForce(w, 1, WITHIN_MS);
  assert.deepEqual(configurationVersions(w), [1, 1, 1]);
});

test('a commit whose answer is lost, or that is carried out late, changes nothing twice', async () => {
  const w = await settled(3);
  for (const fault of ['lostResponses', 'delayedWrites'] as const) {
    const before = configurationVersions(w)[0] ?? 0;
    const changeId = nextChangeId();
    w.faults[fault] = 1;
    const unsure = await proposeChanges(w, 0, [{ team: 'red', cpusMax: 25 + before }], changeId);
    w.faults[fault] = 0;
    assert.equal(unsure.outcome, 'unsure');
    const again = await proposeChanges(w, 1, [{ team: 'red', cpusMax: 25 + before }], changeId, before);
    assert.ok(['committed', 'known'].includes(again.outcome), again.outcome);
    // What is late is conditioned on the version before, and finds another.
    await w.runUntil(w.time.now + 15_000);
    assert.deepEqual(configurationVersions(w), [before + 1, before + 1, before + 1]);
  }
  assert.deepEqual(w.checker.violations, []);
});

for (const backMs of [200, 8000])
  test(`a change in the seconds of a takeover, the old leader back after ${backMs} ms`, async () => {
    const w = await settled(4);
    const leader = leaderIndex(w);
    const other = (leader + 1) % 3;
    w.crash(leader, backMs);
    const version = await committed(w, other, 'red', 31);
    assert.ok(
      (await runUntilInForce(w, version, backMs + 2 * WITHIN_MS)) !== null,
      String(configurationVersions(w)),
    );
    assert.deepEqual(w.checker.violations, []);
  });

test('a node cut from the state service alone gives no final refusal, says since when, and catches up', async () => {
  const w = await settled(5);
  const cut = (leaderIndex(w) + 1) % 3;
  const node = w.nodes[cut];
  assert.ok(node !== undefined);
  node.store.isRefused = true;
  await w.runUntil(w.time.now + 10_000);
  const outcome = await proposeChanges(w, (cut + 1) % 3, [{ team: 'green', cpusMax: 8 }]);
  assert.equal(outcome.outcome, 'committed');
  await w.runUntil(w.time.now + 50_000);
  assert.equal(configurationVersions(w)[cut], 0);
  assert.ok((node.controller.configurationStatus()[0]?.ageMs ?? 0) > 50_000);
  // The other nodes know which one lags, too.
  const heard = w.nodes[(cut + 1) % 3]?.controller.configurationStatus().find((n) => n.node === node.name);
  assert.equal(heard?.version, 0);
  const spec = jobSpec({ id: id(1), team: 'green' });
  assert.equal(await submit(w, cut, spec), 503);
  node.store.isRefused = false;
  assert.ok((await runUntilInForce(w, 1, WITHIN_MS)) !== null);
  assert.equal(await submit(w, cut, spec), 201);
});

test('a team that was added is known to every node within milliseconds, or none refuses it for good', async () => {
  const w = await settled(6);
  const outcome = await proposeChanges(w, 0, [{ team: 'green', cpusMax: 16 }]);
  assert.equal(outcome.outcome, 'committed');
  const codes = [];
  for (const node of [0, 1, 2])
    codes.push(await submit(w, node, jobSpec({ id: id(node), team: 'green', tasks: 2, cpus: 1 })));
  assert.ok(!codes.includes(422), String(codes));
  assert.equal(codes[0], 201);
  await runUntilInForce(w, 1, WITHIN_MS);
  for (const node of [0, 1, 2]) {
    const spec = jobSpec({ id: id(node), team: 'green', tasks: 2, cpus: 1 });
    assert.ok([200, 201].includes(await submit(w, node, spec)));
  }
  assert.equal(await submit(w, 1, jobSpec({ id: id(9), team: 'nobody' })), 422);
});

test('a team added while a node still takes in the change before is not refused there for good', async () => {
  const w = await settled(13);
  for (let n = 0; n < 5; n += 1) {
    // A node looks again a moment after each change: the second one falls into that moment.
    await committed(w, 0, 'red', 30 - n);
    await committed(w, 0, `green-${n}`, 16);
    for (const node of [1, 2]) {
      const code = await submit(
        w,
        node,
        jobSpec({ id: id(10 * n + node), team: `green-${n}`, tasks: 1, cpus: 1 }),
      );
      assert.ok(code === 201 || code === 503, `${code} at node ${node}`);
    }
    await w.runUntil(w.time.now + 2000);
  }
});

test('a retired team takes no new job, and what was accepted runs to its end, gangs that wait too', async () => {
  const w = await settled(7);
  const gang = jobSpec({ id: id(1), kind: 'gang', tasks: 3, cpus: 4, estimateS: 5 });
  const array = jobSpec({ id: id(2), tasks: 20, cpus: 4, estimateS: 5 });
  assert.equal(await submit(w, 0, array), 201);
  assert.equal(await submit(w, 1, gang), 201);
  const outcome = await proposeChanges(w, 2, [{ team: 'red', isRetired: true }]);
  assert.equal(outcome.outcome, 'committed');
  await runUntilInForce(w, 1, WITHIN_MS);
  for (const node of [0, 1, 2]) assert.equal(await submit(w, node, jobSpec({ id: id(10 + node) })), 422);
  assert.equal(await submit(w, 0, jobSpec({ id: id(20), team: 'blue' })), 201);
  // A repeat of what was accepted is answered by its record.
  assert.equal(await submit(w, 2, array), 200);
  await w.runUntil(w.time.now + 150_000);
  for (const spec of [gang, array]) assert.equal(w.recordedPhaseOf(spec.id), 'done');
  assert.deepEqual(w.checker.violations, []);
});

test('a limit lowered below what runs stops nothing and lets nothing start, whoever leads', async () => {
  const w = await settled(8);
  const long = jobSpec({ id: id(1), tasks: 30, cpus: 2, estimateS: 300 });
  assert.equal(await submit(w, 0, long), 201);
  await w.runUntil(w.time.now + 60_000);
  const before = usedBy(w, 'red');
  assert.ok(before > 20, `${before} CPUs`);
  for (const x of [...w.workers.values()].slice(0, 2)) x.hang();
  const outcome = await proposeChanges(w, 1, [{ team: 'red', cpus: 8, cpusMax: 10 }]);
  assert.equal(outcome.outcome, 'committed');
  assert.ok((await runUntilInForce(w, 1, WITHIN_MS)) !== null);
  const { starts } = w.checker;
  w.crash(leaderIndex(w), 200);
  await w.runUntil(w.time.now + 4000);
  for (const x of w.workers.values()) x.resume();
  await w.runUntil(w.time.now + 40_000);
  assert.equal(w.checker.starts, starts, 'something started beyond the limit');
  assert.equal(usedBy(w, 'red'), before, 'something was stopped by the limit alone');
  // Raised again, the rest runs.
  await committed(w, 0, 'red', 40);
  await w.runUntil(w.time.now + 20_000);
  assert.ok(w.checker.starts > starts || before >= 40);
  assert.deepEqual(w.checker.violations, []);
});

test('what waits on a full machine does not start once the limit is lowered', async () => {
  // Some tasks take far longer than expected, so that what was placed behind them waits.
  const w = world(14, { taskRunMs: (job, task) => job.estimateS * ((task * 7919) % 10 === 0 ? 5000 : 500) });
  await w.runUntil(CALM_MS);
  assert.equal(await submit(w, 0, jobSpec({ id: id(1), tasks: 600, cpus: 1, estimateS: 2 })), 201);
  await w.runUntil(w.time.now + 30_000);
  for (let n = 0; n < 12; n += 1) {
    const outcome = await proposeChanges(w, n % 3, [{ team: 'red', cpus: 0, cpusMax: 3 }]);
    assert.ok('version' in outcome);
    assert.ok((await runUntilInForce(w, outcome.version, WITHIN_MS)) !== null);
    await w.runUntil(w.time.now + 60);
    const { starts } = w.checker;
    for (let look = 0; look < 40 && usedBy(w, 'red') > 3; look += 1) {
      await w.runUntil(w.time.now + 25);
      if (usedBy(w, 'red') > 3)
        assert.equal(w.checker.starts, starts, `a start beyond the limit, round ${n}`);
    }
    await committed(w, n % 3, 'red', 40);
    await w.runUntil(w.time.now + 2130);
  }
  assert.deepEqual(w.checker.violations, []);
});

test('a leader that stood still comes back with an old version and starts nothing by it', async () => {
  const w = await settled(9);
  const leader = leaderIndex(w);
  assert.equal(await submit(w, leader, jobSpec({ id: id(1), tasks: 40, cpus: 2, estimateS: 8 })), 201);
  await w.runUntil(w.time.now + 6000);
  w.freeze(leader, 9000);
  await w.runUntil(w.time.now + 5000);
  const other = (leader + 1) % 3;
  const outcome = await proposeChanges(w, other, [{ team: 'red', cpus: 0, cpusMax: 4 }]);
  assert.equal(outcome.outcome, 'committed');
  await w.runUntil(w.time.now + 3000);
  const most = Math.max(4, usedBy(w, 'red'));
  for (let n = 0; n < 100; n += 1) {
    await w.runUntil(w.time.now + 250);
    assert.ok(usedBy(w, 'red') <= most, `${usedBy(w, 'red')} of ${most} CPUs at ${w.time.now}`);
  }
  assert.ok(isInForceEverywhere(w, 1), String(configurationVersions(w)));
  assert.deepEqual(w.checker.violations, []);
});

const LOSSES: readonly {
  readonly what: string;
  readonly lose: (w: World) => void;
  readonly backS?: number;
}[] = [
  {
    what: 'emptied',
    lose: (w) => {
      w.store.clear();
    },
  },
  { what: 'damaged', lose: (w) => void w.store.corruptValues((key) => key.startsWith('configuration/')) },
  { what: 'gone in part', lose: (w) => void w.store.dropKeys((key) => key === 'configuration/head') },
];

for (const { what, lose } of LOSSES)
  test(`the state service is ${what}: no node goes back, and the next change follows on`, async () => {
    const w = await settled(10);
    const version = await committed(w, 0, 'red', 33);
    await runUntilInForce(w, version, WITHIN_MS);
    lose(w);
    await w.runUntil(w.time.now + 30_000);
    assert.deepEqual(configurationVersions(w), [1, 1, 1]);
    // A value that changed under its version is found when it is read: the author is told to ask again.
    const changeId = nextChangeId();
    let outcome = await proposeChanges(w, 1, [{ team: 'blue', cpusMax: 20 }], changeId);
    for (let n = 0; n < 20 && outcome.outcome === 'unsure'; n += 1) {
      await w.runUntil(w.time.now + 500);
      outcome = await proposeChanges(w, 1, [{ team: 'blue', cpusMax: 20 }], changeId);
    }
    assert.equal(outcome.outcome, 'committed');
    assert.ok((await runUntilInForce(w, 2, WITHIN_MS)) !== null);
    assert.deepEqual(configurationVersions(w), [2, 2, 2]);
  });

test('the state service is set back by 20 s: the later version is put back', async () => {
  const w = await settled(11);
  await committed(w, 0, 'red', 33);
  const point = w.store.checkpoint();
  await w.runUntil(w.time.now + 20_000);
  const version = await committed(w, 1, 'red', 34);
  await runUntilInForce(w, version, WITHIN_MS);
  w.store.restore(point);
  await w.runUntil(w.time.now + 30_000);
  assert.deepEqual(configurationVersions(w), [2, 2, 2]);
  assert.equal(await committed(w, 2, 'red', 35), 3);
  assert.ok((await runUntilInForce(w, 3, WITHIN_MS)) !== null);
});

test('changes one after another while machines end and the leader changes: all in force in time, no rule broken', async () => {
  const w = await settled(12);
  const change = (n: number): { team: string; cpusMax: number }[] => {
    const team = TEAMS[n % TEAMS.length];
    return [{ team: team?.name ?? '', cpusMax: (team?.cpusMax ?? 0) - (n % 5) }];
  };
  for (let n = 0; n < 12; n += 1)
    w.startUser(jobSpec({ id: id(n), tasks: 6, team: n % 2 === 0 ? 'red' : 'blue', estimateS: 6 }), null);
  let worstMs = 0;
  for (let n = 0; n < 40; n += 1) {
    if (n % 8 === 3) w.crash(leaderIndex(w), 200);
    if (n % 5 === 0) [...w.workers.values()].find((x) => x.alive)?.die();
    let outcome = await proposeChanges(w, n % 3, change(n));
    // A node that has just begun, or that a change of another author came before, asks again.
    for (
      let again = 0;
      again < 40 && outcome.outcome !== 'committed' && outcome.outcome !== 'unchanged';
      again += 1
    ) {
      await w.runUntil(w.time.now + 200);
      outcome = await proposeChanges(w, (n + again) % 3, change(n));
    }
    assert.ok('version' in outcome, outcome.outcome);
    const tookMs = await runUntilInForce(w, outcome.version, 2 * WITHIN_MS);
    assert.ok(tookMs !== null, `version ${outcome.version}: ${String(configurationVersions(w))}`);
    worstMs = Math.max(worstMs, tookMs);
  }
  assert.ok(worstMs <= WITHIN_MS, `${worstMs} ms`);
  assert.deepEqual(w.checker.violations, []);
});
