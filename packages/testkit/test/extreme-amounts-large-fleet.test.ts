import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobId, jobSpec, machineType } from '../src/index.js';
import { aliveWorkers, fleetWorld } from './support/fleets.js';
import { passTime } from './support/regression-cases.js';

const TYPES = [machineType('s4', 4), machineType('m16', 16), machineType('l8', 8)];
const TEAM = { name: 'red', cpus: 20_000, cpusMax: 60_000, gpus: 0, gpusMax: 0 };
/** Tasks of this size leave room for one more task of a CPU on a machine of the type, and none for another such task. */
const FILLING_CPUS = { s4: 3, m16: 13, l8: 7 } as const;
const FILLING_JOBS_PER_TYPE = 5;
const TASKS_PER_FILLING_JOB = 300;
const MACHINES = 4000;
const FLEET_UP_MS = 65_000;
const LONG_RUN_S = 600;
const ESTIMATES_S = [3.6e9, 1e12, 3.6e12, 1e15, Number.MAX_VALUE];

// Guards against `wrong_place` at the operators' size: with more machines, smaller amounts already changed the machine.
test('amounts at the ends of their ranges break no rule in a fleet of 4,000 machines', async () => {
  const world = fleetWorld({
    seed: 64,
    teams: [TEAM],
    types: TYPES,
    capacity: 260,
    taskRunMs: ({ estimateS }) => (estimateS === LONG_RUN_S ? LONG_RUN_S : 5) * 1000,
  });
  let number = 0;
  for (const [type, cpus] of Object.entries(FILLING_CPUS))
    for (let count = 0; count < FILLING_JOBS_PER_TYPE; count += 1) {
      const size = { tasks: TASKS_PER_FILLING_JOB, cpus, memoryGb: 1, estimateS: LONG_RUN_S };
      world.startUser(jobSpec({ id: jobId((number += 1)), class: 'filling', types: [type], ...size }), null);
    }
  await world.runUntil(FLEET_UP_MS);
  const machines = aliveWorkers(world).length;
  assert.ok(machines >= MACHINES, `only ${machines} machines`);
  const extreme = ESTIMATES_S.map((estimateS, index) =>
    jobSpec({
      id: jobId(500 + index),
      class: 'extreme',
      tasks: 40,
      cpus: 1,
      memoryGb: 1,
      types: [TYPES[index % TYPES.length]?.name ?? ''],
      zone: index % 2 === 0 ? 'b' : null,
      spot: index % 3 === 0,
      estimateS,
    }),
  );
  for (const spec of extreme) world.startUser(spec, null);
  await passTime(world, 30_000);
  assert.deepEqual(world.checker.violations, []);
  assert.deepEqual(
    extreme.map(({ id }) => world.recordedPhaseOf(id)),
    extreme.map(() => 'done'),
  );
});
