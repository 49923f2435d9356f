import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId, MachineType } from '@spurbridge/wire';
import {
  CLOUD_HOST,
  World,
  ZONES,
  partitionZone,
  jobSpec,
  leaderIndex,
  machineType,
  watchForTwoLeaders,
} from '../src/index.js';

const TYPES: readonly MachineType[] = [machineType('s4', 4), machineType('m16', 16)];
const TEAMS = [
  { name: 'red', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: 0 },
];
const LEASE_S = 22;
/** Troubles begin when machines are up and shares are even. */
const CALM_MS = 70_000;
const END_MS = 160_000;

/** Some seventy machines with services that stay and arrays that come and go. */
function fleet(seed: number): World {
  const w = new World({
    seed,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 20,
    leaseS: LEASE_S,
    cancelS: 42,
    storeLimits: { rps: 200, writeRps: 60, valueKb: 16, txnOps: 12 },
  });
  watchForTwoLeaders(w, (at) => {
    assert.fail(`two leaders at ${at}`);
  });
  let jobs = 0;
  const id = (): JobId => `wk-${String(jobs++).padStart(6, '0')}` as JobId;
  for (let i = 0; i < 16; i += 1)
    w.startUser(
      jobSpec({
        id: id(),
        kind: 'service',
        team: 'blue',
        priority: 'production',
        tasks: 6,
        cpus: 2,
        estimateS: 0,
        spot: false,
        spread: true,
        image: `srv-${i % 4}`,
      }),
      null,
    );
  for (let at = 1000; at < 130_000; at += 4000)
    w.time.after(at, () => {
      const cancelAt = w.random(4) === 0 ? w.time.now + 2000 + w.random(20_000) : null;
      w.startUser(
        jobSpec({ id: id(), tasks: 12, cpus: 2, estimateS: 10, image: `img-${w.random(4)}` }),
        cancelAt,
      );
    });
  return w;
}

function assertKept(w: World, killed = 0): void {
  assert.deepEqual(w.checker.violations, []);
  assert.deepEqual(w.checker.underservedGroups(), []);
  assert.ok(w.checker.killedByLease <= killed, `${w.checker.killedByLease} tasks killed by leases`);
}

/** Machines that report to another node than before. */
function movedSince(w: World, before: ReadonlyMap<string, number>): number {
  return [...w.workers.values()].filter((x) => {
    const was = before.get(x.id);
    return x.alive && was !== undefined && was !== x.heartbeatNodeIndex;
  }).length;
}

function placesOf(w: World): Map<string, number> {
  return new Map([...w.workers.values()].filter((x) => x.alive).map((x) => [x.id, x.heartbeatNodeIndex]));
}

test('workers that all begin at one node are spread over all, the leader holding least', async () => {
  const w = fleet(1);
  await w.runUntil(CALM_MS);
  const held = w.machinesPerNode();
  const leader = leaderIndex(w);
  assert.ok(
    held.every((n) => n > 0),
    held.join(' '),
  );
  for (const [i, n] of held.entries()) if (i !== leader) assert.ok(n >= (held[leader] ?? 0), held.join(' '));
  await w.runUntil(END_MS);
  assertKept(w);
});

for (const backMs of [100, 200, 8000])
  test(`the leader ends and is back after ${backMs} ms: nobody else’s workers move, no lease runs out`, async () => {
    const w = fleet(2);
    await w.runUntil(CALM_MS);
    const leader = leaderIndex(w);
    const before = placesOf(w);
    const its = w.machinesPerNode()[leader] ?? 0;
    w.crash(leader, backMs);
    await w.runUntil(CALM_MS + 6000);
    assert.ok(movedSince(w, before) <= its + 6, `${movedSince(w, before)} moved of ${its} that were its own`);
    const next = w.nodes.find((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
    assert.ok(next !== undefined, 'nobody leads after six seconds');
    await w.runUntil(END_MS);
    assertKept(w);
  });

test('with a process back at once the next leader need not wait for the lease', async () => {
  const w = fleet(3);
  await w.runUntil(CALM_MS);
  const leader = leaderIndex(w);
  w.crash(leader, 100);
  let led: number | null = null;
  const look = (): void => {
    const sure = w.nodes.some((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
    if (sure) led ??= w.time.now;
    else w.time.after(50, look);
  };
  w.time.after(150, look);
  await w.runUntil(CALM_MS + 10_000);
  assert.ok(led !== null && led - CALM_MS < 1500, `led after ${String(led)}`);
  await w.runUntil(END_MS);
  assertKept(w);
});

test('a holder ends and is back in 0.2 s, again and again: its workers go elsewhere and come back, none is killed', async () => {
  const w = fleet(4);
  await w.runUntil(CALM_MS);
  const leader = leaderIndex(w);
  const holder = (leader + 1) % 3;
  for (let n = 0; n < 10; n += 1)
    w.time.after(n * 2000, () => {
      w.crash(holder, 200);
    });
  await w.runUntil(END_MS);
  assert.ok((w.machinesPerNode()[holder] ?? 0) > 0, w.machinesPerNode().join(' '));
  assertKept(w);
});

test('all nodes end at the same instant, and again before they have read the records', async () => {
  const w = fleet(5);
  await w.runUntil(CALM_MS);
  for (const at of [0, 250, 500, 2000])
    w.time.after(at, () => {
      for (let i = 0; i < 3; i += 1) w.crash(i, 200);
    });
  await w.runUntil(END_MS);
  assertKept(w);
});

test('a leader frozen for 30 s comes back to workers that another leads; cancellations held', async () => {
  const w = fleet(6);
  await w.runUntil(CALM_MS);
  w.freeze(leaderIndex(w), 30_000);
  await w.runUntil(END_MS);
  assertKept(w);
});

test('a holder frozen for 30 s goes on with a grant that is over: its workers went elsewhere', async () => {
  const w = fleet(7);
  await w.runUntil(CALM_MS);
  const holder = (leaderIndex(w) + 1) % 3;
  const token = w.nodes[holder]?.controller.leadership.knownLeader()?.fencingToken;
  const there = [...w.workers.values()].filter((x) => x.alive && x.heartbeatNodeIndex === holder);
  assert.ok(there.length > 0);
  w.freeze(holder, 30_000);
  await w.runUntil(CALM_MS + 25_000);
  // Those that came up since try it once.
  assert.deepEqual(
    there.filter((x) => x.alive && x.heartbeatNodeIndex === holder),
    [],
  );
  await w.runUntil(END_MS);
  assert.ok(token !== undefined);
  assertKept(w);
});

test('links between controllers refused for 40 s: workers find the leader itself and nothing stops', async () => {
  const w = fleet(8);
  await w.runUntil(CALM_MS);
  const names = w.nodes.map((n) => n.name as string);
  const pairs = names.flatMap((a, i) => names.slice(i + 1).map((b) => [a, b] as const));
  for (const [a, b] of pairs) w.setLinkRefused(a, b, true);
  await w.runUntil(CALM_MS + 20_000);
  const leader = leaderIndex(w);
  const held = w.machinesPerNode();
  assert.equal(
    held.reduce((a, b) => a + b, 0),
    held[leader],
  );
  await w.runUntil(CALM_MS + 40_000);
  for (const [a, b] of pairs) w.setLinkRefused(a, b, false);
  await w.runUntil(END_MS);
  assert.ok(w.machinesPerNode().filter((n) => n > 0).length > 1, w.machinesPerNode().join(' '));
  assertKept(w);
});

test('messages between controllers held back for a minute and then delivered change nothing', async () => {
  const w = fleet(9);
  await w.runUntil(CALM_MS);
  const names = w.nodes.map((n) => n.name as string);
  const pairs = names.flatMap((a, i) => names.slice(i + 1).map((b) => [a, b] as const));
  for (const [a, b] of pairs) w.network.partition(a, b, 'hold');
  w.time.after(60_000, () => {
    for (const [a, b] of pairs) w.network.heal(a, b);
  });
  await w.runUntil(END_MS);
  assertKept(w);
});

for (const earlier of ['leader', 'holder'] as const)
  test(`a ${earlier} of the version before among the others: workers report to the leader as they did`, async () => {
    const w = fleet(10);
    await w.runUntil(CALM_MS);
    const leader = leaderIndex(w);
    w.previousVersionNodes.add(w.nodes[earlier === 'leader' ? leader : (leader + 1) % 3]?.name ?? '');
    await w.runUntil(CALM_MS + 20_000);
    if (earlier === 'leader')
      assert.equal(w.machinesPerNode()[leader], [...w.workers.values()].filter((x) => x.alive).length);
    await w.runUntil(END_MS);
    assertKept(w);
  });

test('a holder cut off with its zone answers under its grant, and no longer than that', async () => {
  const w = fleet(11);
  await w.runUntil(CALM_MS);
  const holder = (leaderIndex(w) + 1) % 3;
  const zone = w.nodes[holder]?.zone ?? '';
  partitionZone(w, zone, CALM_MS, CALM_MS + 60_000);
  await w.runUntil(END_MS);
  assert.deepEqual(w.checker.violations, []);
  assert.deepEqual(w.checker.underservedGroups(), []);
});

test('the state service is down for 20 s and the leader ends in it: no lease runs out', async () => {
  const w = fleet(12);
  await w.runUntil(CALM_MS);
  w.store.setOutage(true);
  w.time.after(8000, () => {
    w.crash(leaderIndex(w), 200);
  });
  w.time.after(13_000, () => {
    w.store.setOutage(false);
  });
  await w.runUntil(END_MS);
  assertKept(w);
});

test('every node but one ends, again and again, while machines die: what is left serves on', async () => {
  const w = fleet(13);
  await w.runUntil(CALM_MS);
  const stays = leaderIndex(w);
  for (let n = 0; n < 5; n += 1)
    w.time.after(n * 5000, () => {
      for (let i = 0; i < 3; i += 1) if (i !== stays) w.crash(i, 50 + w.random(5000));
      const up = [...w.workers.values()].filter((x) => x.alive);
      up[w.random(up.length)]?.die();
    });
  await w.runUntil(END_MS);
  assertKept(w);
});

// The process before numbered its forwards from one as well; the leader, held up, answers both.
test('answers to a process that has ended are not taken by the one that took its place', async () => {
  const w = fleet(14);
  await w.runUntil(CALM_MS);
  const leader = leaderIndex(w);
  for (let n = 0; n < 12; n += 1) {
    w.time.after(n * 4000, () => {
      w.freeze(leader, 1500);
    });
    for (const holder of [(leader + 1) % 3, (leader + 2) % 3])
      w.time.after(n * 4000 + 600 + w.random(300), () => {
        w.crash(holder, 50);
      });
  }
  await w.runUntil(END_MS);
  assertKept(w);
});

// Were grants endless, what a cut-off holder keeps alive would run beside its replacement and beyond its cancellation.
test('a zone cut off for long while the cloud gives no machine back: grants end before anybody counts on it', async () => {
  const w = fleet(15);
  await w.runUntil(CALM_MS);
  const holder = (leaderIndex(w) + 1) % 3;
  const inside = w.nodes[holder];
  assert.ok(inside !== undefined);
  partitionZone(w, inside.zone, CALM_MS, CALM_MS + 85_000);
  for (const n of w.nodes) w.network.partition(n.name, CLOUD_HOST, 'drop');
  for (const s of w.checker.submitted.values())
    if (s.kind === 'service' && w.random(2) === 0) w.scheduleCancellation(s.id, 1000 + w.random(4000));
  await w.runUntil(CALM_MS + 89_000);
  assert.deepEqual(w.checker.violations, []);
});

// Given back after ten seconds, a third of all replicas was away until machines had booted elsewhere.
test('a zone cut off for less than a lease is left to run: nothing in it ends or starts anew, and it is not believed dead', async () => {
  const w = fleet(16);
  await w.runUntil(CALM_MS);
  const inside = w.nodes[(leaderIndex(w) + 1) % 3];
  assert.ok(inside !== undefined);
  const there = [...w.workers.values()].filter((x) => x.alive && x.zone === inside.zone);
  const replicas = w.checker.runningTasksOfKind('service');
  partitionZone(w, inside.zone, CALM_MS, CALM_MS + 17_000);
  let least = replicas;
  const look = (): void => {
    least = Math.min(least, w.checker.runningTasksOfKind('service'));
    if (w.time.now < CALM_MS + 35_000) w.time.after(500, look);
  };
  look();
  await w.runUntil(CALM_MS + 35_000);
  assert.ok(there.length >= 10, `${there.length} machines`);
  assert.ok(
    there.filter((x) => x.alive).length >= there.length - 3,
    `${there.filter((x) => x.alive).length} of ${there.length} left`,
  );
  assert.ok(least >= replicas - 2, `${least} of ${replicas} replicas`);
  await w.runUntil(END_MS);
  assertKept(w);
});

// Two dead machines, still listed as running, kept all the others from any start for some fourteen seconds.
test('machines that died just before all nodes end hold up nobody for longer than they take to be asked', async () => {
  const w = fleet(17);
  await w.runUntil(CALM_MS);
  const up = [...w.workers.values()].filter((x) => x.alive);
  for (const spot of [true, false]) up.find((x) => x.spot === spot)?.die();
  for (let i = 0; i < 3; i += 1) w.crash(i, 200);
  // What was sent before the end still arrives.
  await w.runUntil(CALM_MS + 1500);
  const before = w.checker.starts;
  let first: number | null = null;
  for (let ms = 1600; first === null && ms < 30_000; ms += 100) {
    await w.runUntil(CALM_MS + ms);
    if (w.checker.starts > before) first = ms;
  }
  assert.ok(first !== null && first < 11_000, `first start after ${String(first)} ms`);
  await w.runUntil(END_MS);
  assertKept(w);
});
