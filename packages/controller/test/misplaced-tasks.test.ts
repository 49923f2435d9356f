import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { jobId, jobSpec } from '@spurbridge/testkit';
import type { Attempt, Heartbeat, JobSpec } from '@spurbridge/wire';
import { CommandPlanner } from '../src/heartbeats/command-planner.js';
import { HeartbeatHandler } from '../src/heartbeats/heartbeat-handler.js';
import { MachineQueues } from '../src/placement/machine-queues.js';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';
import type { LeaderFixture } from './leader-fixture.js';
import {
  AGENT_EPOCH,
  FENCING_TOKEN,
  MACHINE,
  addJob,
  createLeaderFixture,
  makeHeartbeat,
} from './leader-fixture.js';

interface Fixture extends LeaderFixture {
  readonly handler: HeartbeatHandler;
  readonly queues: MachineQueues;
  readonly planner: CommandPlanner;
}

function createFixture(): Fixture {
  const leader = createLeaderFixture({
    leadership: { fencingToken: FENCING_TOKEN },
    storeIntegrity: { jobPhaseOf: () => null },
  });
  const { term, cluster } = leader;
  return {
    ...leader,
    handler: new HeartbeatHandler(term, cluster, new RuntimeEstimator()),
    queues: new MachineQueues(term, cluster),
    planner: new CommandPlanner(term, cluster, { mayIssueCommands: true, mayPlaceJob: () => true }),
  };
}

/** A record places the first task of the job on the machine, which is of type s4, in zone a and on-demand. */
function restoreJob({ cluster, time }: Fixture, overrides: Partial<JobSpec>): Job {
  const job = addJob(cluster, jobSpec({ id: jobId(1), ...overrides }));
  job.restorePlacement(0, MACHINE, AGENT_EPOCH, 1 as Attempt, time.now as MonotonicMs);
  cluster.finishRestore(job);
  return job;
}

function reportOf(job: Job, phase: 'running' | 'waiting'): Heartbeat['tasks'] {
  return [{ job: job.spec.id, task: 0, attempt: 1 as Attempt, phase, cause: null, saved: false }];
}

const EXCLUDING: readonly Partial<JobSpec>[] = [{ types: ['m16'] }, { zone: 'b' }];

for (const overrides of EXCLUDING)
  test(`a running task is stopped on a machine that its job excludes by ${Object.keys(overrides).join()}`, () => {
    const fixture = createFixture();
    const { handler, planner, cluster, term } = fixture;
    const job = restoreJob(fixture, { ...overrides, checkpointS: 10, saveS: 2 });
    handler.receive(makeHeartbeat(1, reportOf(job, 'running')), true);
    assert.equal(job.placements.get(0)?.stopRequest?.reason, 'misplaced');
    assert.equal(term.metrics.misplacedTasks, 1);
    const machine = cluster.machines.get(MACHINE);
    assert.ok(machine !== undefined);
    const commands = planner.commandsFor(machine, 'all');
    assert.deepEqual(
      commands.map(({ op }) => op),
      ['stop'],
    );
    const [stop] = commands;
    assert.ok(stop?.op === 'stop' && stop.graceS >= 2, 'it may save a checkpoint');
  });

test('a running task is stopped if the machine was known by its id alone when the records were read, or before', () => {
  for (const isHeartbeatFirst of [true, false]) {
    const fixture = createFixture();
    if (isHeartbeatFirst) fixture.handler.receive(makeHeartbeat(1), true);
    const job = restoreJob(fixture, { types: ['m16'] });
    fixture.handler.receive(makeHeartbeat(2, reportOf(job, 'running')), true);
    assert.equal(job.placements.get(0)?.stopRequest?.reason, 'misplaced');
  }
});

test('all tasks of a gang are stopped if one is on a machine that the gang excludes', () => {
  const fixture = createFixture();
  const job = restoreJob(fixture, { kind: 'gang', types: ['m16'] });
  fixture.handler.receive(makeHeartbeat(1, reportOf(job, 'waiting')), true);
  assert.equal(job.placements.get(0)?.stopRequest?.reason, 'misplaced');
});

test('a restored intent is not started on a machine that its job excludes, and is given up', () => {
  for (const kind of ['array', 'gang'] as const) {
    const fixture = createFixture();
    const { handler, queues, planner, cluster } = fixture;
    const job = restoreJob(fixture, { kind, types: ['m16'] });
    handler.receive(makeHeartbeat(1), true);
    queues.startFitting(MACHINE);
    const machine = cluster.machines.get(MACHINE);
    assert.ok(machine !== undefined);
    assert.deepEqual(
      planner.commandsFor(machine, 'all').filter(({ op }) => op === 'start'),
      [],
      kind,
    );
    handler.receive(makeHeartbeat(2), true);
    queues.evictStale(MACHINE);
    assert.equal(job.placements.size, 0, kind);
  }
});

test('a task on a machine that its job allows is left alone', () => {
  const fixture = createFixture();
  const job = restoreJob(fixture, { types: ['s4'], zone: 'a', spot: false });
  fixture.handler.receive(makeHeartbeat(1, reportOf(job, 'running')), true);
  assert.equal(job.placements.get(0)?.stopRequest, null);
});
