import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job, WallMs } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type {
  JobId,
  MachineId,
  Session,
  Token,
  Version,
  WorkerCommand,
  WorkerReport,
} from '@spurbridge/wire';
import { Commands } from '../src/commands.js';
import { Estimates } from '../src/estimates.js';
import { Cluster } from '../src/index.js';
import type { Settings } from '../src/index.js';
import { Queues } from '../src/queues.js';
import { Reports } from '../src/reports.js';
import type { LeaderContext } from '../src/leader-term.js';
import { LeaderTerm } from '../src/leader-term.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };
const MACHINE = 'n-000001' as MachineId;
const TOKEN = 5 as Token;
const HORIZON_MS = 18_000;

/** One machine that reports well, while no direct call to it is ever answered. */
function parts(): {
  readonly time: { now: number };
  readonly sent: WorkerCommand[];
  readonly job: Job;
  report(tasks?: WorkerReport['tasks']): readonly WorkerCommand[] | null;
  cancel(after: Ms): void;
  preempt(): void;
} {
  const time = { now: 1000 };
  const clock = { now: () => time.now as Ms, sleep: () => Promise.resolve() };
  const sent: WorkerCommand[] = [];
  const settings = { workers: { cancelS: 52, leaseS: 32 } } as unknown as Settings;
  const context = {
    clock,
    settings,
    log: silent,
    leadership: { token: TOKEN, holdsSurely: () => true, observe: () => undefined },
    trust: { phaseOf: () => null },
    workers: {
      commands: (_: string, __: Token, ___: Session, commands: readonly WorkerCommand[]) => {
        sent.push(...commands);
        return Promise.resolve({ outcome: 'unknown' });
      },
    },
  } as unknown as LeaderContext;
  const term = new LeaderTerm(context);
  const cluster = new Cluster({
    clock,
    log: silent,
    types: () => TYPES,
    ageMs: () => 0,
    answeredUntil: 0 as Ms,
  });
  const reports = new Reports(term, cluster, new Estimates());
  const commands = new Commands(
    term,
    cluster,
    new Queues(cluster, clock.now),
    () => undefined,
    () => true,
    () => true,
  );
  const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: 1 });
  const record = (phase: 'active' | 'cancelled'): Parameters<Cluster['learnJob']>[0] => ({
    spec,
    phase,
    at: 0 as WallMs,
    chunkSize: 256,
  });
  let seq = 0;
  const report = (tasks: WorkerReport['tasks'] = []): readonly WorkerCommand[] | null => {
    const r: WorkerReport = {
      machine: MACHINE,
      address: 'n-000001:1',
      type: 's4',
      zone: 'a',
      spot: false,
      session: 1 as Session,
      seq: (seq += 1),
      token: TOKEN,
      noticeS: null,
      tasks,
    };
    reports.take(r, true);
    return commands.ordersFor(r);
  };
  report();
  const job = cluster.learnJob(record('active'), 3 as Version);
  assert.ok(job !== null);
  const { attempt } = cluster.place(job, 0, MACHINE, 1 as Session, null);
  cluster.durable(job, [{ task: 0, attempt }]);
  return {
    time,
    sent,
    job,
    report,
    cancel: (after) => {
      cluster.learnJob(record('cancelled'), 4 as Version);
      job.cancelledAfter = after;
    },
    preempt: () => {
      job.askStop(0, 0, 'preempted', clock.now());
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
  assert.deepEqual(p.report([ended as WorkerReport['tasks'][number]]), []);
  assert.equal(p.job.placements.size, 0);
});

test('a cancelled task is never started for that; past the horizon its machine is not renewed', async () => {
  const p = parts();
  await new Promise(setImmediate);
  p.time.now += 1000;
  p.cancel(p.time.now as Ms);
  p.time.now += HORIZON_MS;
  assert.deepEqual(
    p.report()?.map((c) => c.op),
    ['stop'],
  );
  p.time.now += 1;
  assert.equal(p.report(), null);
});
