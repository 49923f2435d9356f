import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@spurbridge/wire';
import type { World, WorldOptions } from '../src/index.js';
import {
  STARVATION_LIMIT_MS,
  jobId,
  jobSpec,
  leaderCheckedWorld,
  leaderIndex,
  machineType,
} from '../src/index.js';
import { aliveWorkers } from './support/fleets.js';
import { assertNoViolations, crashLeader, passTime } from './support/regression-cases.js';

/** How long a machine receives nothing: less than half of its lease. */
const PARTITION_MS = 5000;
const LEASE_S = 22;
const CANCEL_S = 42;
/** The machines are up, and the first jobs run. */
const SETTLED_MS = 40_000;
const CHECK_INTERVAL_MS = 5;
const LOW_SERVICE = service(1, { priority: 'low', cpus: 14, zone: 'a' });
const URGENT_SERVICE = service(9, { priority: 'production', cpus: 12 });

/** A service of one replica. */
function service(number: number, overrides: Partial<JobSpec>): JobSpec {
  return jobSpec({
    id: jobId(number),
    kind: 'service',
    tasks: 1,
    estimateS: 0,
    spot: false,
    memoryGb: 1,
    ...overrides,
  });
}

/** An array of one task that fills a machine of the zone, with the highest priority. */
function blockingArray(number: number, zone: string, estimateS: number): JobSpec {
  return jobSpec({
    id: jobId(number),
    tasks: 1,
    cpus: 14,
    priority: 'production',
    zone,
    estimateS,
    spot: false,
  });
}

/** One on-demand machine of 16 CPUs in each of two zones. */
function twoMachineWorld(seed: number, overrides: Partial<WorldOptions> = {}): World {
  return leaderCheckedWorld(seed, {
    types: [{ ...machineType('m16', 16), zones: ['a', 'b'] }],
    zones: ['a', 'b'],
    capacity: 1,
    // With the shorter lease of a small world, the partition and the failover together end the agent epoch.
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
    ...overrides,
  });
}

function onDemandMachineIn(world: World, zone: string): ReturnType<typeof aliveWorkers>[number] {
  const worker = aliveWorkers(world).find((each) => each.zone === zone && !each.spot);
  assert.ok(worker !== undefined, `no machine in zone ${zone}`);
  return worker;
}

async function runUntilTrue(
  world: World,
  condition: () => boolean,
  withinMs: number,
  what: string,
): Promise<void> {
  const untilMs = world.time.now + withinMs;
  while (!condition() && world.time.now < untilMs) await passTime(world, CHECK_INTERVAL_MS);
  assert.ok(condition(), `${what}: not within ${withinMs} ms`);
}

function isRecorded(world: World, { id }: JobSpec): boolean {
  return world.store.peek(`t/${id}/0`) !== undefined;
}

/**
 * The low-priority service runs in zone a, and arrays fill the other machines. The urgent service is placed on the
 * machine in zone a, which receives nothing, and the leader ends before the low-priority service is stopped.
 */
async function endLeaderBeforePreemption(world: World, blockedForS: number): Promise<void> {
  world.startUser(LOW_SERVICE, null);
  world.startUser(blockingArray(2, 'b', blockedForS), null);
  await world.runUntil(SETTLED_MS);
  assert.equal(world.checker.runningTasksOf(LOW_SERVICE.id), 1);
  const { id: machine } = onDemandMachineIn(world, 'a');
  world.faults.inboundPartitioned.add(machine);
  world.startUser(URGENT_SERVICE, null);
  await runUntilTrue(world, () => isRecorded(world, URGENT_SERVICE), 3000, 'the placement is recorded');
  await passTime(world, 300);
  crashLeader(world, 8000);
  await passTime(world, PARTITION_MS);
  world.faults.inboundPartitioned.delete(machine);
}

// Guards against `left_waiting` by a placement that is read from a record and waits for a preemption that only the
// previous leader intended: the case of the independent review (review/3).
for (const seed of [1, 2, 3, 4])
  test(`a restored placement does not wait for a preemption that the next leader does not intend, seed ${seed}`, async () => {
    // The array ends soon after the failover, so that the machine in zone b has room.
    const world = twoMachineWorld(seed, { taskRunMs: (job) => job.estimateS * 1000 });
    await endLeaderBeforePreemption(world, 45);
    assert.ok(leaderIndex(world) >= 0, 'no node leads');
    await runUntilTrue(
      world,
      () => world.checker.runningTasksOf(URGENT_SERVICE.id) === 1,
      STARVATION_LIMIT_MS,
      'the urgent service runs',
    );
    assert.equal(world.checker.killedByLease, 0);
    await passTime(world, LEASE_S * 1000);
    assert.equal(world.checker.runningTasksOf(URGENT_SERVICE.id), 1);
    assertNoViolations(world);
  });

test('the next leader repeats a preemption of the previous one if no machine has room', async () => {
  const world = twoMachineWorld(5, { taskRunMs: (job) => job.estimateS * 1000 });
  await endLeaderBeforePreemption(world, 400);
  await runUntilTrue(
    world,
    () => world.checker.runningTasksOf(URGENT_SERVICE.id) === 1,
    STARVATION_LIMIT_MS,
    'the urgent service runs',
  );
  assert.equal(world.checker.killedByLease, 0);
  assert.equal(world.checker.runningTasksOf(LOW_SERVICE.id), 0, 'the low-priority service made room');
  assertNoViolations(world);
});

// The records of a done job with more than one task record are deleted after the job's own record is written.
test('the next leader deletes the task records of a done job that the previous leader did not delete', async () => {
  const world = leaderCheckedWorld(8);
  const taskRecords = (): number =>
    [0, 1, 2].filter((chunk) => world.store.peek(`t/${jobId(1)}/${chunk}`) !== undefined).length;
  await world.runUntil(SETTLED_MS);
  world.startUser(jobSpec({ id: jobId(1), tasks: 600, cpus: 0.25, memoryGb: 0.1, estimateS: 1 }), null);
  await runUntilTrue(world, () => world.recordedPhaseOf(jobId(1)) === 'done', 300_000, 'the job is done');
  assert.ok(taskRecords() > 0, 'the task records are deleted already');
  crashLeader(world, 200);
  await runUntilTrue(world, () => taskRecords() === 0, STARVATION_LIMIT_MS, 'the task records are deleted');
  assert.equal(world.recordedPhaseOf(jobId(1)), 'done');
  assertNoViolations(world);
});
