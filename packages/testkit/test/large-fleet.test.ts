import type { JobId, MachineType } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toHeartbeatResponse } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import { jobSpec, machineType } from '../src/index.js';
import { aliveWorkers, fleetWorld, jobIdSequence } from './support/fleets.js';

const TYPES: readonly MachineType[] = [machineType('s4', 4), machineType('m16', 16), machineType('l32', 32)];
const TEAMS = [
  { name: 'red', cpus: 1500, cpusMax: 3000, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 800, cpusMax: 1600, gpus: 0, gpusMax: 0 },
];
const ARRIVALS_END_MS = 70_000;
const END_MS = 200_000;

/** Hundreds of machines and thousands of tasks, with a store that allows few mutations per second. */
function startLargeFleet(seed: number): World {
  const world = fleetWorld({
    seed,
    teams: TEAMS,
    types: TYPES,
    capacity: 40,
    storeLimits: { rps: 150, writeRps: 25, valueKb: 16, txnOps: 12 },
  });
  const id = jobIdSequence();
  const startArray = (): void => {
    world.startUser(
      jobSpec({
        id: id(),
        tasks: 10 + world.random(50),
        cpus: 2 + world.random(4),
        memoryGb: 6,
        estimateS: 8 + world.random(25),
        imageGb: 1.8,
        image: `img-${world.random(10)}`,
        deadlineS: 90,
      }),
      world.random(20) === 0 ? 5000 + world.random(ARRIVALS_END_MS) : null,
    );
  };
  const startService = (): void => {
    world.startUser(
      jobSpec({
        id: id(),
        kind: 'service',
        team: 'blue',
        priority: 'production',
        tasks: 3 + world.random(8),
        estimateS: 0,
        spot: false,
        spread: true,
        image: `srv-${world.random(12)}`,
      }),
      null,
    );
  };
  for (let i = 0; i < 12; i += 1) startArray();
  for (let i = 0; i < 20; i += 1) startService();
  for (let at = 2000; at < ARRIVALS_END_MS; at += 1500)
    world.time.after(at, at % 4500 === 2000 ? startService : startArray);
  return world;
}

// A leader that was partitioned only from its workers took ten seconds to detect that, because it waited for the timeout
// of each silent machine.
test('a leader that receives no heartbeats from hundreds of workers is replaced within seconds', async () => {
  const world = startLargeFleet(5);
  await world.runUntil(40_000);
  const partitionedLeader = world.nodes.findIndex((node) => node.controller.leadership.holdsValidLease());
  // Also partitions the machines that have not booted yet.
  for (let i = 0; i < 1000; i += 1)
    world.network.partition(`spur-${partitionedLeader}`, `n-${String(i).padStart(6, '0')}`, 'hold');
  await world.runUntil(45_000);
  const newLeader = world.nodes.findIndex((node) => node.controller.leadership.holdsValidLease());
  assert.ok(
    partitionedLeader >= 0 && newLeader >= 0 && newLeader !== partitionedLeader,
    `${partitionedLeader} to ${newLeader}`,
  );
  assert.deepEqual(world.checker.violations, []);
});

// A leader that exceeded its processor share by far read a cancellation so late that a task ran for longer than
// `cancel_s`.
test('a leader that can no longer read cancellations renews no worker lease', async () => {
  const world = startLargeFleet(6);
  await world.runUntil(20_000);
  const leaderIndex = world.nodes.findIndex((node) => node.controller.leadership.holdsValidLease());
  const leading = world.nodes[leaderIndex];
  // A worker of another shard may be sent to a smaller shard.
  const worker = aliveWorkers(world).find(({ heartbeatNodeIndex }) => heartbeatNodeIndex === leaderIndex);
  assert.ok(leading !== undefined && worker !== undefined);
  const first = toHeartbeatResponse(await leading.controller.handleHeartbeat(worker.makeHeartbeat()));
  assert.equal(first.code, 200);
  // The leader's own lease is still renewed, but its watch never gets a response.
  leading.store.watch = () => new Promise(() => undefined);
  const { fencingToken: token } = leading.controller.leadership;
  await world.runUntil(45_000);
  const pending = Promise.resolve(leading.controller.handleHeartbeat(worker.makeHeartbeat()));
  await world.runUntil(48_000);
  const second = toHeartbeatResponse(await pending);
  // Only a leader that was elected later may respond; tokens of different terms never mix.
  const latestElection = Math.max(...world.nodes.map((node) => node.controller.leadership.fencingToken));
  assert.ok(
    second.code !== 200 || (latestElection > token && second.fencingToken >= latestElection),
    JSON.stringify(second),
  );
});

test('a large fleet breaks no rule and leaves no array unfinished despite crashes, partitions, lost machines and a store outage', async () => {
  const world = startLargeFleet(3);
  const partitioned: string[] = [];
  world.time.after(30_000, () => {
    for (const worker of [...world.workers.values()].slice(0, 25)) worker.die();
  });
  world.time.after(36_000, () => {
    for (let i = 0; i < 3; i += 1)
      if (world.nodes[i]?.controller.leadership.holdsValidLease() === true) world.crash(i);
  });
  world.time.after(50_000, () => {
    for (const worker of aliveWorkers(world).slice(0, 30)) {
      partitioned.push(worker.id);
      for (const node of world.nodes) world.network.partition(node.name, worker.id, 'hold');
    }
  });
  world.time.after(62_000, () => {
    world.store.setOutage(true);
    world.time.after(9000, () => {
      world.store.setOutage(false);
    });
  });
  world.time.after(75_000, () => {
    for (const id of partitioned) for (const node of world.nodes) world.network.heal(node.name, id);
    for (let i = 0; i < 3; i += 1) world.crash(i);
  });
  let maxMachines = 0;
  const countMachines = (): void => {
    maxMachines = Math.max(maxMachines, aliveWorkers(world).length);
    world.time.after(1000, countMachines);
  };
  countMachines();
  await world.runUntil(END_MS);
  assert.deepEqual(world.checker.violations, []);
  assert.equal(world.store.oversizedCommits, 0);
  assert.ok(maxMachines >= 200, `only ${maxMachines} machines`);
  assert.ok(world.checker.starts >= 1500, `only ${world.checker.starts} starts`);
  const unfinished = [...world.checker.submitted.values()].filter(
    (spec) =>
      spec.kind === 'array' && !['done', 'cancelled'].includes(String(world.recordedPhaseOf(spec.id))),
  );
  assert.deepEqual(
    unfinished.map((spec) => spec.id),
    [],
  );
});

test('an array of 100,000 tasks exceeds no store limit, and small jobs beside it complete', async () => {
  const world = fleetWorld({
    seed: 9,
    teams: TEAMS,
    types: TYPES,
    capacity: 10,
    storeLimits: { rps: 150, writeRps: 25, valueKb: 16, txnOps: 12 },
  });
  const huge = 'wk-900000' as JobId;
  world.startUser(jobSpec({ id: huge, tasks: 100_000, cpus: 1, memoryGb: 1, estimateS: 4 }), 60_000);
  const small = Array.from({ length: 10 }, (_, i) => `wk-${String(i).padStart(6, '0')}` as JobId);
  small.forEach((id, i) => {
    world.time.after(15_000 + i * 1000, () => {
      world.startUser(jobSpec({ id, tasks: 3, team: 'blue' }), null);
    });
  });
  await world.runUntil(90_000);
  assert.deepEqual(world.checker.violations, []);
  assert.equal(world.store.oversizedCommits, 0);
  assert.ok(world.checker.starts > 1000, `${world.checker.starts}`);
  assert.equal(world.recordedPhaseOf(huge), 'cancelled');
  assert.deepEqual(
    small.filter((id) => world.recordedPhaseOf(id) !== 'done'),
    [],
  );
});
