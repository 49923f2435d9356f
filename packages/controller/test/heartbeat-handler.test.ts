import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { jobSpec } from '@spurbridge/testkit';
import type { Attempt, FencingToken, Heartbeat, JobId } from '@spurbridge/wire';
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
  placeFirstTask,
} from './leader-fixture.js';

interface Fixture extends LeaderFixture {
  readonly handler: HeartbeatHandler;
  readonly queues: MachineQueues;
}

function createFixture(): Fixture {
  const leader = createLeaderFixture({ leadership: { fencingToken: FENCING_TOKEN } });
  const handler = new HeartbeatHandler(leader.term, leader.cluster, new RuntimeEstimator());
  return { ...leader, handler, queues: new MachineQueues(leader.term, leader.cluster) };
}

let jobCount = 0;

/** Adds a job with one task and a new id to the cluster. */
function addNewJob({ cluster }: Fixture, overrides: Partial<Parameters<typeof jobSpec>[0]> = {}): Job {
  jobCount += 1;
  const id = `wk-${String(jobCount).padStart(6, '0')}` as JobId;
  return addJob(cluster, jobSpec({ id, cpus: 4, tasks: 1, ...overrides }));
}

/** Adds a job whose task is placed on the machine by a record. */
function addRestoredJob(fixture: Fixture, overrides: Partial<Parameters<typeof jobSpec>[0]> = {}): Job {
  const job = addNewJob(fixture, overrides);
  job.restorePlacement(0, MACHINE, AGENT_EPOCH, 1 as Attempt, fixture.time.now as MonotonicMs);
  fixture.cluster.finishRestore(job);
  return job;
}

// A start was in flight in a heartbeat response when the machine responded to a direct stop. The leader concluded that
// the task had never started and placed it elsewhere, and then it started on the first machine as well.
test('a stopped task counts as never started only if a regular heartbeat with the current fencing token omits it', () => {
  const fixture = createFixture();
  const { cluster, handler, queues, time } = fixture;
  handler.receive(makeHeartbeat(1), true);
  const job = addNewJob(fixture);
  placeFirstTask(cluster, job);
  assert.ok(queues.startFitting(MACHINE));
  job.requestStop(0, 0, 'preempted', time.now as MonotonicMs);
  handler.receive(makeHeartbeat(2), false);
  assert.equal(job.placements.size, 1, 'after the response to a direct call');
  handler.receive(makeHeartbeat(3, [], 4 as FencingToken), true);
  assert.equal(job.placements.size, 1, 'after a regular heartbeat with an earlier fencing token');
  handler.receive(makeHeartbeat(4), true);
  assert.equal(job.placements.size, 0);
});

test('queued tasks start when a heartbeat shows free resources, a service before an array', () => {
  const fixture = createFixture();
  const { cluster, handler, queues } = fixture;
  handler.receive(makeHeartbeat(1), true);
  const running = addNewJob(fixture);
  placeFirstTask(cluster, running);
  assert.ok(queues.startFitting(MACHINE));
  const status = { job: running.spec.id, task: 0, attempt: 1 as Attempt, saved: false };
  handler.receive(makeHeartbeat(2, [{ ...status, phase: 'running', cause: null }]), true);
  const array = addNewJob(fixture);
  const service = addNewJob(fixture, { kind: 'service', priority: 'production', estimateS: 0 });
  placeFirstTask(cluster, array);
  placeFirstTask(cluster, service);
  assert.ok(!queues.startFitting(MACHINE), 'the running task still uses the resources');
  handler.receive(makeHeartbeat(3, [{ ...status, phase: 'exited', cause: 'done' }]), true);
  assert.ok(queues.startFitting(MACHINE));
  assert.equal(service.placements.get(0)?.state, 'starting');
  assert.equal(array.placements.get(0)?.state, 'queued');
});

test('queued tasks are evicted if they wait too long or are to be stopped, but restored tasks are not before their start is ruled out', () => {
  const fixture = createFixture();
  const { cluster, handler, queues, time } = fixture;
  handler.receive(makeHeartbeat(1), true);
  const running = addNewJob(fixture);
  placeFirstTask(cluster, running);
  queues.startFitting(MACHINE);
  const waiting = addNewJob(fixture);
  const stopped = addNewJob(fixture);
  placeFirstTask(cluster, waiting);
  placeFirstTask(cluster, stopped);
  const restored = addRestoredJob(fixture);
  stopped.requestStop(0, 0, 'preempted', time.now as MonotonicMs);
  queues.evictStale(MACHINE);
  assert.deepEqual(
    [waiting, stopped, restored].map((job) => job.placements.size),
    [1, 0, 1],
  );
  time.now += 60_000;
  queues.evictStale(MACHINE);
  assert.deepEqual(
    [running, waiting, restored].map((job) => job.placements.size),
    [1, 0, 1],
  );
});

// A restored task waited for ever on a full machine, because nothing ever ruled out that it had been started.
test('a restored task is evicted once a regular heartbeat with the current fencing token omits it, and not before', () => {
  const fixture = createFixture();
  const { handler, queues, time } = fixture;
  handler.receive(makeHeartbeat(1), true);
  const restored = addRestoredJob(fixture);
  time.now += 60_000;
  const heartbeats = [
    { heartbeat: makeHeartbeat(2, [], 4 as FencingToken), isRegular: true, remaining: 1 },
    { heartbeat: makeHeartbeat(3), isRegular: false, remaining: 1 },
    { heartbeat: makeHeartbeat(4), isRegular: true, remaining: 0 },
  ];
  for (const { heartbeat, isRegular, remaining } of heartbeats) {
    handler.receive(heartbeat, isRegular);
    queues.evictAllStale();
    assert.equal(restored.placements.size, remaining, `sequence number ${heartbeat.sequence}`);
  }
  assert.deepEqual(restored.pendingTasks(1), [0], 'the task is placed again');
});

test('a restored task on a draining machine is evicted as soon as its start is ruled out', () => {
  const fixture = createFixture();
  const { cluster, handler, queues } = fixture;
  handler.receive(makeHeartbeat(1), true);
  const restored = addRestoredJob(fixture);
  const machine = cluster.machines.get(MACHINE);
  assert.ok(machine !== undefined);
  cluster.drainMachine(machine, 'slow');
  queues.evictAllStale();
  assert.equal(restored.placements.size, 1);
  handler.receive(makeHeartbeat(2), true);
  queues.evictAllStale();
  assert.equal(restored.placements.size, 0);
  assert.equal(cluster.taskCountOn(MACHINE), 0, 'the machine can be released');
});

test('a restored task that this leader has started is not evicted, even if a heartbeat omits it', () => {
  const fixture = createFixture();
  const { handler, queues, time } = fixture;
  handler.receive(makeHeartbeat(1), true);
  const restored = addRestoredJob(fixture);
  assert.ok(queues.startFitting(MACHINE));
  time.now += 60_000;
  handler.receive(makeHeartbeat(2), true);
  queues.evictAllStale();
  assert.equal(restored.placements.get(0)?.state, 'starting');
});

// A new leader received the notice before it had read the records, and never moved the replica.
test('a service is stopped on a machine whose preemption notice was received before the records were read', () => {
  const fixture = createFixture();
  const { cluster, handler, queues } = fixture;
  const dispatched: string[] = [];
  const noticeAt = (sequence: number): Heartbeat => ({ ...makeHeartbeat(sequence), preemptionNoticeS: 60 });
  handler.receive(noticeAt(1), true);
  const replica = addRestoredJob(fixture, { kind: 'service', estimateS: 0 });
  cluster.on('commandsDue', (machine) => dispatched.push(machine));
  const status = { job: replica.spec.id, task: 0, attempt: 1 as Attempt, saved: false } as const;
  for (const sequence of [2, 3])
    handler.receive({ ...noticeAt(sequence), tasks: [{ ...status, phase: 'running', cause: null }] }, true);
  assert.equal(replica.placements.get(0)?.stopRequest?.reason, 'drained');
  assert.deepEqual(
    dispatched,
    [MACHINE],
    'the stop is sent at once, and by later heartbeats only in their responses',
  );
  assert.ok(!queues.startFitting(MACHINE));
});

// Guards against `ran_twice` by an exited attempt that hides the running one in a heartbeat (review/4): the task counted as
// never started, and was placed on another machine while it saved its checkpoint.
test('a task that saves is not taken for never started if an exited attempt of it is listed before or after it', () => {
  for (const isExitedFirst of [true, false]) {
    const fixture = createFixture();
    const { cluster, handler, queues, time } = fixture;
    handler.receive(makeHeartbeat(1), true);
    const job = addNewJob(fixture, { checkpointS: 30, saveS: 3 });
    placeFirstTask(cluster, job);
    queues.startFitting(MACHINE);
    const { id } = job.spec;
    const exited = {
      job: id,
      task: 0,
      attempt: 1 as Attempt,
      phase: 'exited',
      cause: 'stopped',
      saved: true,
    } as const;
    handler.receive(makeHeartbeat(2, [exited]), true);
    placeFirstTask(cluster, job);
    queues.startFitting(MACHINE);
    const saving = {
      job: id,
      task: 0,
      attempt: 2 as Attempt,
      phase: 'saving',
      cause: null,
      saved: false,
    } as const;
    job.requestStop(0, 7, 'preempted', time.now as MonotonicMs);
    handler.receive(makeHeartbeat(3, isExitedFirst ? [exited, saving] : [saving, exited]), true);
    assert.equal(job.placements.get(0)?.attempt, 2, `exited attempt first: ${isExitedFirst}`);
    assert.equal(job.placements.get(0)?.state, 'saving');
  }
});
