import assert from 'node:assert/strict';
import { test } from 'node:test';
import { toHeartbeatResponse } from '@spurbridge/controller';
import type { JobId, MachineType } from '@spurbridge/wire';
import { World, ZONES, jobSpec, machineType } from '../src/index.js';

const TYPES: readonly MachineType[] = [machineType('s4', 4), machineType('m16', 16), machineType('l32', 32)];
const TEAMS = [
  { name: 'red', cpus: 1500, cpusMax: 3000, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 800, cpusMax: 1600, gpus: 0, gpusMax: 0 },
];
const ARRIVE_MS = 70_000;
const DAY_MS = 200_000;

/** Hundreds of machines and thousands of tasks, with a state service that takes few changes. */
function largeDay(seed: number): World {
  const w = new World({
    seed,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 40,
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 150, writeRps: 25, valueKb: 16, txnOps: 12 },
  });
  let jobs = 0;
  const id = (): JobId => `wk-${String(jobs++).padStart(6, '0')}` as JobId;
  const array = (): void => {
    w.startUser(
      jobSpec({
        id: id(),
        tasks: 10 + w.random(50),
        cpus: 2 + w.random(4),
        memoryGb: 6,
        estimateS: 8 + w.random(25),
        imageGb: 1.8,
        image: `img-${w.random(10)}`,
        deadlineS: 90,
      }),
      w.random(20) === 0 ? 5000 + w.random(ARRIVE_MS) : null,
    );
  };
  const service = (): void => {
    w.startUser(
      jobSpec({
        id: id(),
        kind: 'service',
        team: 'blue',
        priority: 'production',
        tasks: 3 + w.random(8),
        estimateS: 0,
        spot: false,
        spread: true,
        image: `srv-${w.random(12)}`,
      }),
      null,
    );
  };
  for (let i = 0; i < 12; i += 1) array();
  for (let i = 0; i < 20; i += 1) service();
  for (let at = 2000; at < ARRIVE_MS; at += 1500) w.time.after(at, at % 4500 === 2000 ? service : array);
  return w;
}

// A leader that had lost only its workers took ten seconds to find out, machine by machine.
test('a leader that hears none of many workers lets another one lead within seconds', async () => {
  const w = largeDay(5);
  await w.runUntil(40_000);
  const deaf = w.nodes.findIndex((n) => n.controller.leadership.holdsValidLease());
  // Also from those that are still to come up.
  for (let i = 0; i < 1000; i += 1)
    w.network.partition(`spur-${deaf}`, `n-${String(i).padStart(6, '0')}`, 'hold');
  await w.runUntil(45_000);
  const now = w.nodes.findIndex((n) => n.controller.leadership.holdsValidLease());
  assert.ok(deaf >= 0 && now >= 0 && now !== deaf, `${deaf} to ${now}`);
  assert.deepEqual(w.checker.violations, []);
});

// A leader far over its processor share read a cancellation so late that a task outlived `cancel_s`.
test('a leader that reads no cancellations any more keeps no worker alive', async () => {
  const w = largeDay(6);
  await w.runUntil(20_000);
  const leading = w.nodes.find((n) => n.controller.leadership.holdsValidLease());
  const worker = [...w.workers.values()].find((x) => x.alive);
  assert.ok(leading !== undefined && worker !== undefined);
  const first = toHeartbeatResponse(await leading.controller.handleHeartbeat(worker.makeHeartbeat()));
  assert.equal(first.code, 200);
  // Its lease is renewed as ever, but its watch never answers.
  leading.store.watch = () => new Promise(() => undefined);
  const { fencingToken: token } = leading.controller.leadership;
  await w.runUntil(45_000);
  const answer = Promise.resolve(leading.controller.handleHeartbeat(worker.makeHeartbeat()));
  await w.runUntil(48_000);
  const given = toHeartbeatResponse(await answer);
  assert.ok(given.code !== 200 || given.token > token, JSON.stringify(given));
});

test('a large fleet under crashes, cuts, deaths and an outage keeps every rule and ends its arrays', async () => {
  const w = largeDay(3);
  const cut: string[] = [];
  w.time.after(30_000, () => {
    for (const worker of [...w.workers.values()].slice(0, 25)) worker.die();
  });
  w.time.after(36_000, () => {
    for (let i = 0; i < 3; i += 1)
      if (w.nodes[i]?.controller.leadership.holdsValidLease() === true) w.crash(i);
  });
  w.time.after(50_000, () => {
    for (const worker of [...w.workers.values()].filter((x) => x.alive).slice(0, 30)) {
      cut.push(worker.id);
      for (const n of w.nodes) w.network.partition(n.name, worker.id, 'hold');
    }
  });
  w.time.after(62_000, () => {
    w.store.setOutage(true);
    w.time.after(9000, () => {
      w.store.setOutage(false);
    });
  });
  w.time.after(75_000, () => {
    for (const id of cut) for (const n of w.nodes) w.network.heal(n.name, id);
    for (let i = 0; i < 3; i += 1) w.crash(i);
  });
  let most = 0;
  const watch = (): void => {
    most = Math.max(most, [...w.workers.values()].filter((x) => x.alive).length);
    w.time.after(1000, watch);
  };
  watch();
  await w.runUntil(DAY_MS);
  assert.deepEqual(w.checker.violations, []);
  assert.equal(w.store.oversizedCommits, 0);
  assert.ok(most >= 200, `only ${most} machines`);
  assert.ok(w.checker.starts >= 1500, `only ${w.checker.starts} starts`);
  const open = [...w.checker.submitted.values()].filter(
    (s) => s.kind === 'array' && !['done', 'cancelled'].includes(String(w.recordedPhaseOf(s.id))),
  );
  assert.deepEqual(
    open.map((s) => s.id),
    [],
  );
});

test('an array of 100,000 tasks breaks no limit, and small jobs beside it go on', async () => {
  const w = new World({
    seed: 9,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 10,
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 150, writeRps: 25, valueKb: 16, txnOps: 12 },
  });
  const huge = 'wk-900000' as JobId;
  w.startUser(jobSpec({ id: huge, tasks: 100_000, cpus: 1, memoryGb: 1, estimateS: 4 }), 60_000);
  const small = Array.from({ length: 10 }, (_, i) => `wk-${String(i).padStart(6, '0')}` as JobId);
  small.forEach((id, i) => {
    w.time.after(15_000 + i * 1000, () => {
      w.startUser(jobSpec({ id, tasks: 3, team: 'blue' }), null);
    });
  });
  await w.runUntil(90_000);
  assert.deepEqual(w.checker.violations, []);
  assert.equal(w.store.oversizedCommits, 0);
  assert.ok(w.checker.starts > 1000, `${w.checker.starts}`);
  assert.equal(w.recordedPhaseOf(huge), 'cancelled');
  assert.deepEqual(
    small.filter((id) => w.recordedPhaseOf(id) !== 'done'),
    [],
  );
});
