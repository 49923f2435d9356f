import type { MachineType } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { CLOUD_HOST, World, jobSpec, leaderIndex, machineType, partitionZone } from '../src/index.js';
import { assertServed, failOnTwoLeaders } from './support/assertions.js';
import { aliveWorkers, fleetWorld, jobIdSequence } from './support/fleets.js';

const TYPES: readonly MachineType[] = [machineType('s4', 4), machineType('m16', 16)];
const TEAMS = [
  { name: 'red', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: 0 },
];
/** Faults begin when machines are up and shards are even. */
const CALM_MS = 70_000;
const END_MS = 160_000;

/** Some seventy machines with services that stay and arrays that come and go. */
function fleet(seed: number): World {
  const world = fleetWorld({
    seed,
    teams: TEAMS,
    types: TYPES,
    capacity: 20,
    storeLimits: { rps: 200, writeRps: 60, valueKb: 16, txnOps: 12 },
  });
  failOnTwoLeaders(world);
  const id = jobIdSequence();
  for (let i = 0; i < 16; i += 1)
    world.startUser(
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
    world.time.after(at, () => {
      const cancelAt = world.random(4) === 0 ? world.time.now + 2000 + world.random(20_000) : null;
      world.startUser(
        jobSpec({ id: id(), tasks: 12, cpus: 2, estimateS: 10, image: `img-${world.random(4)}` }),
        cancelAt,
      );
    });
  return world;
}

/** How many machines send their heartbeats to another node than before. */
function movedSince(world: World, before: ReadonlyMap<string, number>): number {
  return [...world.workers.values()].filter((worker) => {
    const was = before.get(worker.id);
    return worker.alive && was !== undefined && was !== worker.heartbeatNodeIndex;
  }).length;
}

function placesOf(world: World): Map<string, number> {
  return new Map(aliveWorkers(world).map((worker) => [worker.id, worker.heartbeatNodeIndex]));
}

test('workers that all begin at one node are spread over all nodes, with the fewest on the leader', async () => {
  const world = fleet(1);
  await world.runUntil(CALM_MS);
  const held = world.machinesPerNode();
  const leader = leaderIndex(world);
  assert.ok(
    held.every((n) => n > 0),
    held.join(' '),
  );
  for (const [i, n] of held.entries()) if (i !== leader) assert.ok(n >= (held[leader] ?? 0), held.join(' '));
  await world.runUntil(END_MS);
  assertServed(world);
});

for (const backMs of [100, 200, 8000])
  test(`when the leader ends for ${backMs} ms no other node's workers move and no lease runs out`, async () => {
    const world = fleet(2);
    await world.runUntil(CALM_MS);
    const leader = leaderIndex(world);
    const before = placesOf(world);
    const its = world.machinesPerNode()[leader] ?? 0;
    world.crash(leader, backMs);
    await world.runUntil(CALM_MS + 6000);
    assert.ok(
      movedSince(world, before) <= its + 6,
      `${movedSince(world, before)} moved of ${its} that were its own`,
    );
    const next = world.nodes.find((node) => node.clock.alive && node.controller.leadership.holdsValidLease());
    assert.ok(next !== undefined, 'nobody leads after six seconds');
    await world.runUntil(END_MS);
    assertServed(world);
  });

test("when the leader's process is back at once the next leader does not wait for the lease", async () => {
  const world = fleet(3);
  await world.runUntil(CALM_MS);
  const leader = leaderIndex(world);
  world.crash(leader, 100);
  let led: number | null = null;
  const look = (): void => {
    const sure = world.nodes.some((node) => node.clock.alive && node.controller.leadership.holdsValidLease());
    if (sure) led ??= world.time.now;
    else world.time.after(50, look);
  };
  world.time.after(150, look);
  await world.runUntil(CALM_MS + 10_000);
  assert.ok(led !== null && led - CALM_MS < 1500, `led after ${String(led)}`);
  await world.runUntil(END_MS);
  assertServed(world);
});

test('a node that restarts within 0.2 s again and again loses and regains its workers, and none is killed', async () => {
  const world = fleet(4);
  await world.runUntil(CALM_MS);
  const leader = leaderIndex(world);
  const follower = (leader + 1) % 3;
  for (let n = 0; n < 10; n += 1)
    world.time.after(n * 2000, () => {
      world.crash(follower, 200);
    });
  await world.runUntil(END_MS);
  assert.ok((world.machinesPerNode()[follower] ?? 0) > 0, world.machinesPerNode().join(' '));
  assertServed(world);
});

test('all nodes that end at the same instant, and again before they have read the records, break no rule', async () => {
  const world = fleet(5);
  await world.runUntil(CALM_MS);
  for (const at of [0, 250, 500, 2000])
    world.time.after(at, () => {
      for (let i = 0; i < 3; i += 1) world.crash(i, 200);
    });
  await world.runUntil(END_MS);
  assertServed(world);
});

test('a leader frozen for 30 s comes back to workers that another node leads, and cancellations hold', async () => {
  const world = fleet(6);
  await world.runUntil(CALM_MS);
  world.freeze(leaderIndex(world), 30_000);
  await world.runUntil(END_MS);
  assertServed(world);
});

test('the workers of a node frozen for 30 s move elsewhere when its lease delegation is over', async () => {
  const world = fleet(7);
  await world.runUntil(CALM_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  const token = world.nodes[follower]?.controller.leadership.knownLeader()?.fencingToken;
  const there = aliveWorkers(world).filter((worker) => worker.heartbeatNodeIndex === follower);
  assert.ok(there.length > 0);
  world.freeze(follower, 30_000);
  await world.runUntil(CALM_MS + 25_000);
  // Those that came up since try it once.
  assert.deepEqual(
    there.filter((worker) => worker.alive && worker.heartbeatNodeIndex === follower),
    [],
  );
  await world.runUntil(END_MS);
  assert.ok(token !== undefined);
  assertServed(world);
});

test('with links between controllers refused for 40 s workers find the leader itself and nothing stops', async () => {
  const world = fleet(8);
  await world.runUntil(CALM_MS);
  const names = world.nodes.map((node) => node.name as string);
  const pairs = names.flatMap((a, i) => names.slice(i + 1).map((b) => [a, b] as const));
  for (const [a, b] of pairs) world.setLinkRefused(a, b, true);
  await world.runUntil(CALM_MS + 20_000);
  const leader = leaderIndex(world);
  const held = world.machinesPerNode();
  assert.equal(
    held.reduce((a, b) => a + b, 0),
    held[leader],
  );
  await world.runUntil(CALM_MS + 40_000);
  for (const [a, b] of pairs) world.setLinkRefused(a, b, false);
  await world.runUntil(END_MS);
  assert.ok(world.machinesPerNode().filter((n) => n > 0).length > 1, world.machinesPerNode().join(' '));
  assertServed(world);
});

test('messages between controllers held back for a minute change nothing when they arrive', async () => {
  const world = fleet(9);
  await world.runUntil(CALM_MS);
  const names = world.nodes.map((node) => node.name as string);
  const pairs = names.flatMap((a, i) => names.slice(i + 1).map((b) => [a, b] as const));
  for (const [a, b] of pairs) world.network.partition(a, b, 'hold');
  world.time.after(60_000, () => {
    for (const [a, b] of pairs) world.network.heal(a, b);
  });
  await world.runUntil(END_MS);
  assertServed(world);
});

for (const earlier of ['leader', 'follower'] as const)
  test(`with a ${earlier} of the previous version workers send their heartbeats to the leader as before`, async () => {
    const world = fleet(10);
    await world.runUntil(CALM_MS);
    const leader = leaderIndex(world);
    world.previousVersionNodes.add(world.nodes[earlier === 'leader' ? leader : (leader + 1) % 3]?.name ?? '');
    await world.runUntil(CALM_MS + 20_000);
    if (earlier === 'leader') assert.equal(world.machinesPerNode()[leader], aliveWorkers(world).length);
    await world.runUntil(END_MS);
    assertServed(world);
  });

test('a node cut off with its zone renews leases by its delegation, and no longer than that', async () => {
  const world = fleet(11);
  await world.runUntil(CALM_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  const zone = world.nodes[follower]?.zone ?? '';
  partitionZone(world, zone, CALM_MS, CALM_MS + 60_000);
  await world.runUntil(END_MS);
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.checker.underservedGroups(), []);
});

test('no lease runs out when the leader ends during a store outage of 20 s', async () => {
  const world = fleet(12);
  await world.runUntil(CALM_MS);
  world.store.setOutage(true);
  world.time.after(8000, () => {
    world.crash(leaderIndex(world), 200);
  });
  world.time.after(13_000, () => {
    world.store.setOutage(false);
  });
  await world.runUntil(END_MS);
  assertServed(world);
});

test('the remaining node serves on while all others end again and again and machines are lost', async () => {
  const world = fleet(13);
  await world.runUntil(CALM_MS);
  const stays = leaderIndex(world);
  for (let n = 0; n < 5; n += 1)
    world.time.after(n * 5000, () => {
      for (let i = 0; i < 3; i += 1) if (i !== stays) world.crash(i, 50 + world.random(5000));
      const up = aliveWorkers(world);
      up[world.random(up.length)]?.die();
    });
  await world.runUntil(END_MS);
  assertServed(world);
});

// The process before numbered its forwards from one as well; the leader, held up, answers both.
test('responses to a process that has ended are not taken by its successor', async () => {
  const world = fleet(14);
  await world.runUntil(CALM_MS);
  const leader = leaderIndex(world);
  for (let n = 0; n < 12; n += 1) {
    world.time.after(n * 4000, () => {
      world.freeze(leader, 1500);
    });
    for (const follower of [(leader + 1) % 3, (leader + 2) % 3])
      world.time.after(n * 4000 + 600 + world.random(300), () => {
        world.crash(follower, 50);
      });
  }
  await world.runUntil(END_MS);
  assertServed(world);
});

// With endless lease delegations, tasks kept alive by a cut-off node would run beside their replacements and beyond their cancellation.
test('lease delegations in a zone cut off for long end before anybody counts on it, though the cloud releases nothing', async () => {
  const world = fleet(15);
  await world.runUntil(CALM_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  const inside = world.nodes[follower];
  assert.ok(inside !== undefined);
  partitionZone(world, inside.zone, CALM_MS, CALM_MS + 85_000);
  for (const node of world.nodes) world.network.partition(node.name, CLOUD_HOST, 'drop');
  for (const spec of world.checker.submitted.values())
    if (spec.kind === 'service' && world.random(2) === 0)
      world.scheduleCancellation(spec.id, 1000 + world.random(4000));
  await world.runUntil(CALM_MS + 89_000);
  assert.deepEqual(world.checker.violations, []);
});

// Given back after ten seconds, a third of all replicas was away until machines had booted elsewhere.
test('a zone cut off for less than a lease is left to run: nothing in it ends or restarts, and it is not declared dead', async () => {
  const world = fleet(16);
  await world.runUntil(CALM_MS);
  const inside = world.nodes[(leaderIndex(world) + 1) % 3];
  assert.ok(inside !== undefined);
  const there = aliveWorkers(world).filter((worker) => worker.zone === inside.zone);
  const replicas = world.checker.runningTasksOfKind('service');
  partitionZone(world, inside.zone, CALM_MS, CALM_MS + 17_000);
  let least = replicas;
  const look = (): void => {
    least = Math.min(least, world.checker.runningTasksOfKind('service'));
    if (world.time.now < CALM_MS + 35_000) world.time.after(500, look);
  };
  look();
  await world.runUntil(CALM_MS + 35_000);
  assert.ok(there.length >= 10, `${there.length} machines`);
  assert.ok(
    there.filter((worker) => worker.alive).length >= there.length - 3,
    `${there.filter((worker) => worker.alive).length} of ${there.length} left`,
  );
  assert.ok(least >= replicas - 2, `${least} of ${replicas} replicas`);
  await world.runUntil(END_MS);
  assertServed(world);
});

// Two dead machines, still listed as running, kept all the others from any start for some fourteen seconds.
test('machines that died just before all nodes end delay no start for longer than their status requests take', async () => {
  const world = fleet(17);
  await world.runUntil(CALM_MS);
  const up = aliveWorkers(world);
  for (const spot of [true, false]) up.find((worker) => worker.spot === spot)?.die();
  for (let i = 0; i < 3; i += 1) world.crash(i, 200);
  // What was sent before the end still arrives.
  await world.runUntil(CALM_MS + 1500);
  const before = world.checker.starts;
  let first: number | null = null;
  for (let ms = 1600; first === null && ms < 30_000; ms += 100) {
    await world.runUntil(CALM_MS + ms);
    if (world.checker.starts > before) first = ms;
  }
  assert.ok(first !== null && first < 11_000, `first start after ${String(first)} ms`);
  await world.runUntil(END_MS);
  assertServed(world);
});
