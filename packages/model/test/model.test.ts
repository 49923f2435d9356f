import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs } from '@spurbridge/net';
import type { Attempt, JobId, MachineId, AgentEpoch, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { TEAMS, TYPES, jobSpec } from '@spurbridge/testkit';
import {
  Job,
  Machine,
  tasksPerChunk,
  decodeJob,
  encodeChunk,
  encodeJob,
  rejectionReason,
  restoreChunk,
} from '../src/index.js';
import type { WallClockMs } from '../src/index.js';

const id = 'wk-000001' as JobId;
const at = 0 as MonotonicMs;
const machine = (index: number): MachineId => `n-${String(index).padStart(6, '0')}` as MachineId;

type Step = { readonly op: 'intend' | 'durable' | 'run' | 'done' | 'lost' | 'stop'; readonly task: number };
const steps = (tasks: number): fc.Arbitrary<Step[]> =>
  fc.array(
    fc.record({
      op: fc.constantFrom<Step['op']>('intend', 'durable', 'run', 'done', 'lost', 'stop'),
      task: fc.nat(tasks - 1),
    }),
    { maxLength: 120 },
  );

function play(job: Job, list: readonly Step[]): void {
  for (const { op, task } of list) {
    const placement = job.placements.get(task);
    if (op === 'intend' && placement === undefined && !job.isDone(task))
      job.recordIntent(task, machine(task), 1 as AgentEpoch, at, null);
    else if (placement === undefined) continue;
    else if (op === 'durable') job.markDurable(task, placement.attempt, at);
    else if (op === 'run') job.applyReportedPhase(task, 'running', at);
    else if (op === 'done') job.removePlacement(task, true, at);
    else if (op === 'lost') job.removePlacement(task, false, at);
    else if (op === 'stop') job.requestStop(task, 1, 'drained', at);
  }
}

test('a task is pending, placed or done, never two of them, and attempts are never given twice', () => {
  fc.assert(
    fc.property(steps(12), (list) => {
      const job = new Job(jobSpec({ id, tasks: 12 }), 5, KEY_ABSENT, at);
      const given = new Set<string>();
      for (const step of list) {
        play(job, [step]);
        const placement = job.placements.get(step.task);
        if (step.op === 'intend' && placement?.state === 'intended')
          given.add(`${step.task}#${placement.attempt}`);
        const pending = new Set(job.pendingTasks(100));
        for (let task = 0; task < 12; task += 1) {
          const states =
            Number(pending.has(task)) + Number(job.placements.has(task)) + Number(job.isDone(task));
          assert.equal(states, 1, `task ${task}`);
        }
        assert.equal(job.pendingCount, pending.size);
      }
      const most = Math.max(0, ...job.chunks.map((chunk) => chunk.attemptsIssued));
      for (const name of given) assert.ok(Number(name.split('#')[1]) <= most);
    }),
    { seed: 11, numRuns: 150 },
  );
});

// A gang's state decides whether a lost task is replaced under the same attempt or the rest is stopped.
test('whatever its tasks report, a gang makes only allowed transitions and never goes back once started', () => {
  const op = fc.constantFrom('place', 'fetching', 'waiting', 'running', 'saving', 'done', 'lost', 'stop');
  const moves = fc.array(fc.record({ op, task: fc.nat(2) }), { maxLength: 60 });
  fc.assert(
    fc.property(moves, (list) => {
      const job = new Job(jobSpec({ id, kind: 'gang', tasks: 3, checkpointS: 5 }), 8, KEY_ABSENT, at);
      const { gang } = job;
      assert.ok(gang !== null);
      let started = false;
      for (const { op: what, task } of list) {
        const placement = job.placements.get(task);
        const ready = job.placements.size === 0 || job.awaitsReplacementTask;
        if (what === 'place') {
          if (placement !== undefined || job.isDone(task) || !ready) continue;
          const attempt = job.gangAttempt();
          job.recordIntent(task, machine(task), 1 as AgentEpoch, at, attempt);
          job.markDurable(task, attempt, at);
        } else if (placement === undefined) continue;
        else if (what === 'done' || what === 'lost') job.removePlacement(task, what === 'done', at);
        else if (what === 'stop') job.requestStop(task, task, 'drained', at);
        else job.applyReportedPhase(task, what, at);
        if (job.placements.size === 0) started = false;
        else started ||= what === 'running' || what === 'saving';
        if (started) {
          assert.ok(['running', 'saving', 'breaking', 'done'].includes(gang.state), gang.state);
          assert.ok(!job.awaitsReplacementTask);
        }
        assert.equal(new Set([...job.placements.values()].map(({ attempt }) => attempt)).size <= 1, true);
        assert.equal(gang.state === 'gone', job.placements.size === 0 && job.doneCount < 3);
        assert.equal(gang.state === 'done', job.doneCount === 3);
      }
    }),
    { seed: 13, numRuns: 300 },
  );
});

test('a gang restored from its record alone is not taken for one that has not started', () => {
  const job = new Job(jobSpec({ id, kind: 'gang', tasks: 2 }), 8, KEY_ABSENT, at);
  job.restorePlacement(0, machine(0), 1 as AgentEpoch, 4 as Attempt, at);
  assert.equal(job.gangAttempt(), 4);
  assert.ok(!job.awaitsReplacementTask);
  job.applyReportedPhase(0, 'waiting', at);
  assert.ok(job.awaitsReplacementTask);
});

test('a job rebuilt from its records has the same tasks done and placed', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 600 }),
      fc.integer({ min: 1, max: 256 }),
      fc.nat(),
      (tasks, size, salt) => {
        const spec = jobSpec({ id, tasks });
        const job = new Job(spec, size, KEY_ABSENT, at);
        for (let task = 0; task < tasks; task += 1) {
          const what = (task * 7919 + salt) % 5;
          if (what === 0)
            play(job, [
              { op: 'intend', task },
              { op: 'done', task },
            ]);
          else if (what === 1) play(job, [{ op: 'intend', task }]);
        }
        const again = new Job(spec, size, KEY_ABSENT, at);
        for (const chunk of job.chunks) {
          const value: unknown = JSON.parse(JSON.stringify(encodeChunk(job, chunk)));
          restoreChunk(again, chunk.index, value, 9 as Version, at);
        }
        assert.equal(again.doneCount, job.doneCount);
        assert.deepEqual([...again.placements.keys()].sort(), [...job.placements.keys()].sort());
        assert.deepEqual(
          again.chunks.map((chunk) => chunk.attemptsIssued),
          job.chunks.map((chunk) => chunk.attemptsIssued),
        );
      },
    ),
    { seed: 12, numRuns: 60 },
  );
});

test('a record with every task placed fits one value, also for the largest job', () => {
  for (const kb of [1, 4, 16]) {
    const size = tasksPerChunk(kb);
    const job = new Job(
      jobSpec({ id: `wk-${'9'.repeat(20)}` as JobId, tasks: 100_000 }),
      size,
      KEY_ABSENT,
      at,
    );
    for (let task = 100_000 - size; task < 100_000; task += 1) play(job, [{ op: 'intend', task }]);
    const last = job.chunks.at(-1);
    assert.ok(last !== undefined);
    assert.ok(JSON.stringify(encodeChunk(job, last)).length <= kb * 1024);
  }
});

test('placing a task of an ended job, or twice, is refused', () => {
  const job = new Job(jobSpec({ id }), 8, KEY_ABSENT, at);
  job.recordIntent(0, machine(1), 1 as AgentEpoch, at, null);
  assert.throws(() => job.recordIntent(0, machine(2), 1 as AgentEpoch, at, null));
  job.transitionTo('cancelled');
  assert.throws(() => job.recordIntent(1, machine(2), 1 as AgentEpoch, at, null));
  assert.throws(() => {
    job.transitionTo('done');
  });
  assert.deepEqual(job.pendingTasks(10), []);
});

test('a cancellation overrides a stop with grace', () => {
  const job = new Job(jobSpec({ id }), 8, KEY_ABSENT, at);
  job.recordIntent(0, machine(1), 1 as AgentEpoch, at, null);
  job.requestStop(0, 10, 'drained', at);
  job.requestStop(0, 0, 'cancelled', at);
  assert.equal(job.placements.get(0)?.stopRequest?.graceS, 0);
  job.requestStop(0, 10, 'preempted', at);
  assert.equal(job.placements.get(0)?.stopRequest?.reason, 'cancelled');
});

test("a job's record survives being written and read", () => {
  const record = {
    spec: jobSpec({ id }),
    phase: 'active' as const,
    submittedAt: 5 as WallClockMs,
    chunkSize: 256,
  };
  for (const over of [{}, { phase: 'cancelled' as const, cancelledAt: 7 as WallClockMs }]) {
    const written = { ...record, ...over };
    assert.deepEqual(decodeJob(JSON.parse(JSON.stringify(encodeJob(written)))), written);
  }
});

test('jobs that can never run are rejected with a reason', () => {
  const of = (over: Parameters<typeof jobSpec>[0]): string | null =>
    rejectionReason(jobSpec(over), TEAMS, TYPES);
  assert.equal(of({ id }), null);
  assert.match(of({ id, team: 'nobody' }) ?? '', /team/);
  assert.match(of({ id, cpus: 17 }) ?? '', /type/);
  assert.match(of({ id, types: ['none'] }) ?? '', /type/);
  assert.match(of({ id, zone: 'mars' }) ?? '', /type/);
  assert.match(of({ id, gpus: 1, team: 'blue', types: ['g8'] }) ?? '', /limit/);
  // An array needs room for one task, a gang and a service for all.
  assert.equal(of({ id, cpus: 16, tasks: 50 }), null);
  assert.match(of({ id, cpus: 16, tasks: 3, kind: 'gang' }) ?? '', /limit/);
  assert.match(of({ id, cpus: 16, tasks: 3, kind: 'service' }) ?? '', /limit/);
  // Sums of decimals are as long as the limit, and not longer by the last bit.
  const limit = [{ name: 'red', cpus: 0, cpusMax: 0.3, gpus: 0, gpusMax: 0 }];
  assert.equal(rejectionReason(jobSpec({ id, kind: 'gang', tasks: 3, cpus: 0.1 }), limit, TYPES), null);
});

test('a gang that has to be in one zone, and in no zone with more than half of it, can never run', () => {
  const gang = { id, kind: 'gang' as const, tasks: 2, spread: true };
  const of = (over: Parameters<typeof jobSpec>[0], types = TYPES): string | null =>
    rejectionReason(jobSpec(over), TEAMS, types);
  assert.equal(of(gang), null);
  assert.match(of({ ...gang, oneZone: true }) ?? '', /scatter/);
  assert.match(of({ ...gang, zone: 'b' }) ?? '', /scatter/);
  const [small] = TYPES;
  assert.ok(small !== undefined);
  assert.match(of(gang, [{ ...small, zones: ['a'] }]) ?? '', /scatter/);
  assert.equal(of(gang, [{ ...small, zones: [] }]), null);
  // One task is no more than half, rounded up; of arrays and services half can run.
  assert.equal(of({ ...gang, tasks: 1, oneZone: true }), null);
  assert.equal(of({ ...gang, kind: 'array', oneZone: true }), null);
  assert.equal(of({ ...gang, kind: 'service', oneZone: true }), null);
});

test('a machine caches the images used last, within its cache', () => {
  const tested = new Machine(machine(1), 's4', 'a', false, true, at);
  for (const [image, gb] of [
    ['a', 20],
    ['b', 15],
    ['a', 20],
    ['c', 10],
  ] as const)
    tested.cacheImage(image, gb, 40);
  assert.deepEqual([...tested.images.keys()], ['a', 'c']);
  assert.throws(() => {
    tested.transitionTo('silent');
  });
});

// Two sound machines were drained because many tasks of one job had been estimated too short.
test('a machine counts as slow by different jobs, not by many tasks of one', () => {
  const tested = new Machine(machine(1), 's4', 'a', false, true, at);
  for (let task = 0; task < 30; task += 1) tested.recordRunTime('wk-000001', 4);
  assert.equal(tested.isSlow(1.7), false);
  for (let job = 2; job < 12; job += 1) tested.recordRunTime(`wk-00000${job}`, 3);
  assert.equal(tested.isSlow(1.7), true);
  for (let job = 12; job < 40; job += 1) tested.recordRunTime(`wk-0000${job}`, 0.9);
  assert.equal(tested.slowness, 1);
});
