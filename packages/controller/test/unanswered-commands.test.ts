import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job, WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type {
  JobId,
  MachineId,
  AgentEpoch,
  FencingToken,
  Version,
  WorkerCommand,
  Heartbeat,
} from '@spurbridge/wire';
import { CommandDispatcher } from '../src/heartbeats/command-dispatcher.js';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';
import { ClusterState } from '../src/index.js';
import type { Settings } from '../src/index.js';
import { MachineQueues } from '../src/placement/machine-queues.js';
import { HeartbeatHandler } from '../src/heartbeats/heartbeat-handler.js';
import type { LeaderContext } from '../src/leadership/leader-term.js';
import { LeaderTerm } from '../src/leadership/leader-term.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };
const MACHINE = 'n-000001' as MachineId;
const TOKEN = 5 as FencingToken;
const HORIZON_MS = 18_000;

/** One machine that reports well, while no direct call to it is ever answered. */
function parts(): {
  readonly time: { now: number };
  readonly sent: WorkerCommand[];
  readonly job: Job;
  report(tasks?: Heartbeat['tasks']): readonly WorkerCommand[] | null;
  cancel(after: MonotonicMs): void;
  preempt(): void;
} {
  const time = { now: 1000 };
  const clock = { now: () => time.now as MonotonicMs, sleep: () => Promise.resolve() };
  const sent: WorkerCommand[] = [];
  const settings = { workers: { cancelS: 52, leaseS: 32 } } as unknown as Settings;
  const context = {
    clock,
    settings,
    log: silent,
    leadership: { fencingToken: TOKEN, holdsValidLease: () => true, observeToken: () => undefined },
    storeIntegrity: { phaseOf: () => null },
    workerClient: {
      sendCommands: (_: string, __: FencingToken, ___: AgentEpoch, commands: readonly WorkerCommand[]) => {
        sent.push(...commands);
        return Promise.resolve({ outcome: 'unknown' });
      },
    },
  } as unknown as LeaderContext;
  const term = new LeaderTerm(context);
  const cluster = new ClusterState({
    clock,
    log: silent,
    machineTypes: () => TYPES,
    ageMs: () => 0,
    previousLeaderRenewsUntil: 0 as MonotonicMs,
  });
  const reports = new HeartbeatHandler(term, cluster, new RuntimeEstimator());
  const commands = new CommandDispatcher(
    term,
    cluster,
    new MachineQueues(cluster, clock.now),
    { mayIssueCommands: true, mayPlaceJob: () => true },
    { receiveHeartbeat: () => undefined },
  );
  const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: 1 });
  const record = (phase: 'active' | 'cancelled'): Parameters<ClusterState['applyJobRecord']>[0] => ({
    spec,
    phase,
    submittedAt: 0 as WallClockMs,
    chunkSize: 256,
  });
  let seq = 0;
  const report = (tasks: Heartbeat['tasks'] = []): readonly WorkerCommand[] | null => {
    const r: Heartbeat = {
      machine: MACHINE,
      address: 'n-000001:1',
      type: 's4',
      zone: 'a',
      spot: false,
      agentEpoch: 1 as AgentEpoch,
      sequence: (seq += 1),
      fencingToken: TOKEN,
      preemptionNoticeS: null,
      tasks,
    };
    reports.receive(r, true);
    return commands.commandsForResponse(r);
  };
  report();
  const job = cluster.applyJobRecord(record('active'), 3 as Version);
  assert.ok(job !== null);
  const { attempt } = cluster.placeTask(job, 0, MACHINE, 1 as AgentEpoch, null);
  cluster.markDurable(job, [{ task: 0, attempt }]);
  return {
    time,
    sent,
    job,
    report,
    cancel: (after) => {
      cluster.applyJobRecord(record('cancelled'), 4 as Version);
      job.cancelledAfter = after;
    },
    preempt: () => {
      job.requestStop(0, 0, 'preempted', clock.now());
    },
  };
}

// It could not be proven gone by anything while the machine's session lasted, and its job never went on.
test('a stopped task whose direct start is unanswered is told both, seen to have ended, and is free again', async () => {
  const p = parts();
  await new Promise(setImmediate);
  assert.deepEqual(
    p.sent.map((c) => c.op),
    ['start'],
  );
  p.preempt();
  assert.deepEqual(
    p.report()?.map((c) => c.op),
    ['start', 'stop'],
  );
  const { attempt } = [...p.job.placements.values()][0] ?? {};
  assert.ok(attempt !== undefined);
  const ended = { job: p.job.spec.id, task: 0, attempt, phase: 'exited', cause: 'stopped' } as const;
  // It is never forgotten in this session: the start that comes late after all must find the attempt known.
  assert.deepEqual(p.report([ended as Heartbeat['tasks'][number]]), []);
  assert.equal(p.job.placements.size, 0);
});

test('a cancelled task is never started for that; past the horizon its machine is not renewed', async () => {
  const p = parts();
  await new Promise(setImmediate);
  p.time.now += 1000;
  p.cancel(p.time.now as MonotonicMs);
  p.time.now += HORIZON_MS;
  assert.deepEqual(
    p.report()?.map((c) => c.op),
    ['stop'],
  );
  p.time.now += 1;
  assert.equal(p.report(), null);
});
