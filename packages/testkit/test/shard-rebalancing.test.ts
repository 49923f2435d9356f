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
const CALM_MS = 70_000;
const END_MS = 170_000;

interface Site {
  readonly world: World;
  readonly spec: (over?: Partial<JobSpec>) => JobSpec;
}

/** Machines with services, arrays and gangs whose tasks are on machines of all three shards. */
function site(seed: number, nodes = 3): Site {
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
  const spec = (over: Partial<JobSpec> = {}): JobSpec =>
    jobSpec({
      id: nextId(),
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
  for (let i = 0; i < 10; i += 1) world.startUser(spec({ ...service, tasks: 6, spread: true }), null);
  world.time.after(CALM_MS - 25_000, () => {
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

/** Runs until a node sheds machines: one that held none has come back. Fails where nothing moves. */
async function untilMoving(world: World): Promise<number> {
  await world.runUntil(CALM_MS);
  const follower = (leaderIndex(world) + 1) % 3;
  world.crash(follower, 200);
  for (let ms = 1000; ms < 30_000; ms += 100) {
    await world.runUntil(CALM_MS + ms);
    if ((world.machinesPerNode()[follower] ?? 0) > 2) return follower;
  }
  assert.fail('nothing moved to the node that was back');
}

for (const who of ['the leader', 'the node that machines move to', 'both', 'all nodes'] as const)
  test(`rebalancing survives three restarts within 0.2 s of ${who}`, async () => {
    const { world } = site(1);
    const follower = await untilMoving(world);
    for (const at of [0, 1500, 4000])
      world.time.after(at, () => {
        const leader = leaderIndex(world);
        const ended =
          who === 'the leader'
            ? [leader]
            : who === 'both'
              ? [leader, follower]
              : who === 'all nodes'
                ? [0, 1, 2]
                : [follower];
        for (const i of ended) world.crash(i, 200);
      });
    await world.runUntil(END_MS);
    assertServed(world);
  });

test('preemption notices and cancellations during rebalancing are honoured in time', async () => {
  const { world, spec } = site(2);
  const doomed = Array.from({ length: 6 }, () => spec({ estimateS: 60, tasks: 12 }));
  world.time.after(CALM_MS - 15_000, () => {
    for (const spec of doomed) world.startUser(spec, null);
  });
  await untilMoving(world);
  for (const spec of doomed) world.scheduleCancellation(spec.id, world.random(3000));
  for (const worker of aliveWorkers(world).filter((worker) => worker.spot && world.random(3) === 0)) {
    worker.preemptionAtMs = world.time.now + 8000;
    world.time.after(8000, () => {
      world.reclaimMachine(worker.id);
    });
  }
  await world.runUntil(END_MS);
  assertServed(world);
});

test('gangs over three shards are started, gracefully stopped and broken while nodes end', async () => {
  const { world } = site(3);
  await world.runUntil(CALM_MS);
  const shards = new Set(aliveWorkers(world).map((worker) => worker.heartbeatNodeIndex));
  assert.equal(shards.size, 3);
  const leader = leaderIndex(world);
  for (let n = 0; n < 6; n += 1)
    world.time.after(n * 3000, () => {
      world.crash((leader + 1 + (n % 2)) % 3, 200);
      const some = aliveWorkers(world).filter((worker) => worker.type.name === 'g8');
      const x = some[world.random(some.length)];
      if (x === undefined) return;
      if (n % 2 === 0) x.die();
      else {
        x.preemptionAtMs = world.time.now + 8000;
        world.time.after(8000, () => {
          world.reclaimMachine(x.id);
        });
      }
    });
  await world.runUntil(END_MS);
  assertServed(world);
  assert.ok(
    [...world.gangAttempts.values()].some((n) => n > 1),
    'no gang was broken or stopped',
  );
});

for (const backMs of [200, 8000])
  test(`a store rollback during rebalancing and a node that ends for ${backMs} ms break no rule`, async () => {
    const { world } = site(4);
    const follower = await untilMoving(world);
    injectDataLoss(world, 'rolled back 2 s', world.time.now + 2500);
    world.time.after(3000, () => {
      world.crash(follower, backMs);
    });
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, []);
    assert.deepEqual(world.checker.underservedGroups(), []);
  });

test('when two of five nodes end together, and later two others, the machines spread over those left', async () => {
  const { world } = site(6, 5);
  await world.runUntil(CALM_MS);
  const leader = leaderIndex(world);
  const up = aliveWorkers(world);
  for (const [n, at] of [0, 40_000].entries())
    world.time.after(at, () => {
      for (const i of [leader + 2 * n, leader + 2 * n + 1]) world.crash(i % 5, 25_000);
    });
  // In the stand-in an ended process is silent: two in a row cost a worker ten seconds.
  await world.runUntil(CALM_MS + 16_000);
  const places = new Set(up.filter((worker) => worker.alive).map((worker) => worker.heartbeatNodeIndex));
  assert.deepEqual(
    [...places].sort((a, b) => a - b),
    [0, 1, 2, 3, 4].filter((i) => i !== leader && i !== (leader + 1) % 5),
  );
  await world.runUntil(END_MS);
  assertServed(world);
});

test('a worker with responses of two nodes under different fencing tokens follows the higher one alone', async () => {
  const { world } = site(5);
  await world.runUntil(CALM_MS);
  const old = leaderIndex(world);
  const names = world.nodes.map((node) => node.name as string);
  // The old leader and one follower know nothing of the next leader, which the other node follows.
  const [kept = 0, next = 0] = [0, 1, 2].filter((i) => i !== old);
  for (const i of [old, kept]) world.setLinkRefused(names[i] ?? '', names[next] ?? '', true);
  world.network.partition(names[old] ?? '', STORE_HOST, 'hold');
  await world.runUntil(CALM_MS + 12_000);
  assert.notEqual(leaderIndex(world), old);
  world.network.heal(names[old] ?? '', STORE_HOST);
  for (const i of [old, kept]) world.setLinkRefused(names[i] ?? '', names[next] ?? '', false);
  await world.runUntil(END_MS);
  assert.equal(new Set(aliveWorkers(world).map((worker) => worker.highestFencingToken)).size, 1);
  assertServed(world);
});
