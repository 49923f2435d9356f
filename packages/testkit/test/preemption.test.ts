import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@spurbridge/wire';
import { STARVATION_LIMIT_MS, jobId, jobSpec, leaderCheckedWorld, machineType } from '../src/index.js';
import { assertNoViolations, passTime } from './support/regression-cases.js';

/** The machine is up, and the first jobs run. */
const SETTLED_MS = 30_000;

function service(number: number, cpus: number, priority: JobSpec['priority']): JobSpec {
  return jobSpec({
    id: jobId(number),
    kind: 'service',
    tasks: 1,
    estimateS: 0,
    memoryGb: 1,
    spot: false,
    cpus,
    priority,
  });
}

// Guards against a preemption that is repeated for ever because another task takes the resources that it freed.
test('two low-priority services do not keep an urgent one waiting by taking turns on its machine', async () => {
  const world = leaderCheckedWorld(1, {
    types: [{ ...machineType('m16', 16), zones: ['a'] }],
    zones: ['a'],
    capacity: 1,
  });
  const blocking = service(1, 9, 'production');
  const low = [service(2, 7, 'low'), service(3, 7, 'low')];
  const urgent = service(4, 12, 'high');
  world.startUser(blocking, SETTLED_MS + 10_000);
  for (const spec of low) world.startUser(spec, null);
  await world.runUntil(SETTLED_MS);
  assert.equal(world.checker.runningTasksOf(blocking.id), 1);
  world.startUser(urgent, null);
  await passTime(world, STARVATION_LIMIT_MS);
  assert.equal(world.checker.runningTasksOf(urgent.id), 1, 'the urgent service runs');
  assert.ok(world.checker.starts <= 4, `${world.checker.starts} starts`);
  assertNoViolations(world);
});
