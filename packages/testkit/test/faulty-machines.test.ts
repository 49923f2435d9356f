import assert from 'node:assert/strict';
import { test } from 'node:test';
import {
  STARVATION_LIMIT_MS,
  faultyMachineWorld,
  jobId,
  jobSpec,
  startFaultyMachineDay,
} from '../src/index.js';
import { runWatchedDay } from './support/assertions.js';
import { aliveWorkers } from './support/fleets.js';
import { FAULTS_BEGIN_MS, passTime } from './support/regression-cases.js';
import { seedsFrom } from './support/seeds.js';

// Guards against `accepted_never_run` (review/7): a job that failed once on the only machine that fits it was excluded from
// it for as long as the leader went on.
test('a job that failed on the only machine that fits it runs there once the machine is sound', async () => {
  for (const seed of [1, 2, 3]) {
    const world = faultyMachineWorld(seed);
    world.startUser(jobSpec({ id: jobId(1), zone: 'a', spot: false, tasks: 1, estimateS: 400 }), null);
    await world.runUntil(FAULTS_BEGIN_MS);
    const machine = aliveWorkers(world).find(({ zone }) => zone === 'a');
    assert.ok(machine !== undefined);
    machine.failsAllTasks = true;
    const failing = jobSpec({ id: jobId(2), zone: 'a', spot: false, tasks: 1, cpus: 12 });
    world.startUser(failing, null);
    await passTime(world, 5000);
    machine.failsAllTasks = false;
    await passTime(world, STARVATION_LIMIT_MS);
    assert.equal(world.recordedPhaseOf(failing.id), 'done', `seed ${seed}`);
    assert.ok(machine.alive, 'the machine was not replaced');
  }
});

test('a job does not fail again and again within seconds on a machine that stays faulty', async () => {
  const world = faultyMachineWorld(4);
  world.startUser(jobSpec({ id: jobId(1), zone: 'a', spot: false, tasks: 1, estimateS: 400 }), null);
  await world.runUntil(FAULTS_BEGIN_MS);
  for (const worker of aliveWorkers(world)) worker.failsAllTasks = true;
  const startsBefore = world.checker.starts;
  world.startUser(jobSpec({ id: jobId(2), zone: 'a', spot: false, tasks: 1 }), null);
  await passTime(world, 120_000);
  const starts = world.checker.starts - startsBefore;
  assert.ok(starts >= 2 && starts <= 5, `${starts} starts in two minutes`);
});

// Guards against exclusions without an end (review/7), and against other causes for which jobs wait beside room.
for (const seed of seedsFrom('SPURBRIDGE_FAULTY_MACHINE_SEEDS', 10))
  test(`jobs that fit one machine only run after machines have failed their tasks, seed ${seed}`, async () => {
    const world = faultyMachineWorld(100_000 + seed);
    const faultNames = startFaultyMachineDay(world).join(' + ');
    await runWatchedDay(world, faultNames);
  });
