import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Attempt, JobId, MachineId } from '@spurbridge/wire';
import { encodeJob } from '@spurbridge/model';
import type { WallClockMs } from '@spurbridge/model';
import { RuleChecker, TEAMS, TYPES, jobSpec, smallWorld, watchForStarvation } from '../src/index.js';

const id = 'wk-000001' as JobId;
const one = 1 as Attempt;
const on = (machine: string, zone = 'a', spot = false) => ({
  machine: machine as MachineId,
  zone,
  spot,
  type: 's4',
});

function judged(act: (c: RuleChecker, later: (ms: number) => void) => void): string[] {
  let now = 0;
  const checker = new RuleChecker(() => now, TEAMS, 10_000);
  act(checker, (ms) => {
    now += ms;
    checker.sweep();
  });
  return checker.violations.map((b) => b.rule);
}

test('each rule can be found broken', () => {
  const spec = jobSpec({ id });
  assert.deepEqual(
    judged((c) => {
      c.taskStarted(spec, 0, one, on('n-1'));
      c.taskStarted(spec, 0, 2 as Attempt, on('n-2'));
    }),
    ['ran_twice'],
  );
  assert.deepEqual(
    judged((c) => {
      for (let t = 0; t < 21; t += 1) c.taskStarted({ ...spec, tasks: 30 }, t, one, on('n-1'));
    }),
    ['quota'],
  );
  const places = [{ spot: false }, { zone: 'b' }, { types: ['m16'] }];
  for (const over of places)
    assert.deepEqual(
      judged((c) => {
        c.taskStarted({ ...spec, ...over }, 0, one, on('n-1', 'a', true));
      }),
      ['wrong_place'],
    );
  for (const over of [{ spread: true, tasks: 2 }, { oneZone: true }])
    assert.deepEqual(
      judged((c) => {
        c.taskStarted({ ...spec, ...over }, 0, one, on('n-1', 'a'));
        c.taskStarted({ ...spec, ...over }, 1, one, on('n-2', over.oneZone === true ? 'b' : 'a'));
      }),
      ['wrong_place'],
    );
  assert.deepEqual(
    judged((c, later) => {
      c.jobSubmitted(spec);
      c.taskStarted(spec, 0, one, on('n-1'));
      c.cancellationRequested(id);
      c.responseReceived(id, 'cancel', 200, 'cancelled');
      later(9_900);
      assert.deepEqual(c.violations, []);
      later(200);
    }),
    ['ran_cancelled'],
  );
  assert.deepEqual(
    judged((c) => {
      c.jobSubmitted(spec);
      c.responseReceived(id, 'submit', 201, 'queued');
      c.responseReceived(id, 'poll', 404, null);
      c.responseReceived(id, 'submit', 422, null);
    }),
    ['forgotten', 'forgotten'],
  );
  assert.deepEqual(
    judged((c) => {
      c.responseReceived(id, 'poll', 200, 'queued');
    }),
    ['invented'],
  );
  assert.deepEqual(
    judged((c) => {
      c.jobSubmitted(spec);
      c.responseReceived(id, 'poll', 200, 'done');
      c.responseReceived(id, 'poll', 200, 'running');
    }),
    ['not_done', 'went_back'],
  );
  assert.deepEqual(
    judged((c) => {
      c.jobSubmitted(spec);
      c.responseReceived(id, 'poll', 200, 'cancelled');
    }),
    ['went_back'],
  );
});

test('a gang of which only some tasks complete is found split, a whole one is not', () => {
  const gang = jobSpec({ id, kind: 'gang', tasks: 2 });
  assert.deepEqual(
    judged((c) => {
      c.taskStarted(gang, 0, one, on('n-1'));
      c.gangCompleted(gang, one);
    }),
    ['gang_split'],
  );
  // A task of another attempt is none of its mates.
  assert.deepEqual(
    judged((c) => {
      c.taskStarted(gang, 0, one, on('n-1'));
      c.taskStarted(gang, 1, 2 as Attempt, on('n-2'));
      c.gangCompleted(gang, one);
    }),
    ['gang_split'],
  );
  assert.deepEqual(
    judged((c) => {
      c.taskStarted(gang, 0, one, on('n-1'));
      c.taskStarted(gang, 1, one, on('n-2'));
      c.gangCompleted(gang, one);
    }),
    [],
  );
});

test('a job whose every poll fails for 90 s is forgotten, while most others are answered', () => {
  const other = 'wk-000002' as JobId;
  const polls = (othersAnswered: boolean) =>
    judged((c, later) => {
      for (const job of [id, other]) {
        c.jobSubmitted(jobSpec({ id: job }));
        c.responseReceived(job, 'submit', 201, 'queued');
      }
      for (let n = 0; n < 20; n += 1) {
        later(5000);
        c.responseReceived(id, 'poll', 503, null);
        for (let i = 0; i < 3; i += 1)
          c.responseReceived(other, 'poll', othersAnswered ? 200 : 503, 'queued');
      }
    });
  assert.deepEqual(new Set(polls(true)), new Set(['forgotten']));
  assert.deepEqual(polls(false), []);
});

test('once all troubles are over a job without an answer for 75 s is forgotten, however others fare', () => {
  const polls = (calmFromMs: number) =>
    judged((c, later) => {
      c.faultsEndMs = calmFromMs;
      c.jobSubmitted(jobSpec({ id }));
      c.responseReceived(id, 'submit', 201, 'queued');
      for (let n = 0; n < 17; n += 1) {
        later(5000);
        c.responseReceived(id, 'poll', 503, null);
      }
    });
  assert.deepEqual(new Set(polls(0)), new Set(['forgotten']));
  // What it missed before they were over does not count.
  assert.deepEqual(polls(20_000), []);
});

test('a class of which the largest jobs do not begin fails, though more than half of it is served', () => {
  let now = 0;
  const c = new RuleChecker(() => now, [{ name: 'red', cpus: 99, cpusMax: 99, gpus: 0, gpusMax: 0 }], 1000);
  for (let i = 0; i < 8; i += 1) {
    const spec = jobSpec({ id: `wk-00010${i}` as JobId, tasks: i < 6 ? 1 : 10, cpus: 1 });
    c.jobSubmitted(spec);
    if (i >= 6) continue;
    c.taskStarted(spec, 0, one, on(`n-${i}`));
    c.taskStopped(spec.id, 0, `n-${i}` as MachineId, true);
  }
  now = 250_000;
  assert.deepEqual(c.underservedGroups(), [
    'class work, largest: ended 0.00',
    'class work, largest: started 0.00',
  ]);
});

test('a submission that must not be accepted and is accepted is found', () => {
  assert.deepEqual(
    judged((c) => {
      c.invalidSubmissionAnswered(id, 'no memGb', 400);
      c.invalidSubmissionAnswered(id, 'no memGb', 503);
      c.invalidSubmissionAnswered(id, 'no memGb', 201);
      c.invalidSubmissionAnswered(id, 'no memGb', 200);
    }),
    ['accepted_wrongly', 'accepted_wrongly'],
  );
});

test('starts after a confirmed cancellation are counted, also where they are gone in time', () => {
  let now = 0;
  const c = new RuleChecker(() => now, TEAMS, 10_000);
  const spec = jobSpec({ id });
  c.jobSubmitted(spec);
  c.taskStarted(spec, 0, one, on('n-1'));
  c.cancellationRequested(id);
  c.responseReceived(id, 'cancel', 200, 'cancelled');
  now = 100;
  c.taskStarted(spec, 1, one, on('n-1'));
  for (const task of [0, 1]) c.taskStopped(id, task, 'n-1' as MachineId, false);
  now = 20_000;
  c.sweep();
  assert.deepEqual([c.startsOfCancelledJobs, c.violations], [1, []]);
});

test('of several requests at once an answer counts as older by when it was asked for; done and cancelled never agree', () => {
  const began = (c: RuleChecker): void => {
    const spec = jobSpec({ id, tasks: 1 });
    c.jobSubmitted(spec);
    c.taskStarted(spec, 0, one, on('n-1'));
    c.responseReceived(id, 'submit', 201, 'queued');
    c.cancellationRequested(id);
  };
  const answers = (phase: 'queued' | 'done', askedMs: number) =>
    judged((c, later) => {
      began(c);
      later(1000);
      c.responseReceived(id, 'cancel', 200, 'cancelled');
      c.taskStopped(id, 0, 'n-1' as MachineId, true);
      later(100);
      c.responseReceived(id, 'poll', 200, phase, askedMs);
    });
  assert.deepEqual(answers('queued', 999), []);
  assert.deepEqual(answers('queued', 1000), ['went_back']);
  assert.deepEqual(answers('done', 0), ['went_back']);
  assert.deepEqual(
    judged((c, later) => {
      began(c);
      later(1000);
      c.taskStopped(id, 0, 'n-1' as MachineId, true);
      c.responseReceived(id, 'poll', 200, 'done');
      c.responseReceived(id, 'cancel', 200, 'cancelled', 0);
    }),
    ['went_back'],
  );
  assert.deepEqual(
    judged((c, later) => {
      later(500);
      began(c);
      c.responseReceived(id, 'poll', 404, null, 499);
      c.responseReceived(id, 'poll', 404, null, 500);
    }),
    ['forgotten'],
  );
});

test('a job left waiting for 90 s where a machine has room is found, one for which there is none is not', async () => {
  const waited = async (cpus: number) => {
    const w = smallWorld(3);
    await w.runUntil(10_000);
    for (const n of w.nodes) n.store.isRefused = true;
    const kept = { id: 'wk-000002' as JobId, tasks: 1, cpus, estimateS: 5 };
    const record = encodeJob({
      spec: jobSpec(kept),
      phase: 'active',
      submittedAt: w.wallClockStartMs as WallClockMs,
      chunkSize: 8,
    });
    // Accepted, as its user was told, by nodes that then never hear of it again.
    w.store.commit([], [{ put: `j/${kept.id}`, value: record }]);
    w.checker.jobSubmitted(jobSpec(kept));
    w.checker.responseReceived(kept.id, 'submit', 201, 'queued');
    const type = TYPES[0];
    assert.ok(type !== undefined && cpus !== type.cpus);
    w.addWorker('n-900000' as MachineId, type, 'a', true);
    w.checker.faultsEndMs = w.time.now;
    watchForStarvation(w);
    await w.runUntil(w.time.now + 120_000);
    return w.checker.violations.filter((b) => b.rule === 'left_waiting').map((b) => b.what.split(' ')[0]);
  };
  assert.deepEqual(new Set(await waited(2)), new Set(['wk-000002']));
  assert.deepEqual(await waited(16), []);
});
