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
  MachineExclusions,
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

function applySteps(job: Job, sequence: readonly Step[]): void {
  for (const { op, task } of sequence) {
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

test('a task is in exactly one of the states pending, placed and done, and no attempt exceeds the issued count', () => {
  fc.assert(
    fc.property(steps(12), (sequence) => {
      const job = new Job(jobSpec({ id, tasks: 12 }), 5, KEY_ABSENT, at);
      const issued = new Set<string>();
      for (const step of sequence) {
        applySteps(job, [step]);
        const placement = job.placements.get(step.task);
        if (step.op === 'intend' && placement?.state === 'intended')
          issued.add(`${step.task}#${placement.attempt}`);
        const pending = new Set(job.pendingTasks(100));
        for (let task = 0; task < 12; task += 1) {
          const states =
            Number(pending.has(task)) + Number(job.placements.has(task)) + Number(job.isDone(task));
          assert.equal(states, 1, `task ${task}`);
        }
        assert.equal(job.pendingCount, pending.size);
      }
      const maxIssued = Math.max(0, ...job.chunks.map((chunk) => chunk.attemptsIssued));
      for (const name of issued) assert.ok(Number(name.split('#')[1]) <= maxIssued);
    }),
    { seed: 11, numRuns: 150 },
  );
});

// The gang's state decides whether a lost task is replaced under the same attempt or all other tasks are stopped.
// If a started gang returned to an earlier state, the replacement task would wait forever.
test('a gang makes only allowed transitions and never returns to a state before its start', () => {
  const op = fc.constantFrom('place', 'fetching', 'waiting', 'running', 'saving', 'done', 'lost', 'stop');
  const events = fc.array(fc.record({ op, task: fc.nat(2) }), { maxLength: 60 });
  fc.assert(
    fc.property(events, (sequence) => {
      const job = new Job(jobSpec({ id, kind: 'gang', tasks: 3, checkpointS: 5 }), 8, KEY_ABSENT, at);
      const { gang } = job;
      assert.ok(gang !== null);
      let started = false;
      for (const { op: event, task } of sequence) {
        const placement = job.placements.get(task);
        const canPlace = job.placements.size === 0 || job.awaitsReplacementTask;
        if (event === 'place') {
          if (placement !== undefined || job.isDone(task) || !canPlace) continue;
          const attempt = job.gangAttempt();
          job.recordIntent(task, machine(task), 1 as AgentEpoch, at, attempt);
          job.markDurable(task, attempt, at);
        } else if (placement === undefined) continue;
        else if (event === 'done' || event === 'lost') job.removePlacement(task, event === 'done', at);
        else if (event === 'stop') job.requestStop(task, task, 'drained', at);
        else job.applyReportedPhase(task, event, at);
        if (job.placements.size === 0) started = false;
        else started ||= event === 'running' || event === 'saving';
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

// The gang is told of each change instead of walking over all placements (review/6).
test('what a gang counts of its placements is what a walk over them shows', () => {
  const op = fc.constantFrom('place', 'restore', 'fetching', 'waiting', 'running', 'saving', 'lost', 'stop');
  const events = fc.array(fc.record({ op, task: fc.nat(3) }), { maxLength: 40 });
  fc.assert(
    fc.property(events, (sequence) => {
      const job = new Job(jobSpec({ id, kind: 'gang', tasks: 4, checkpointS: 5 }), 8, KEY_ABSENT, at);
      const { gang } = job;
      assert.ok(gang !== null);
      for (const { op: event, task } of sequence) {
        const isPlaced = job.placements.has(task);
        if (event === 'place' || event === 'restore') {
          if (isPlaced || gang.state === 'breaking') continue;
          const on = [task, machine(task % 2), 1 as AgentEpoch, job.gangAttempt()] as const;
          if (event === 'restore') job.restorePlacement(...on, at);
          else job.recordIntent(on[0], on[1], on[2], at, on[3]);
        } else if (!isPlaced) continue;
        else if (event === 'lost') job.removePlacement(task, false, at);
        else if (event === 'stop') job.requestStop(task, task, 'drained', at);
        else job.applyReportedPhase(task, event, at);
        const placed = [...job.placements.values()];
        const unstopped = placed.filter(({ stopRequest }) => stopRequest === null);
        assert.deepEqual([...gang.unstoppedTasks].sort(), unstopped.map((each) => each.task).sort());
        assert.equal(
          gang.isRunningUnstopped,
          unstopped.filter(({ state }) => state === 'running').length === placed.length,
        );
        for (const id of new Set(placed.map((each) => each.machine))) {
          const there = placed.filter((each) => each.machine === id);
          const waiting = there.filter(
            ({ state, stopRequest }) => state === 'waiting' && stopRequest === null,
          );
          assert.equal(gang.machines.get(id)?.placed, there.length);
          assert.equal(gang.machines.get(id)?.waiting, waiting.length);
        }
        assert.equal(gang.machines.size, new Set(placed.map((each) => each.machine)).size);
        const areIdle =
          unstopped.filter(({ state }) => state === 'fetching' || state === 'waiting').length ===
          placed.length;
        const isBeforeStart: boolean = gang.state === 'fetching' || gang.state === 'waiting';
        assert.equal(
          job.awaitsReplacementTask,
          isBeforeStart && areIdle && placed.length > 0 && placed.length < 4,
        );
      }
    }),
    { seed: 17, numRuns: 300 },
  );
});

test('a gang restored from a record awaits a replacement only after a task was reported as waiting', () => {
  const job = new Job(jobSpec({ id, kind: 'gang', tasks: 2 }), 8, KEY_ABSENT, at);
  job.restorePlacement(0, machine(0), 1 as AgentEpoch, 4 as Attempt, at);
  assert.equal(job.gangAttempt(), 4);
  assert.ok(!job.awaitsReplacementTask);
  job.applyReportedPhase(0, 'waiting', at);
  assert.ok(job.awaitsReplacementTask);
});

test('a job restored from its task records has the same done tasks, placements and issued attempts', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 1, max: 600 }),
      fc.integer({ min: 1, max: 256 }),
      fc.nat(),
      (tasks, size, salt) => {
        const spec = jobSpec({ id, tasks });
        const job = new Job(spec, size, KEY_ABSENT, at);
        for (let task = 0; task < tasks; task += 1) {
          const draw = (task * 7919 + salt) % 5;
          if (draw === 0)
            applySteps(job, [
              { op: 'intend', task },
              { op: 'done', task },
            ]);
          else if (draw === 1) applySteps(job, [{ op: 'intend', task }]);
        }
        const restored = new Job(spec, size, KEY_ABSENT, at);
        for (const chunk of job.chunks) {
          const value: unknown = JSON.parse(JSON.stringify(encodeChunk(job, chunk)));
          restoreChunk(restored, chunk.index, value, 9 as Version, at);
        }
        assert.equal(restored.doneCount, job.doneCount);
        assert.deepEqual([...restored.placements.keys()].sort(), [...job.placements.keys()].sort());
        assert.deepEqual(
          restored.chunks.map((chunk) => chunk.attemptsIssued),
          job.chunks.map((chunk) => chunk.attemptsIssued),
        );
      },
    ),
    { seed: 12, numRuns: 60 },
  );
});

test('a task record with every task placed fits the value size limit, even for a job of 100000 tasks', () => {
  for (const kb of [1, 4, 16]) {
    const size = tasksPerChunk(kb);
    const job = new Job(
      jobSpec({ id: `wk-${'9'.repeat(20)}` as JobId, tasks: 100_000 }),
      size,
      KEY_ABSENT,
      at,
    );
    for (let task = 100_000 - size; task < 100_000; task += 1) applySteps(job, [{ op: 'intend', task }]);
    const last = job.chunks.at(-1);
    assert.ok(last !== undefined);
    assert.ok(JSON.stringify(encodeChunk(job, last)).length <= kb * 1024);
  }
});

test('a placed task and a task of a cancelled job cannot be placed, and a cancelled job cannot become done', () => {
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

test('a cancellation replaces a graceful stop request and is not replaced by later requests', () => {
  const job = new Job(jobSpec({ id }), 8, KEY_ABSENT, at);
  job.recordIntent(0, machine(1), 1 as AgentEpoch, at, null);
  job.requestStop(0, 10, 'drained', at);
  job.requestStop(0, 0, 'cancelled', at);
  assert.equal(job.placements.get(0)?.stopRequest?.graceS, 0);
  job.requestStop(0, 10, 'preempted', at);
  assert.equal(job.placements.get(0)?.stopRequest?.reason, 'cancelled');
});

test('a job record is unchanged after being encoded and decoded', () => {
  const record = {
    spec: jobSpec({ id }),
    phase: 'active' as const,
    submittedAt: 5 as WallClockMs,
    chunkSize: 256,
  };
  for (const overrides of [{}, { phase: 'cancelled' as const, cancelledAt: 7 as WallClockMs }]) {
    const original = { ...record, ...overrides };
    assert.deepEqual(decodeJob(JSON.parse(JSON.stringify(encodeJob(original)))), original);
  }
});

test('jobs that can never run are rejected with a reason', () => {
  const reasonFor = (overrides: Parameters<typeof jobSpec>[0]): string | null =>
    rejectionReason(jobSpec(overrides), TEAMS, TYPES);
  assert.equal(reasonFor({ id }), null);
  assert.match(reasonFor({ id, team: 'nobody' }) ?? '', /team/);
  assert.match(reasonFor({ id, cpus: 17 }) ?? '', /type/);
  assert.match(reasonFor({ id, types: ['none'] }) ?? '', /type/);
  assert.match(reasonFor({ id, zone: 'mars' }) ?? '', /type/);
  assert.match(reasonFor({ id, gpus: 1, team: 'blue', types: ['g8'] }) ?? '', /limit/);
  // For an array, one task must fit the team's limit; for a gang or a service, all tasks must fit together.
  assert.equal(reasonFor({ id, cpus: 16, tasks: 50 }), null);
  assert.match(reasonFor({ id, cpus: 16, tasks: 3, kind: 'gang' }) ?? '', /limit/);
  assert.match(reasonFor({ id, cpus: 16, tasks: 3, kind: 'service' }) ?? '', /limit/);
  // Floating-point rounding must not make a sum exceed a limit that it equals.
  const limit = [{ name: 'red', cpus: 0, cpusMax: 0.3, gpus: 0, gpusMax: 0 }];
  assert.equal(rejectionReason(jobSpec({ id, kind: 'gang', tasks: 3, cpus: 0.1 }), limit, TYPES), null);
});

test('a spread gang is rejected when its tasks can run in only one zone', () => {
  const gang = { id, kind: 'gang' as const, tasks: 2, spread: true };
  const reasonFor = (overrides: Parameters<typeof jobSpec>[0], types = TYPES): string | null =>
    rejectionReason(jobSpec(overrides), TEAMS, types);
  assert.equal(reasonFor(gang), null);
  assert.match(reasonFor({ ...gang, oneZone: true }) ?? '', /scatter/);
  assert.match(reasonFor({ ...gang, zone: 'b' }) ?? '', /scatter/);
  const [small] = TYPES;
  assert.ok(small !== undefined);
  assert.match(reasonFor(gang, [{ ...small, zones: ['a'] }]) ?? '', /scatter/);
  assert.equal(reasonFor(gang, [{ ...small, zones: [] }]), null);
  // At most half of the tasks, rounded up, may be in one zone, so a gang of one task needs only one zone. Arrays and
  // services can run with half of their tasks.
  assert.equal(reasonFor({ ...gang, tasks: 1, oneZone: true }), null);
  assert.equal(reasonFor({ ...gang, kind: 'array', oneZone: true }), null);
  assert.equal(reasonFor({ ...gang, kind: 'service', oneZone: true }), null);
});

test('a machine evicts the least recently used images from its cache, and cannot become silent while it is booting', () => {
  const testedMachine = new Machine(machine(1), 's4', 'a', false, true, at);
  for (const [image, gb] of [
    ['a', 20],
    ['b', 15],
    ['a', 20],
    ['c', 10],
  ] as const)
    testedMachine.cacheImage(image, gb, 40);
  assert.deepEqual([...testedMachine.images.keys()], ['a', 'c']);
  assert.throws(() => {
    testedMachine.transitionTo('silent');
  });
});

// Two machines of normal speed were drained because one job with many tasks had too short an estimate.
test('a machine is considered slow only when tasks of several jobs are slow', () => {
  const testedMachine = new Machine(machine(1), 's4', 'a', false, true, at);
  for (let task = 0; task < 30; task += 1) testedMachine.recordRunTime('wk-000001', 4);
  assert.equal(testedMachine.isSlow(1.7), false);
  for (let job = 2; job < 12; job += 1) testedMachine.recordRunTime(`wk-00000${job}`, 3);
  assert.equal(testedMachine.isSlow(1.7), true);
  for (let job = 12; job < 40; job += 1) testedMachine.recordRunTime(`wk-0000${job}`, 0.9);
  assert.equal(testedMachine.slowness, 1);
});

// Guards against exclusions without an end (review/7), and against failures in quick succession on a machine that stays faulty.
test('a machine on which a job fails again is excluded for twice as long, at most for a minute, until a success', () => {
  const exclusions = new MachineExclusions();
  const faulty = machine(1);
  const durationsMs: number[] = [];
  let now = 0 as MonotonicMs;
  for (let failure = 0; failure < 5; failure += 1) {
    exclusions.recordFailure(faulty, now);
    const failedAt = now;
    while (exclusions.excludedAt(now).has(faulty)) now = (now + 1000) as MonotonicMs;
    durationsMs.push(now - failedAt);
  }
  assert.deepEqual(durationsMs, [10_000, 20_000, 40_000, 60_000, 60_000]);
  assert.deepEqual([...exclusions.failedMachines], [faulty], 'a failure counts until a success');
  exclusions.clear();
  assert.equal(exclusions.failedMachines.size, 0);
});

test('tasks that were started together and fail one after the other exclude their machine once', () => {
  const exclusions = new MachineExclusions();
  for (let task = 0; task < 8; task += 1) exclusions.recordFailure(machine(1), (task * 1000) as MonotonicMs);
  assert.equal(exclusions.excludedAt(9999 as MonotonicMs).size, 1);
  assert.equal(exclusions.excludedAt(10_000 as MonotonicMs).size, 0);
});
