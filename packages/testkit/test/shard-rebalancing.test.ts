import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId, JobSpec, MachineType } from '@spurbridge/wire';
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import {
  STORE_HOST,
  World,
  ZONES,
  jobSpec,
  leaderIndex,
  injectDataLoss,
  machineType,
  watchForTwoLeaders,
} from '../src/index.js';

const TYPES: readonly MachineType[] = [machineType('s4', 4), machineType('g8', 8, 4)];
const TEAMS = [
  { name: 'red', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: Infinity },
  { name: 'blue', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: Infinity },
];
const LEASE_S = 22;
const CALM_MS = 70_000;
const END_MS = 170_000;

interface Site {
  readonly w: World;
  readonly spec: (over?: Partial<JobSpec>) => JobSpec;
}

/** Machines with services, arrays and gangs whose tasks are on machines of all three shares. */
function site(seed: number, nodes = 3): Site {
  const w = new World({
    seed,
    nodes,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 16,
    leaseS: LEASE_S,
    cancelS: 42,
    storeLimits: { rps: 200, writeRps: 60, valueKb: 16, txnOps: 12 },
  });
  watchForTwoLeaders(w, (at) => {
    assert.fail(`two leaders at ${at}`);
  });
  let jobs = 0;
  const spec = (over: Partial<JobSpec> = {}): JobSpec =>
    jobSpec({
      id: `wk-${String(jobs++).padStart(6, '0')}` as JobId,
      tasks: 8,
      cpus: 2,
      estimateS: 10,
      ...over,
    });
  const service = {
    kind: 'service',
    team: 'blue',
    priority: 'production',
    estimateS: 0,
    spot: false,
  } as const;
  for (let i = 0; i < 10; i += 1) w.startUser(spec({ ...service, tasks: 6, spread: true }), null);
  w.time.after(CALM_MS - 25_000, () => {
    for (let i = 0; i < 4; i += 1)
      w.startUser(
        spec({ kind: 'gang', tasks: 4, gpus: 4, cpus: 4, checkpointS: 5, saveS: 1, estimateS: 60 }),
        null,
      );
  });
  for (let at = 1000; at < 140_000; at += 4000)
    w.time.after(at, () => {
      w.startUser(spec({ image: `img-${w.random(4)}` }), null);
    });
  return { w, spec };
}

function assertKept(w: World, killed = 0): void {
  assert.deepEqual(w.checker.violations, []);
  assert.deepEqual(w.checker.underservedGroups(), []);
  assert.ok(w.checker.killedByLease <= killed, `${w.checker.killedByLease} tasks killed by leases`);
}

const alive = (w: World): SimulatedWorker[] => [...w.workers.values()].filter((x) => x.alive);

/** Runs until a node sheds machines: one that held none has come back. Fails where nothing moves. */
async function untilMoving(w: World): Promise<number> {
  await w.runUntil(CALM_MS);
  const holder = (leaderIndex(w) + 1) % 3;
  w.crash(holder, 200);
  for (let ms = 1000; ms < 30_000; ms += 100) {
    await w.runUntil(CALM_MS + ms);
    if ((w.machinesPerNode()[holder] ?? 0) > 2) return holder;
  }
  assert.fail('nothing moved to the node that was back');
}

for (const who of ['the leader', 'the node that machines move to', 'both', 'all nodes'] as const)
  test(`${who} ends in the middle of moves and is back in 0.2 s, three times`, async () => {
    const { w } = site(1);
    const holder = await untilMoving(w);
    for (const at of [0, 1500, 4000])
      w.time.after(at, () => {
        const leader = leaderIndex(w);
        const ended =
          who === 'the leader'
            ? [leader]
            : who === 'both'
              ? [leader, holder]
              : who === 'all nodes'
                ? [0, 1, 2]
                : [holder];
        for (const i of ended) w.crash(i, 200);
      });
    await w.runUntil(END_MS);
    assertKept(w);
  });

test('spot notices and cancellations while machines move: what is told is gone in time', async () => {
  const { w, spec } = site(2);
  const doomed = Array.from({ length: 6 }, () => spec({ estimateS: 60, tasks: 12 }));
  w.time.after(CALM_MS - 15_000, () => {
    for (const s of doomed) w.startUser(s, null);
  });
  await untilMoving(w);
  for (const s of doomed) w.scheduleCancellation(s.id, w.random(3000));
  for (const x of alive(w).filter((y) => y.spot && w.random(3) === 0)) {
    x.preemptionAtMs = w.time.now + 8000;
    w.time.after(8000, () => {
      w.reclaimMachine(x.id);
    });
  }
  await w.runUntil(END_MS);
  assertKept(w);
});

test('gangs over three shares are started, stopped with grace and broken while holders end', async () => {
  const { w } = site(3);
  await w.runUntil(CALM_MS);
  const shares = new Set(alive(w).map((x) => x.heartbeatNodeIndex));
  assert.equal(shares.size, 3);
  const leader = leaderIndex(w);
  for (let n = 0; n < 6; n += 1)
    w.time.after(n * 3000, () => {
      w.crash((leader + 1 + (n % 2)) % 3, 200);
      const some = alive(w).filter((x) => x.type.name === 'g8');
      const x = some[w.random(some.length)];
      if (x === undefined) return;
      if (n % 2 === 0) x.die();
      else {
        x.preemptionAtMs = w.time.now + 8000;
        w.time.after(8000, () => {
          w.reclaimMachine(x.id);
        });
      }
    });
  await w.runUntil(END_MS);
  assertKept(w);
  assert.ok(
    [...w.gangAttempts.values()].some((n) => n > 1),
    'no gang was broken or stopped',
  );
});

for (const backMs of [200, 8000])
  test(`the state service is set back while shares move, and a node ends and is back after ${backMs} ms`, async () => {
    const { w } = site(4);
    const holder = await untilMoving(w);
    injectDataLoss(w, 'rolled back 2 s', w.time.now + 2500);
    w.time.after(3000, () => {
      w.crash(holder, backMs);
    });
    await w.runUntil(END_MS);
    assert.deepEqual(w.checker.violations, []);
    assert.deepEqual(w.checker.underservedGroups(), []);
  });

test('of five nodes two end together, and then two others: the machines spread over those left', async () => {
  const { w } = site(6, 5);
  await w.runUntil(CALM_MS);
  const leader = leaderIndex(w);
  const up = alive(w);
  for (const [n, at] of [0, 40_000].entries())
    w.time.after(at, () => {
      for (const i of [leader + 2 * n, leader + 2 * n + 1]) w.crash(i % 5, 25_000);
    });
  // In the stand-in an ended process is silent: two in a row cost a worker ten seconds.
  await w.runUntil(CALM_MS + 16_000);
  const places = new Set(up.filter((x) => x.alive).map((x) => x.heartbeatNodeIndex));
  assert.deepEqual(
    [...places].sort((a, b) => a - b),
    [0, 1, 2, 3, 4].filter((i) => i !== leader && i !== (leader + 1) % 5),
  );
  await w.runUntil(END_MS);
  assertKept(w);
});

test('two holders answer one machine with different tokens: it believes the higher one alone', async () => {
  const { w } = site(5);
  await w.runUntil(CALM_MS);
  const old = leaderIndex(w);
  const names = w.nodes.map((n) => n.name as string);
  // The old leader and one holder know nothing of the next leader, which the other holder follows.
  const [kept = 0, next = 0] = [0, 1, 2].filter((i) => i !== old);
  for (const i of [old, kept]) w.setLinkRefused(names[i] ?? '', names[next] ?? '', true);
  w.network.partition(names[old] ?? '', STORE_HOST, 'hold');
  await w.runUntil(CALM_MS + 12_000);
  assert.notEqual(leaderIndex(w), old);
  w.network.heal(names[old] ?? '', STORE_HOST);
  for (const i of [old, kept]) w.setLinkRefused(names[i] ?? '', names[next] ?? '', false);
  await w.runUntil(END_MS);
  assert.equal(new Set(alive(w).map((x) => x.highestFencingToken)).size, 1);
  assertKept(w);
});
