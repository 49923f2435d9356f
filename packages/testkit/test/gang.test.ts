import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId, JobSpec } from '@spurbridge/wire';
import { World, jobSpec, machineType } from '../src/index.js';

const G8 = machineType('g8', 8, 4);
const TEAMS = [{ name: 'red', cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: Infinity }];

function world(seed: number, gangWaitS = 20): World {
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

function gang(n: number, over: Partial<JobSpec> = {}): JobSpec {
  const id = `wk-${String(n).padStart(6, '0')}` as JobId;
  return jobSpec({ id, kind: 'gang', gpus: 4, spot: false, oneZone: true, estimateS: 10, ...over });
}

function machineOf(w: World, job: JobId, task: number): string {
  for (const worker of w.workers.values()) {
    const t = worker.attemptOf(job, task);
    if (t !== null && t.phase !== 'exited' && worker.alive) return worker.id;
  }
  return '';
}

async function untilDone(w: World, spec: JobSpec, untilMs: number): Promise<void> {
  await w.runUntil(untilMs);
  assert.deepEqual(w.checker.violations, []);
  assert.equal(w.recordedPhaseOf(spec.id), 'done');
}

test('a gang that loses a machine before it has started is completed under the same attempt', async () => {
  const w = world(3, 60);
  const spec = gang(1, { tasks: 3, imageGb: 25 });
  w.startUser(spec, null);
  await w.runUntil(20_000);
  const lost = [...w.workers.values()].find((x) => x.id === machineOf(w, spec.id, 1));
  assert.ok(lost !== undefined);
  const kept = machineOf(w, spec.id, 0);
  lost.die();
  await untilDone(w, spec, 120_000);
  assert.equal(w.gangAttempts.get(spec.id), 1);
  assert.notEqual(kept, lost.id);
});

test('a gang that has started is stopped and starts anew as a whole when it loses a machine', async () => {
  const w = world(4);
  const spec = gang(1, { tasks: 3, imageGb: 1, estimateS: 30 });
  w.startUser(spec, null);
  await w.runUntil(15_000);
  const lost = [...w.workers.values()].find((x) => x.id === machineOf(w, spec.id, 2));
  assert.ok(lost !== undefined);
  lost.die();
  await untilDone(w, spec, 150_000);
  assert.equal(w.gangAttempts.get(spec.id), 2);
});

// A task whose machine has the image waits for one that fetches it for longer than `gang_wait_s`: it
// exited as incomplete, the fetch was given up, and so on for ever.
test('a gang starts although one machine has its image and another fetches it for long', async () => {
  const w = world(5, 20);
  const first = gang(1, { tasks: 1, imageGb: 30 });
  w.startUser(first, null);
  await w.runUntil(60_000);
  assert.equal(w.recordedPhaseOf(first.id), 'done');
  const spec = gang(2, { tasks: 3, imageGb: 30 });
  w.startUser(spec, null);
  await untilDone(w, spec, 260_000);
  assert.equal(w.gangAttempts.get(spec.id), 1);
});

test('an orderly stop of a gang saves on every machine before any notice runs out', async () => {
  const w = world(6);
  const spec = gang(1, { tasks: 2, spot: true, checkpointS: 5, saveS: 1, estimateS: 40, oneZone: false });
  w.startUser(spec, null);
  await w.runUntil(20_000);
  const taken = [...w.workers.values()].find((x) => x.id === machineOf(w, spec.id, 0));
  assert.ok(taken !== undefined);
  taken.preemptionAtMs = w.time.now + 12_000;
  w.time.after(12_000, () => {
    w.reclaimMachine(taken.id);
  });
  await untilDone(w, spec, 150_000);
  assert.deepEqual(w.checkpointedGangs, [`${spec.id}#1`]);
});
