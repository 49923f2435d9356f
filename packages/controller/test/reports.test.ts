import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job, WallMs } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { Attempt, JobId, MachineId, Session, Token, Version, WorkerReport } from '@spurbridge/wire';
import { Cluster } from '../src/index.js';
import { Estimates } from '../src/estimates.js';
import { Queues } from '../src/queues.js';
import { Reports } from '../src/reports.js';
import type { LeaderContext } from '../src/leader-term.js';
import { LeaderTerm } from '../src/leader-term.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };
const MACHINE = 'n-000001' as MachineId;
const TOKEN = 5 as Token;

interface Parts {
  readonly time: { now: number };
  readonly cluster: Cluster;
  readonly reports: Reports;
  readonly queues: Queues;
}

function parts(): Parts {
  const time = { now: 1000 };
  const clock = { now: () => time.now as Ms, sleep: () => Promise.resolve() };
  const cluster = new Cluster({
    clock,
    log: silent,
    types: () => TYPES,
    ageMs: () => 0,
    answeredUntil: 0 as Ms,
  });
  const context = { clock, log: silent, leadership: { token: TOKEN } } as unknown as LeaderContext;
  const reports = new Reports(new LeaderTerm(context), cluster, new Estimates());
  return { time, cluster, reports, queues: new Queues(cluster, clock.now) };
}

let jobs = 0;
function job(p: Parts, over: Partial<Parameters<typeof jobSpec>[0]> = {}): Job {
  const spec = jobSpec({
    id: `wk-${String((jobs += 1)).padStart(6, '0')}` as JobId,
    cpus: 4,
    tasks: 1,
    ...over,
  });
  const learned = p.cluster.learnJob(
    { spec, phase: 'active', at: 0 as WallMs, chunkSize: 256 },
    3 as Version,
  );
  assert.ok(learned !== null);
  return learned;
}

function report(seq: number, tasks: WorkerReport['tasks'] = [], token = TOKEN): WorkerReport {
  return {
    machine: MACHINE,
    address: 'n-000001:1',
    type: 's4',
    zone: 'a',
    spot: false,
    session: 1 as Session,
    seq,
    token,
    noticeS: null,
    tasks,
  };
}

/** Places the job's task on the machine; its intent is durable. */
function place(p: Parts, j: Job): void {
  const { attempt } = p.cluster.place(j, 0, MACHINE, 1 as Session, null);
  p.cluster.durable(j, [{ task: 0, attempt }]);
}

// The start was on its way in the answer to a report when the machine answered a direct stop: taken for never started, the
// task was placed elsewhere, and then it started here.
test('that a task is missing in the answer of a direct call proves nothing; in the next own report it does', () => {
  const p = parts();
  p.reports.take(report(1), true);
  const j = job(p);
  place(p, j);
  assert.ok(p.queues.release(MACHINE));
  j.askStop(0, 0, 'preempted', p.time.now as Ms);
  p.reports.take(report(2), false);
  assert.equal(j.placements.size, 1, 'the answer of a direct call');
  p.reports.take(report(3, [], 4 as Token), true);
  assert.equal(j.placements.size, 1, 'an own report under an earlier token');
  p.reports.take(report(4), true);
  assert.equal(j.placements.size, 0);
});

test('a task waits in its machine’s queue until a report shows room, a service before an array', () => {
  const p = parts();
  p.reports.take(report(1), true);
  const running = job(p);
  place(p, running);
  assert.ok(p.queues.release(MACHINE));
  const t = { job: running.spec.id, task: 0, attempt: 1 as Attempt, saved: false };
  p.reports.take(report(2, [{ ...t, phase: 'running', cause: null }]), true);
  const array = job(p);
  const service = job(p, { kind: 'service', priority: 'production', estimateS: 0 });
  place(p, array);
  place(p, service);
  assert.ok(!p.queues.release(MACHINE), 'no room yet');
  p.reports.take(report(3, [{ ...t, phase: 'exited', cause: 'done' }]), true);
  assert.ok(p.queues.release(MACHINE));
  assert.equal(service.placements.get(0)?.state, 'starting');
  assert.equal(array.placements.get(0)?.state, 'queued');
});

test('what waits in a queue in vain, or is to be stopped, is given up at once; what was read from a record is not', () => {
  const p = parts();
  p.reports.take(report(1), true);
  const running = job(p);
  place(p, running);
  p.queues.release(MACHINE);
  const late = job(p);
  const stopped = job(p);
  place(p, late);
  place(p, stopped);
  const restored = job(p);
  restored.restorePlacement(0, MACHINE, 1 as Session, 1 as Attempt, p.time.now as Ms);
  p.cluster.afterRestore(restored);
  stopped.askStop(0, 0, 'preempted', p.time.now as Ms);
  p.queues.sweep(MACHINE);
  assert.deepEqual(
    [late, stopped, restored].map((j) => j.placements.size),
    [1, 0, 1],
  );
  p.time.now += 60_000;
  p.queues.sweep(MACHINE);
  assert.deepEqual(
    [running, late, restored].map((j) => j.placements.size),
    [1, 0, 1],
  );
});
