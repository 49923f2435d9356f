import type { JobSpec, MachineType } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { STORE_HOST, World, injectDataLoss, jobSpec, leaderIndex, machineType } from '../src/index.js';
import { assertServed, failOnTwoLeaders } from './support/assertions.js';
import { aliveWorkers, fleetWorld, jobIdSequence } from './support/fleets.js';

const TYPES: readonly MachineType[] = [machineType('s4', 4), machineType('g8', 8, 4)];
const TEAMS = [
  { name: 'red', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: Infinity },
  { name: 'blue', cpus: 600, cpusMax: 1200, gpus: 0, gpusMax: Infinity },
];
/** Faults begin when machines are up and shards are balanced. */
const SETTLED_MS = 70_000;
const END_MS = 170_000;

interface TestFleet {
  readonly world: World;
  readonly spec: (overrides?: Partial<JobSpec>) => JobSpec;
}

/** A fleet with services, arrays and gangs whose tasks run on machines of all shards. */
function startFleet(seed: number, nodes = 3): TestFleet {
  const world = fleetWorld({
    seed,
    nodes,
    teams: TEAMS,
    types: TYPES,
    capacity: 16,
    storeLimits: { rps: 200, writeRps: 60, valueKb: 16, txnOps: 12 },
  });
  failOnTwoLeaders(world);
  const nextId = jobIdSequence();
  const spec = (overrides: Partial<JobSpec> = {}): JobSpec =>
    jobSpec({
      id: nextId(),
      tasks: 8,
      cpus: 2,
      estimateS: 10,
      ...overrides,
    });
  const service = {
    kind: 'service',
    team: 'blue',
    priority: 'production',
    estimateS: 0,
    spot: false,
  } as const;
  for (let i = 0; i < 10; i += 1) world.startUser(spec({ ...service, tasks: 6, spread: true }), null);
  world.time.after(SETTLED_MS - 25_000, () => {
    for (let i = 0; i < 4; i += 1)
      world.startUser(
        spec({ kind: 'gang', tasks: 4, gpus: 4, cpus: 4, checkpointS: 5, saveS: 1, estimateS: 60 }),
        null,
      );
  });
  for (let at = 1000; at < 140_000; at += 4000)
    world.time.after(at, () => {
      world.startUser(spec({ image: `img-${world.random(4)}` }), null);
    });
  return { world, spec };
}

/** Restarts a follower and runs until machines move back to it; returns its index. Fails if no machine moves. */
async function runUntilRebalancing(world: World): Promise<number> {
  await world.runUntil(SETTLED_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  world.crash(follower, 200);
  for (let ms = 1000; ms < 30_000; ms += 100) {
    await world.runUntil(SETTLED_MS + ms);
    if ((world.machinesPerNode()[follower] ?? 0) > 2) return follower;
  }
  assert.fail('no machine moved to the restarted node');
}

for (const restarted of [
  'the leader',
  'the node that machines move to',
  'the leader and the node that machines move to',
  'all nodes',
] as const)
  test(`three restarts of ${restarted}, each within 0.2 s, break no rule during rebalancing`, async () => {
    const { world } = startFleet(1);
    const follower = await runUntilRebalancing(world);
    for (const at of [0, 1500, 4000])
      world.time.after(at, () => {
        const leader = leaderIndex(world);
        const crashed =
          restarted === 'the leader'
            ? [leader]
            : restarted === 'the leader and the node that machines move to'
              ? [leader, follower]
              : restarted === 'all nodes'
                ? [0, 1, 2]
                : [follower];
        for (const i of crashed) world.crash(i, 200);
      });
    await world.runUntil(END_MS);
    assertServed(world);
  });

test('preemption notices and cancellations during rebalancing are handled in time', async () => {
  const { world, spec } = startFleet(2);
  const cancelledSpecs = Array.from({ length: 6 }, () => spec({ estimateS: 60, tasks: 12 }));
  world.time.after(SETTLED_MS - 15_000, () => {
    for (const cancelled of cancelledSpecs) world.startUser(cancelled, null);
  });
  await runUntilRebalancing(world);
  for (const cancelled of cancelledSpecs) world.scheduleCancellation(cancelled.id, world.random(3000));
  for (const worker of aliveWorkers(world).filter((worker) => worker.spot && world.random(3) === 0)) {
    worker.preemptionAtMs = world.time.now + 8000;
    world.time.after(8000, () => {
      world.reclaimMachine(worker.id);
    });
  }
  await world.runUntil(END_MS);
  assertServed(world);
});

test('gangs across three shards start, stop gracefully and recover from machine losses while nodes crash', async () => {
  const { world } = startFleet(3);
  await world.runUntil(SETTLED_MS);
  const shards = new Set(aliveWorkers(world).map((worker) => worker.heartbeatNodeIndex));
  assert.equal(shards.size, 3);
  const leader = leaderIndex(world);
  for (let n = 0; n < 6; n += 1)
    world.time.after(n * 3000, () => {
      world.crash((leader + 1 + (n % 2)) % 3, 200);
      const candidates = aliveWorkers(world).filter((worker) => worker.type.name === 'g8');
      const lost = candidates[world.random(candidates.length)];
      if (lost === undefined) return;
      if (n % 2 === 0) lost.die();
      else {
        lost.preemptionAtMs = world.time.now + 8000;
        world.time.after(8000, () => {
          world.reclaimMachine(lost.id);
        });
      }
    });
  await world.runUntil(END_MS);
  assertServed(world);
  assert.ok(
    [...world.gangAttempts.values()].some((n) => n > 1),
    'no gang was interrupted',
  );
});

for (const restartMs of [200, 8000])
  test(`a store rollback and a node crash for ${restartMs} ms during rebalancing break no rule`, async () => {
    const { world } = startFleet(4);
    const follower = await runUntilRebalancing(world);
    injectDataLoss(world, 'rolled back 2 s', world.time.now + 2500);
    world.time.after(3000, () => {
      world.crash(follower, restartMs);
    });
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, []);
    assert.deepEqual(world.checker.underservedGroups(), []);
  });

test('when two of five nodes crash together, and later two others, the workers switch to the remaining nodes', async () => {
  const { world } = startFleet(6, 5);
  await world.runUntil(SETTLED_MS);
  const leader = leaderIndex(world);
  const initialWorkers = aliveWorkers(world);
  for (const [n, at] of [0, 40_000].entries())
    world.time.after(at, () => {
      for (const i of [leader + 2 * n, leader + 2 * n + 1]) world.crash(i % 5, 25_000);
    });
  // A crashed process does not respond in the simulation, so a worker that tries both crashed nodes needs ten seconds.
  await world.runUntil(SETTLED_MS + 16_000);
  const nodesInUse = new Set(
    initialWorkers.filter((worker) => worker.alive).map((worker) => worker.heartbeatNodeIndex),
  );
  assert.deepEqual(
    [...nodesInUse].sort((a, b) => a - b),
    [0, 1, 2, 3, 4].filter((i) => i !== leader && i !== (leader + 1) % 5),
  );
  await world.runUntil(END_MS);
  assertServed(world);
});

test('a worker that gets responses of two nodes with different fencing tokens follows only the higher token', async () => {
  const { world } = startFleet(5);
  await world.runUntil(SETTLED_MS);
  const old = leaderIndex(world);
  const names = world.nodes.map((node) => node.name as string);
  // The old leader is partitioned from the store, and both it and one follower lose their links to the third node. The
  // old leader can therefore keep responding to workers beside the next leader.
  const [kept = 0, next = 0] = [0, 1, 2].filter((i) => i !== old);
  for (const i of [old, kept]) world.setLinkRefused(names[i] ?? '', names[next] ?? '', true);
  world.network.partition(names[old] ?? '', STORE_HOST, 'hold');
  await world.runUntil(SETTLED_MS + 12_000);
  assert.notEqual(leaderIndex(world), old);
  world.network.heal(names[old] ?? '', STORE_HOST);
  for (const i of [old, kept]) world.setLinkRefused(names[i] ?? '', names[next] ?? '', false);
  await world.runUntil(END_MS);
  // Every worker has a token of the latest term; tokens of different terms never mix.
  const latestElection = Math.max(...world.nodes.map((node) => node.controller.leadership.fencingToken));
  assert.deepEqual(
    aliveWorkers(world).filter((worker) => worker.highestFencingToken < latestElection),
    [],
  );
  assertServed(world);
});
