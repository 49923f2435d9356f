import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job, WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type {
  Attempt,
  JobId,
  MachineId,
  AgentEpoch,
  FencingToken,
  Version,
  Heartbeat,
} from '@spurbridge/wire';
import { ClusterState } from '../src/index.js';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';
import { MachineQueues } from '../src/placement/machine-queues.js';
import { HeartbeatHandler } from '../src/heartbeats/heartbeat-handler.js';
import type { LeaderContext } from '../src/leadership/leader-term.js';
import { LeaderTerm } from '../src/leadership/leader-term.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };
const MACHINE = 'n-000001' as MachineId;
const TOKEN = 5 as FencingToken;

interface Parts {
  readonly time: { now: number };
  readonly cluster: ClusterState;
  readonly reports: HeartbeatHandler;
  readonly queues: MachineQueues;
}

function parts(): Parts {
  const time = { now: 1000 };
  const clock = { now: () => time.now as MonotonicMs, sleep: () => Promise.resolve() };
  const cluster = new ClusterState({
    clock,
    log: silent,
    machineTypes: () => TYPES,
    ageMs: () => 0,
    previousLeaderRenewsUntil: 0 as MonotonicMs,
  });
  const context = { clock, log: silent, leadership: { fencingToken: TOKEN } } as unknown as LeaderContext;
  const reports = new HeartbeatHandler(new LeaderTerm(context), cluster, new RuntimeEstimator());
  return { time, cluster, reports, queues: new MachineQueues(cluster, clock.now) };
}

let jobs = 0;
function job(p: Parts, over: Partial<Parameters<typeof jobSpec>[0]> = {}): Job {
  const spec = jobSpec({
    id: `wk-${String((jobs += 1)).padStart(6, '0')}` as JobId,
    cpus: 4,
    tasks: 1,
    ...over,
  });
  const learned = p.cluster.applyJobRecord(
    { spec, phase: 'active', submittedAt: 0 as WallClockMs, chunkSize: 256 },
    3 as Version,
  );
  assert.ok(learned !== null);
  return learned;
}

function report(seq: number, tasks: Heartbeat['tasks'] = [], token = TOKEN): Heartbeat {
  return {
    machine: MACHINE,
    address: 'n-000001:1',
    type: 's4',
    zone: 'a',
    spot: false,
    agentEpoch: 1 as AgentEpoch,
    sequence: seq,
    fencingToken: token,
    preemptionNoticeS: null,
    tasks,
  };
}

/** Places the job's task on the machine; its intent is durable. */
function place(p: Parts, j: Job): void {
  const { attempt } = p.cluster.placeTask(j, 0, MACHINE, 1 as AgentEpoch, null);
  p.cluster.markDurable(j, [{ task: 0, attempt }]);
}

// The start was on its way in the answer to a report when the machine answered a direct stop: taken for never started, the
// task was placed elsewhere, and then it started here.
test('that a task is missing in the answer of a direct call proves nothing; in the next own report it does', () => {
  const p = parts();
  p.reports.receive(report(1), true);
  const j = job(p);
  place(p, j);
  assert.ok(p.queues.startFitting(MACHINE));
  j.requestStop(0, 0, 'preempted', p.time.now as MonotonicMs);
  p.reports.receive(report(2), false);
  assert.equal(j.placements.size, 1, 'the answer of a direct call');
  p.reports.receive(report(3, [], 4 as FencingToken), true);
  assert.equal(j.placements.size, 1, 'an own report under an earlier token');
  p.reports.receive(report(4), true);
  assert.equal(j.placements.size, 0);
});

test('a task waits in its machine’s queue until a report shows room, a service before an array', () => {
  const p = parts();
  p.reports.receive(report(1), true);
  const running = job(p);
  place(p, running);
  assert.ok(p.queues.startFitting(MACHINE));
  const t = { job: running.spec.id, task: 0, attempt: 1 as Attempt, saved: false };
  p.reports.receive(report(2, [{ ...t, phase: 'running', cause: null }]), true);
  const array = job(p);
  const service = job(p, { kind: 'service', priority: 'production', estimateS: 0 });
  place(p, array);
  place(p, service);
  assert.ok(!p.queues.startFitting(MACHINE), 'no room yet');
  p.reports.receive(report(3, [{ ...t, phase: 'exited', cause: 'done' }]), true);
  assert.ok(p.queues.startFitting(MACHINE));
  assert.equal(service.placements.get(0)?.state, 'starting');
  assert.equal(array.placements.get(0)?.state, 'queued');
});

test('what waits in a queue in vain, or is to be stopped, is given up at once; what was read from a record is not', () => {
  const p = parts();
  p.reports.receive(report(1), true);
  const running = job(p);
  place(p, running);
  p.queues.startFitting(MACHINE);
  const late = job(p);
  const stopped = job(p);
  place(p, late);
  place(p, stopped);
  const restored = job(p);
  restored.restorePlacement(0, MACHINE, 1 as AgentEpoch, 1 as Attempt, p.time.now as MonotonicMs);
  p.cluster.finishRestore(restored);
  stopped.requestStop(0, 0, 'preempted', p.time.now as MonotonicMs);
  p.queues.evictStale(MACHINE);
  assert.deepEqual(
    [late, stopped, restored].map((j) => j.placements.size),
    [1, 0, 1],
  );
  p.time.now += 60_000;
  p.queues.evictStale(MACHINE);
  assert.deepEqual(
    [running, late, restored].map((j) => j.placements.size),
    [1, 0, 1],
  );
});
