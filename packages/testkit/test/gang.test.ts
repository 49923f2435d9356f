import type { JobId, JobSpec } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { World, jobSpec, machineType } from '../src/index.js';

const G8 = machineType('g8', 8, 4);
const TEAMS = [{ name: 'red', cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity }];

function gangWorld(seed: number, gangWaitS = 20): World {
  return new World({
    seed,
    teams: TEAMS,
    types: [G8],
    zones: ['a', 'b'],
    capacity: 4,
    leaseS: 12,
    cancelS: 26,
    gangWaitS,
  });
}

function gang(n: number, overrides: Partial<JobSpec> = {}): JobSpec {
  const id = `wk-${String(n).padStart(6, '0')}` as JobId;
  return jobSpec({ id, kind: 'gang', gpus: 4, spot: false, oneZone: true, estimateS: 10, ...overrides });
}

/** Id of the running machine that has the task; empty if there is none. */
function machineOf(world: World, job: JobId, task: number): string {
  for (const worker of world.workers.values()) {
    const attempt = worker.attemptOf(job, task);
    if (attempt !== null && attempt.phase !== 'exited' && worker.alive) return worker.id;
  }
  return '';
}

async function runUntilDone(world: World, spec: JobSpec, untilMs: number): Promise<void> {
  await world.runUntil(untilMs);
  assert.deepEqual(world.checker.violations, []);
  assert.equal(world.recordedPhaseOf(spec.id), 'done');
}

test('a gang that loses a machine before it starts replaces the lost task under the same attempt', async () => {
  const world = gangWorld(3, 60);
  const spec = gang(1, { tasks: 3, imageGb: 25 });
  world.startUser(spec, null);
  await world.runUntil(20_000);
  const lost = [...world.workers.values()].find((worker) => worker.id === machineOf(world, spec.id, 1));
  assert.ok(lost !== undefined);
  const kept = machineOf(world, spec.id, 0);
  lost.die();
  await runUntilDone(world, spec, 120_000);
  assert.equal(world.gangAttempts.get(spec.id), 1);
  assert.notEqual(kept, lost.id);
});

test('a gang that has started is stopped and restarted as a whole when it loses a machine', async () => {
  const world = gangWorld(4);
  const spec = gang(1, { tasks: 3, imageGb: 1, estimateS: 30 });
  world.startUser(spec, null);
  await world.runUntil(15_000);
  const lost = [...world.workers.values()].find((worker) => worker.id === machineOf(world, spec.id, 2));
  assert.ok(lost !== undefined);
  lost.die();
  await runUntilDone(world, spec, 150_000);
  assert.equal(world.gangAttempts.get(spec.id), 2);
});

// A task whose machine has the image waits while another machine fetches it for longer than `gang_wait_s`. The waiting
// task exited because the gang was incomplete, the fetch was aborted, and the same happened in every further attempt.
test('a gang starts although one machine has its image and another fetches it for longer than gang_wait_s', async () => {
  const world = gangWorld(5, 20);
  const first = gang(1, { tasks: 1, imageGb: 30 });
  world.startUser(first, null);
  await world.runUntil(60_000);
  assert.equal(world.recordedPhaseOf(first.id), 'done');
  const spec = gang(2, { tasks: 3, imageGb: 30 });
  world.startUser(spec, null);
  await runUntilDone(world, spec, 260_000);
  assert.equal(world.gangAttempts.get(spec.id), 1);
});

test('a graceful stop of a gang saves a checkpoint on every machine before the preemption notice expires', async () => {
  const world = gangWorld(6);
  const spec = gang(1, { tasks: 2, spot: true, checkpointS: 5, saveS: 1, estimateS: 40, oneZone: false });
  world.startUser(spec, null);
  await world.runUntil(20_000);
  const preempted = [...world.workers.values()].find((worker) => worker.id === machineOf(world, spec.id, 0));
  assert.ok(preempted !== undefined);
  preempted.preemptionAtMs = world.time.now + 12_000;
  world.time.after(12_000, () => {
    world.reclaimMachine(preempted.id);
  });
  await runUntilDone(world, spec, 150_000);
  assert.deepEqual(world.checkpointedGangs, [`${spec.id}#1`]);
});
