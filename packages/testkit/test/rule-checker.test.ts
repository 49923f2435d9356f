import type { WallClockMs } from '@spurbridge/model';
import { encodeJob } from '@spurbridge/model';
import type { Attempt, JobId, MachineId } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { RuleChecker, TEAMS, TYPES, jobSpec, smallWorld, watchForStarvation } from '../src/index.js';

const id = 'wk-000001' as JobId;
const FIRST_ATTEMPT = 1 as Attempt;
const placementOn = (machine: string, zone = 'a', spot = false) => ({
  machine: machine as MachineId,
  zone,
  spot,
  type: 's4',
});

/** Names of the rules that the events of the scenario break; `later` advances the clock. */
function brokenRules(scenario: (checker: RuleChecker, later: (ms: number) => void) => void): string[] {
  let now = 0;
  const checker = new RuleChecker(() => now, TEAMS, 10_000);
  scenario(checker, (ms) => {
    now += ms;
    checker.sweep();
  });
  return checker.violations.map((violation) => violation.rule);
}

test('each rule is reported when it is broken', () => {
  const spec = jobSpec({ id });
  assert.deepEqual(
    brokenRules((checker) => {
      checker.taskStarted(spec, 0, FIRST_ATTEMPT, placementOn('n-1'));
      checker.taskStarted(spec, 0, 2 as Attempt, placementOn('n-2'));
    }),
    ['ran_twice'],
  );
  assert.deepEqual(
    brokenRules((checker) => {
      for (let t = 0; t < 21; t += 1)
        checker.taskStarted({ ...spec, tasks: 30 }, t, FIRST_ATTEMPT, placementOn('n-1'));
    }),
    ['quota'],
  );
  const places = [{ spot: false }, { zone: 'b' }, { types: ['m16'] }];
  for (const overrides of places)
    assert.deepEqual(
      brokenRules((checker) => {
        checker.taskStarted({ ...spec, ...overrides }, 0, FIRST_ATTEMPT, placementOn('n-1', 'a', true));
      }),
      ['wrong_place'],
    );
  for (const overrides of [{ spread: true, tasks: 2 }, { oneZone: true }])
    assert.deepEqual(
      brokenRules((checker) => {
        checker.taskStarted({ ...spec, ...overrides }, 0, FIRST_ATTEMPT, placementOn('n-1', 'a'));
        checker.taskStarted(
          { ...spec, ...overrides },
          1,
          FIRST_ATTEMPT,
          placementOn('n-2', overrides.oneZone === true ? 'b' : 'a'),
        );
      }),
      ['wrong_place'],
    );
  assert.deepEqual(
    brokenRules((checker, later) => {
      checker.jobSubmitted(spec);
      checker.taskStarted(spec, 0, FIRST_ATTEMPT, placementOn('n-1'));
      checker.cancellationRequested(id);
      checker.responseReceived(id, 'cancel', 200, 'cancelled');
      later(9_900);
      assert.deepEqual(checker.violations, []);
      later(200);
    }),
    ['ran_cancelled'],
  );
  assert.deepEqual(
    brokenRules((checker) => {
      checker.jobSubmitted(spec);
      checker.responseReceived(id, 'submit', 201, 'queued');
      checker.responseReceived(id, 'poll', 404, null);
      checker.responseReceived(id, 'submit', 422, null);
    }),
    ['forgotten', 'forgotten'],
  );
  assert.deepEqual(
    brokenRules((checker) => {
      checker.responseReceived(id, 'poll', 200, 'queued');
    }),
    ['invented'],
  );
  assert.deepEqual(
    brokenRules((checker) => {
      checker.jobSubmitted(spec);
      checker.responseReceived(id, 'poll', 200, 'done');
      checker.responseReceived(id, 'poll', 200, 'running');
    }),
    ['not_done', 'went_back'],
  );
  assert.deepEqual(
    brokenRules((checker) => {
      checker.jobSubmitted(spec);
      checker.responseReceived(id, 'poll', 200, 'cancelled');
    }),
    ['went_back'],
  );
});

test('a gang that completes with only some of its tasks is reported as split, and a complete one is not', () => {
  const gang = jobSpec({ id, kind: 'gang', tasks: 2 });
  assert.deepEqual(
    brokenRules((checker) => {
      checker.taskStarted(gang, 0, FIRST_ATTEMPT, placementOn('n-1'));
      checker.gangCompleted(gang, FIRST_ATTEMPT);
    }),
    ['gang_split'],
  );
  // A task of another attempt does not count as part of the gang.
  assert.deepEqual(
    brokenRules((checker) => {
      checker.taskStarted(gang, 0, FIRST_ATTEMPT, placementOn('n-1'));
      checker.taskStarted(gang, 1, 2 as Attempt, placementOn('n-2'));
      checker.gangCompleted(gang, FIRST_ATTEMPT);
    }),
    ['gang_split'],
  );
  assert.deepEqual(
    brokenRules((checker) => {
      checker.taskStarted(gang, 0, FIRST_ATTEMPT, placementOn('n-1'));
      checker.taskStarted(gang, 1, FIRST_ATTEMPT, placementOn('n-2'));
      checker.gangCompleted(gang, FIRST_ATTEMPT);
    }),
    [],
  );
});

test('a job whose polls all fail for 90 s is reported as forgotten if most polls of other jobs succeed', () => {
  const other = 'wk-000002' as JobId;
  const brokenWhen = (othersSucceed: boolean) =>
    brokenRules((checker, later) => {
      for (const job of [id, other]) {
        checker.jobSubmitted(jobSpec({ id: job }));
        checker.responseReceived(job, 'submit', 201, 'queued');
      }
      for (let n = 0; n < 20; n += 1) {
        later(5000);
        checker.responseReceived(id, 'poll', 503, null);
        for (let i = 0; i < 3; i += 1)
          checker.responseReceived(other, 'poll', othersSucceed ? 200 : 503, 'queued');
      }
    });
  assert.deepEqual(new Set(brokenWhen(true)), new Set(['forgotten']));
  assert.deepEqual(brokenWhen(false), []);
});

test('after all faults a job without a response for 75 s is reported as forgotten regardless of other jobs', () => {
  const brokenWith = (faultsEndMs: number) =>
    brokenRules((checker, later) => {
      checker.faultsEndMs = faultsEndMs;
      checker.jobSubmitted(jobSpec({ id }));
      checker.responseReceived(id, 'submit', 201, 'queued');
      for (let n = 0; n < 17; n += 1) {
        later(5000);
        checker.responseReceived(id, 'poll', 503, null);
      }
    });
  assert.deepEqual(new Set(brokenWith(0)), new Set(['forgotten']));
  // Time without a response before the end of the faults does not count.
  assert.deepEqual(brokenWith(20_000), []);
});

test('a class whose largest jobs do not start is reported although more than half of its jobs are served', () => {
  let now = 0;
  const checker = new RuleChecker(
    () => now,
    [{ name: 'red', cpus: 99, cpusMax: 99, gpus: 0, gpusMax: 0 }],
    1000,
  );
  for (let i = 0; i < 8; i += 1) {
    const spec = jobSpec({ id: `wk-00010${i}` as JobId, tasks: i < 6 ? 1 : 10, cpus: 1 });
    checker.jobSubmitted(spec);
    if (i >= 6) continue;
    checker.taskStarted(spec, 0, FIRST_ATTEMPT, placementOn(`n-${i}`));
    checker.taskStopped(spec.id, 0, `n-${i}` as MachineId, true);
  }
  now = 250_000;
  assert.deepEqual(checker.underservedGroups(), [
    'class work, largest: ended 0.00',
    'class work, largest: started 0.00',
  ]);
});

test('an invalid submission that is accepted is reported', () => {
  assert.deepEqual(
    brokenRules((checker) => {
      checker.invalidSubmissionAnswered(id, 'no memGb', 400);
      checker.invalidSubmissionAnswered(id, 'no memGb', 503);
      checker.invalidSubmissionAnswered(id, 'no memGb', 201);
      checker.invalidSubmissionAnswered(id, 'no memGb', 200);
    }),
    ['accepted_wrongly', 'accepted_wrongly'],
  );
});

test('starts after a confirmed cancellation are counted even if the tasks end in time', () => {
  let now = 0;
  const checker = new RuleChecker(() => now, TEAMS, 10_000);
  const spec = jobSpec({ id });
  checker.jobSubmitted(spec);
  checker.taskStarted(spec, 0, FIRST_ATTEMPT, placementOn('n-1'));
  checker.cancellationRequested(id);
  checker.responseReceived(id, 'cancel', 200, 'cancelled');
  now = 100;
  checker.taskStarted(spec, 1, FIRST_ATTEMPT, placementOn('n-1'));
  for (const task of [0, 1]) checker.taskStopped(id, task, 'n-1' as MachineId, false);
  now = 20_000;
  checker.sweep();
  assert.deepEqual([checker.startsOfCancelledJobs, checker.violations], [1, []]);
});

test('concurrent responses are checked by the time of their requests, but done and cancelled always contradict each other', () => {
  const startJobAndCancel = (checker: RuleChecker): void => {
    const spec = jobSpec({ id, tasks: 1 });
    checker.jobSubmitted(spec);
    checker.taskStarted(spec, 0, FIRST_ATTEMPT, placementOn('n-1'));
    checker.responseReceived(id, 'submit', 201, 'queued');
    checker.cancellationRequested(id);
  };
  const brokenByPoll = (phase: 'queued' | 'done', asOfMs: number) =>
    brokenRules((checker, later) => {
      startJobAndCancel(checker);
      later(1000);
      checker.responseReceived(id, 'cancel', 200, 'cancelled');
      checker.taskStopped(id, 0, 'n-1' as MachineId, true);
      later(100);
      checker.responseReceived(id, 'poll', 200, phase, asOfMs);
    });
  assert.deepEqual(brokenByPoll('queued', 999), []);
  assert.deepEqual(brokenByPoll('queued', 1000), ['went_back']);
  assert.deepEqual(brokenByPoll('done', 0), ['went_back']);
  assert.deepEqual(
    brokenRules((checker, later) => {
      startJobAndCancel(checker);
      later(1000);
      checker.taskStopped(id, 0, 'n-1' as MachineId, true);
      checker.responseReceived(id, 'poll', 200, 'done');
      checker.responseReceived(id, 'cancel', 200, 'cancelled', 0);
    }),
    ['went_back'],
  );
  assert.deepEqual(
    brokenRules((checker, later) => {
      later(500);
      startJobAndCancel(checker);
      checker.responseReceived(id, 'poll', 404, null, 499);
      checker.responseReceived(id, 'poll', 404, null, 500);
    }),
    ['forgotten'],
  );
});

test('a job that waits for 90 s is reported only if a machine has room for it', async () => {
  const reportedJobs = async (cpus: number) => {
    const world = smallWorld(3);
    await world.runUntil(10_000);
    for (const node of world.nodes) node.store.isRefused = true;
    const waiting = { id: 'wk-000002' as JobId, tasks: 1, cpus, estimateS: 5 };
    const record = encodeJob({
      spec: jobSpec(waiting),
      phase: 'active',
      submittedAt: world.wallClockStartMs as WallClockMs,
      chunkSize: 8,
    });
    // The job was reported as accepted, but the nodes cannot read its record because the store refuses them.
    world.store.commit([], [{ put: `j/${waiting.id}`, value: record }]);
    world.checker.jobSubmitted(jobSpec(waiting));
    world.checker.responseReceived(waiting.id, 'submit', 201, 'queued');
    const type = TYPES[0];
    assert.ok(type !== undefined && cpus !== type.cpus);
    world.addWorker('n-900000' as MachineId, type, 'a', true);
    world.checker.faultsEndMs = world.time.now;
    watchForStarvation(world);
    await world.runUntil(world.time.now + 120_000);
    return world.checker.violations
      .filter((violation) => violation.rule === 'left_waiting')
      .map((violation) => violation.what.split(' ')[0]);
  };
  assert.deepEqual(new Set(await reportedJobs(2)), new Set(['wk-000002']));
  assert.deepEqual(await reportedJobs(16), []);
});
