import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { SchedulingPlan } from '@spurbridge/planner';
import { jobId, jobSpec } from '@spurbridge/testkit';
import type { JobSpec, MachineId } from '@spurbridge/wire';
import { PlanExecutor } from '../src/placement/plan-executor.js';
import { PlanningBackoff } from '../src/placement/planning-backoff.js';
import type { LeaderFixture } from './leader-fixture.js';
import { AGENT_EPOCH, FENCING_TOKEN, addJob, createLeaderFixture } from './leader-fixture.js';

const SMALL_ON_DEMAND = 'n-000001' as MachineId;
const SMALL_SPOT = 'n-000002' as MachineId;
const MIDDLE_IN_OTHER_ZONE = 'n-000003' as MachineId;

interface Fixture extends LeaderFixture {
  readonly errors: { readonly fields: object; readonly message: string }[];
  readonly planningBackoff: PlanningBackoff;
  /** Carries out a plan that starts a task on each of these machines. */
  execute(job: Job, machines: readonly MachineId[]): void;
}

function createFixture(): Fixture {
  const errors: Fixture['errors'][number][] = [];
  const log = {
    debug: () => undefined,
    info: () => undefined,
    error: (fields: object, message: string) => errors.push({ fields, message }),
  };
  const leader = createLeaderFixture({ leadership: { fencingToken: FENCING_TOKEN }, log });
  const { cluster, term, time } = leader;
  cluster.registerMachine(SMALL_ON_DEMAND, 's4', 'a', false).agentEpoch = AGENT_EPOCH;
  cluster.registerMachine(SMALL_SPOT, 's4', 'a', true).agentEpoch = AGENT_EPOCH;
  cluster.registerMachine(MIDDLE_IN_OTHER_ZONE, 'm16', 'b', false).agentEpoch = AGENT_EPOCH;
  const planningBackoff = new PlanningBackoff(term, cluster);
  const executor = new PlanExecutor(term, cluster, planningBackoff);
  const execute = (job: Job, machines: readonly MachineId[]): void => {
    const starts = machines.map((machine, task) => ({ job: job.spec.id, task, machine }));
    const plan: SchedulingPlan = {
      starts,
      queuedStarts: [],
      preemptions: [],
      unplacedDemand: [],
      queueVisits: 0,
    };
    executor.execute(plan, time.now as MonotonicMs);
  };
  return { ...leader, errors, planningBackoff, execute };
}

const FORBIDDEN: readonly (readonly [string, Partial<JobSpec>, MachineId])[] = [
  ['machine type', { types: ['m16'] }, SMALL_ON_DEMAND],
  ['zone', { zone: 'b' }, SMALL_ON_DEMAND],
  ['purchase option', { spot: false }, SMALL_SPOT],
  ['resources', { cpus: 5 }, SMALL_ON_DEMAND],
];

// Guards against `wrong_place` by a plan that names another machine than it means.
for (const [term, overrides, machine] of FORBIDDEN)
  test(`a planned placement that violates the job's terms is not written: ${term}`, () => {
    const fixture = createFixture();
    const { cluster, term: leaderTerm, errors, planningBackoff, time } = fixture;
    const job = addJob(cluster, jobSpec({ id: jobId(1), ...overrides }));
    fixture.execute(job, [machine]);
    assert.equal(job.placements.size, 0);
    assert.equal(leaderTerm.metrics.refusedPlacements, 1);
    assert.deepEqual(
      errors.map(({ message }) => message),
      ['planned placement refused', 'planning of a job failed; backing off'],
    );
    assert.equal((errors[0]?.fields as { violated?: string }).violated, term);
    assert.ok(planningBackoff.isBackingOff(job.spec.id), 'no hot loop');
    time.now += 1000;
    assert.ok(!planningBackoff.isBackingOff(job.spec.id), 'planned anew');
  });

test('a planned placement on a machine on which the job failed is not written', () => {
  const fixture = createFixture();
  const job = addJob(fixture.cluster, jobSpec({ id: jobId(1) }));
  job.machineExclusions.recordFailure(SMALL_ON_DEMAND, fixture.time.now as MonotonicMs);
  fixture.execute(job, [SMALL_ON_DEMAND]);
  assert.equal(job.placements.size, 0);
});

test('only as many planned placements are written as the zones of the other tasks allow', () => {
  const fixture = createFixture();
  const machines = [SMALL_ON_DEMAND, MIDDLE_IN_OTHER_ZONE, SMALL_SPOT];
  const bound = addJob(fixture.cluster, jobSpec({ id: jobId(1), oneZone: true }));
  fixture.execute(bound, machines);
  assert.deepEqual([...bound.placements.keys()], [0, 2], 'one zone');
  const spread = addJob(fixture.cluster, jobSpec({ id: jobId(2), tasks: 2, spread: true }));
  fixture.execute(spread, [SMALL_ON_DEMAND, SMALL_SPOT]);
  assert.deepEqual([...spread.placements.keys()], [0], 'spread');
});

test('no task of a gang is placed if the placement of another one is refused', () => {
  const fixture = createFixture();
  const gang = addJob(fixture.cluster, jobSpec({ id: jobId(1), kind: 'gang', tasks: 2, types: ['s4'] }));
  fixture.execute(gang, [SMALL_ON_DEMAND, MIDDLE_IN_OTHER_ZONE]);
  assert.equal(gang.placements.size, 0);
  assert.equal(fixture.term.metrics.refusedPlacements, 1);
});

test('a plan that places a task twice does not end the term', () => {
  const fixture = createFixture();
  const { cluster, planningBackoff } = fixture;
  const job = addJob(cluster, jobSpec({ id: jobId(1) }));
  fixture.execute(job, [SMALL_ON_DEMAND]);
  fixture.execute(job, [SMALL_SPOT, SMALL_SPOT]);
  assert.deepEqual(
    [...job.placements.values()].map(({ task, machine }) => [task, machine]),
    [
      [0, SMALL_ON_DEMAND],
      [1, SMALL_SPOT],
    ],
  );
  assert.ok(planningBackoff.isBackingOff(job.spec.id));
});

test('a job that is refused again and again is left out of plans for longer and longer, for a minute at most', () => {
  const fixture = createFixture();
  const { planningBackoff, time } = fixture;
  const job = addJob(fixture.cluster, jobSpec({ id: jobId(1), types: ['m16'] }));
  const backoffsMs: number[] = [];
  for (let refusal = 0; refusal < 8; refusal += 1) {
    fixture.execute(job, [SMALL_ON_DEMAND]);
    const sinceMs = time.now;
    while (planningBackoff.isBackingOff(job.spec.id)) time.now += 500;
    backoffsMs.push(time.now - sinceMs);
  }
  assert.deepEqual(backoffsMs, [1000, 2000, 4000, 8000, 16_000, 32_000, 60_000, 60_000]);
});
