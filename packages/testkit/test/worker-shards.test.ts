import type { MachineType } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WorldOptions } from '../src/index.js';
import { CLOUD_HOST, World, jobSpec, leaderIndex, machineType, partitionZone } from '../src/index.js';
import { assertServed, failOnTwoLeaders } from './support/assertions.js';
import { aliveWorkers, fleetWorld, jobIdSequence } from './support/fleets.js';

const TYPES: readonly MachineType[] = [machineType('s4', 4), machineType('m16', 16)];
const TEAMS = [
  { name: 'red', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: 0 },
];
/** Faults begin when machines are up and shards are balanced. */
const SETTLED_MS = 70_000;
const END_MS = 160_000;

/** About seventy machines with long-running services and short arrays. */
function startFleet(seed: number, overrides: Partial<WorldOptions> = {}): World {
  const world = fleetWorld({
    seed,
    teams: TEAMS,
    types: TYPES,
    capacity: 20,
    storeLimits: { rps: 200, writeRps: 60, valueKb: 16, txnOps: 12 },
    ...overrides,
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

/** The number of machines whose workers send their heartbeats to another node than before. */
function countMovedSince(world: World, before: ReadonlyMap<string, number>): number {
  return [...world.workers.values()].filter((worker) => {
    const previousNode = before.get(worker.id);
    return worker.alive && previousNode !== undefined && previousNode !== worker.heartbeatNodeIndex;
  }).length;
}

/** For each machine, the index of the node to which its worker sends its heartbeats. */
function heartbeatNodes(world: World): Map<string, number> {
  return new Map(aliveWorkers(world).map((worker) => [worker.id, worker.heartbeatNodeIndex]));
}

test('workers that all start at one node are distributed over all nodes, with the fewest on the leader', async () => {
  const world = startFleet(1);
  await world.runUntil(SETTLED_MS);
  const machineCounts = world.machinesPerNode();
  const leader = leaderIndex(world);
  assert.ok(
    machineCounts.every((n) => n > 0),
    machineCounts.join(' '),
  );
  for (const [i, n] of machineCounts.entries())
    if (i !== leader) assert.ok(n >= (machineCounts[leader] ?? 0), machineCounts.join(' '));
  await world.runUntil(END_MS);
  assertServed(world);
});

for (const restartMs of [100, 200, 8000])
  test(`when the leader crashes for ${restartMs} ms hardly any other node's workers move and no lease expires`, async () => {
    const world = startFleet(2);
    await world.runUntil(SETTLED_MS);
    const leader = leaderIndex(world);
    const before = heartbeatNodes(world);
    const leaderWorkers = world.machinesPerNode()[leader] ?? 0;
    world.crash(leader, restartMs);
    await world.runUntil(SETTLED_MS + 6000);
    assert.ok(
      countMovedSince(world, before) <= leaderWorkers + 6,
      `${countMovedSince(world, before)} workers moved, the leader had ${leaderWorkers}`,
    );
    const next = world.nodes.find((node) => node.clock.alive && node.controller.leadership.holdsValidLease());
    assert.ok(next !== undefined, 'no node leads after six seconds');
    await world.runUntil(END_MS);
    assertServed(world);
  });

test("when the leader's process restarts at once the next leader is elected without waiting for the lease to expire", async () => {
  const world = startFleet(3);
  await world.runUntil(SETTLED_MS);
  const leader = leaderIndex(world);
  world.crash(leader, 100);
  let electedMs: number | null = null;
  const check = (): void => {
    const hasLeader = world.nodes.some(
      (node) => node.clock.alive && node.controller.leadership.holdsValidLease(),
    );
    if (hasLeader) electedMs ??= world.time.now;
    else world.time.after(50, check);
  };
  world.time.after(150, check);
  await world.runUntil(SETTLED_MS + 10_000);
  assert.ok(electedMs !== null && electedMs - SETTLED_MS < 1500, `elected at ${String(electedMs)}`);
  await world.runUntil(END_MS);
  assertServed(world);
});

test('a node that restarts repeatedly within 0.2 s regains its workers, and no task is killed', async () => {
  const world = startFleet(4);
  await world.runUntil(SETTLED_MS);
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

test('simultaneous crashes of all nodes, repeated before they have read the records, break no rule', async () => {
  const world = startFleet(5);
  await world.runUntil(SETTLED_MS);
  for (const at of [0, 250, 500, 2000])
    world.time.after(at, () => {
      for (let i = 0; i < 3; i += 1) world.crash(i, 200);
    });
  await world.runUntil(END_MS);
  assertServed(world);
});

test('a leader that is frozen for 30 s and resumes while another node leads breaks no rule, and cancellations remain final', async () => {
  const world = startFleet(6);
  await world.runUntil(SETTLED_MS);
  world.freeze(leaderIndex(world), 30_000);
  await world.runUntil(END_MS);
  assertServed(world);
});

test('the workers of a node that is frozen for 30 s switch to other nodes when its lease delegation expires', async () => {
  const world = startFleet(7);
  await world.runUntil(SETTLED_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  const token = world.nodes[follower]?.controller.leadership.knownLeader()?.fencingToken;
  const itsWorkers = aliveWorkers(world).filter((worker) => worker.heartbeatNodeIndex === follower);
  assert.ok(itsWorkers.length > 0);
  world.freeze(follower, 30_000);
  await world.runUntil(SETTLED_MS + 25_000);
  // Workers that started since then are left out, because they may try the frozen node once.
  assert.deepEqual(
    itsWorkers.filter((worker) => worker.alive && worker.heartbeatNodeIndex === follower),
    [],
  );
  await world.runUntil(END_MS);
  assert.ok(token !== undefined);
  assertServed(world);
});

test('when links between controllers are refused for 40 s workers switch to the leader and no task stops', async () => {
  const world = startFleet(8);
  await world.runUntil(SETTLED_MS);
  const names = world.nodes.map((node) => node.name as string);
  const pairs = names.flatMap((a, i) => names.slice(i + 1).map((b) => [a, b] as const));
  for (const [a, b] of pairs) world.setLinkRefused(a, b, true);
  await world.runUntil(SETTLED_MS + 20_000);
  const leader = leaderIndex(world);
  const machineCounts = world.machinesPerNode();
  assert.equal(
    machineCounts.reduce((a, b) => a + b, 0),
    machineCounts[leader],
  );
  await world.runUntil(SETTLED_MS + 40_000);
  for (const [a, b] of pairs) world.setLinkRefused(a, b, false);
  await world.runUntil(END_MS);
  assert.ok(world.machinesPerNode().filter((n) => n > 0).length > 1, world.machinesPerNode().join(' '));
  assertServed(world);
});

test('messages between controllers that are delayed by a minute break no rule when they arrive', async () => {
  const world = startFleet(9);
  await world.runUntil(SETTLED_MS);
  const names = world.nodes.map((node) => node.name as string);
  const pairs = names.flatMap((a, i) => names.slice(i + 1).map((b) => [a, b] as const));
  for (const [a, b] of pairs) world.network.partition(a, b, 'hold');
  world.time.after(60_000, () => {
    for (const [a, b] of pairs) world.network.heal(a, b);
  });
  await world.runUntil(END_MS);
  assertServed(world);
});

for (const role of ['leader', 'follower'] as const)
  test(`with a ${role} of the previous version workers send their heartbeats to the leader`, async () => {
    const world = startFleet(10);
    await world.runUntil(SETTLED_MS);
    const leader = leaderIndex(world);
    world.previousVersionNodes.add(world.nodes[role === 'leader' ? leader : (leader + 1) % 3]?.name ?? '');
    await world.runUntil(SETTLED_MS + 20_000);
    if (role === 'leader') assert.equal(world.machinesPerNode()[leader], aliveWorkers(world).length);
    await world.runUntil(END_MS);
    assertServed(world);
  });

test('a node that is partitioned with its zone renews leases only until its delegation expires', async () => {
  const world = startFleet(11);
  await world.runUntil(SETTLED_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  const zone = world.nodes[follower]?.zone ?? '';
  partitionZone(world, zone, SETTLED_MS, SETTLED_MS + 60_000);
  await world.runUntil(END_MS);
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(world.checker.underservedGroups(), []);
});

test('no worker lease expires when the leader crashes during a store outage of 13 s', async () => {
  const world = startFleet(12);
  await world.runUntil(SETTLED_MS);
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

test('the remaining node keeps serving while all other nodes crash repeatedly and machines are lost', async () => {
  const world = startFleet(13);
  await world.runUntil(SETTLED_MS);
  const survivor = leaderIndex(world);
  for (let n = 0; n < 5; n += 1)
    world.time.after(n * 5000, () => {
      for (let i = 0; i < 3; i += 1) if (i !== survivor) world.crash(i, 50 + world.random(5000));
      const workers = aliveWorkers(world);
      workers[world.random(workers.length)]?.die();
    });
  await world.runUntil(END_MS);
  assertServed(world);
});

// The previous process of a node also numbered its forwarded heartbeats from one. A leader that resumes after a freeze
// responds to the heartbeats of both processes.
test('a restarted process ignores responses to the requests of its previous process', async () => {
  const world = startFleet(14);
  await world.runUntil(SETTLED_MS);
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

// If lease delegations did not expire, a partitioned node would keep tasks running beside their replacements and after
// their cancellation.
test('lease delegations in a zone that is partitioned for long expire before tasks are replaced, even if the cloud releases no machine', async () => {
  const world = startFleet(15);
  await world.runUntil(SETTLED_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  const inside = world.nodes[follower];
  assert.ok(inside !== undefined);
  partitionZone(world, inside.zone, SETTLED_MS, SETTLED_MS + 85_000);
  for (const node of world.nodes) world.network.partition(node.name, CLOUD_HOST, 'drop');
  for (const spec of world.checker.submitted.values())
    if (spec.kind === 'service' && world.random(2) === 0)
      world.scheduleCancellation(spec.id, 1000 + world.random(4000));
  await world.runUntil(SETTLED_MS + 89_000);
  assert.deepEqual(world.checker.violations, []);
});

// When the machines of a partitioned zone were released after ten seconds, a third of all replicas was missing until
// machines elsewhere had booted.
test('tasks in a zone that is partitioned for less than a lease keep running, and its machines are not released', async () => {
  const releases: { readonly machine?: unknown; readonly reason?: unknown }[] = [];
  const world = startFleet(16, {
    log: {
      debug: () => undefined,
      error: () => undefined,
      info: (fields, message) => {
        if (message === 'machine release queued') releases.push(fields);
      },
    },
  });
  await world.runUntil(SETTLED_MS);
  const inside = world.nodes[(leaderIndex(world) + 1) % 3];
  assert.ok(inside !== undefined);
  const itsWorkers = aliveWorkers(world).filter((worker) => worker.zone === inside.zone);
  const busyWorkers = itsWorkers.filter((worker) => worker.occupyingTasks().length > 0);
  const replicas = world.checker.runningTasksOfKind('service');
  releases.length = 0;
  partitionZone(world, inside.zone, SETTLED_MS, SETTLED_MS + 17_000);
  let minReplicas = replicas;
  const check = (): void => {
    minReplicas = Math.min(minReplicas, world.checker.runningTasksOfKind('service'));
    if (world.time.now < SETTLED_MS + 35_000) world.time.after(500, check);
  };
  check();
  await world.runUntil(SETTLED_MS + 35_000);
  assert.ok(itsWorkers.length >= 10, `${itsWorkers.length} machines`);
  assert.ok(busyWorkers.length >= 10, `${busyWorkers.length} machines with tasks`);
  assert.deepEqual(
    busyWorkers.filter((worker) => !worker.alive),
    [],
  );
  // Empty machines may be scaled in meanwhile, as at any time.
  const ids = new Set<unknown>(itsWorkers.map((worker) => worker.id));
  assert.deepEqual(
    releases.filter(({ machine, reason }) => ids.has(machine) && reason !== 'scaled in'),
    [],
  );
  assert.ok(minReplicas >= replicas - 2, `${minReplicas} of ${replicas} replicas`);
  await world.runUntil(END_MS);
  assertServed(world);
});

// Two failed machines that were still listed as running prevented starts on all other machines for about 14 seconds.
test('machines that fail just before all nodes crash delay starts only as long as their status requests take', async () => {
  const world = startFleet(17);
  await world.runUntil(SETTLED_MS);
  const workers = aliveWorkers(world);
  for (const spot of [true, false]) workers.find((worker) => worker.spot === spot)?.die();
  for (let i = 0; i < 3; i += 1) world.crash(i, 200);
  // Messages that were sent before the crash still arrive.
  await world.runUntil(SETTLED_MS + 1500);
  const before = world.checker.starts;
  let firstStartMs: number | null = null;
  for (let ms = 1600; firstStartMs === null && ms < 30_000; ms += 100) {
    await world.runUntil(SETTLED_MS + ms);
    if (world.checker.starts > before) firstStartMs = ms;
  }
  assert.ok(firstStartMs !== null && firstStartMs < 11_000, `first start after ${String(firstStartMs)} ms`);
  await world.runUntil(END_MS);
  assertServed(world);
});
