import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Attempt, JobId, MachineId } from '@spurbridge/wire';
import { RuleChecker, TEAMS, jobSpec } from '../src/index.js';

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
  return checker.broken.map((b) => b.rule);
}

test('each rule can be found broken', () => {
  const spec = jobSpec({ id });
  assert.deepEqual(
    judged((c) => {
      c.started(spec, 0, one, on('n-1'));
      c.started(spec, 0, 2 as Attempt, on('n-2'));
    }),
    ['ran_twice'],
  );
  assert.deepEqual(
    judged((c) => {
      for (let t = 0; t < 21; t += 1) c.started({ ...spec, tasks: 30 }, t, one, on('n-1'));
    }),
    ['quota'],
  );
  const places = [{ spot: false }, { zone: 'b' }, { types: ['m16'] }];
  for (const over of places)
    assert.deepEqual(
      judged((c) => {
        c.started({ ...spec, ...over }, 0, one, on('n-1', 'a', true));
      }),
      ['wrong_place'],
    );
  for (const over of [{ spread: true, tasks: 2 }, { oneZone: true }])
    assert.deepEqual(
      judged((c) => {
        c.started({ ...spec, ...over }, 0, one, on('n-1', 'a'));
        c.started({ ...spec, ...over }, 1, one, on('n-2', over.oneZone === true ? 'b' : 'a'));
      }),
      ['wrong_place'],
    );
  assert.deepEqual(
    judged((c, later) => {
      c.submit(spec);
      c.started(spec, 0, one, on('n-1'));
      c.cancelAsked(id);
      c.told(id, 'cancel', 200, 'cancelled');
      later(9_900);
      assert.deepEqual(c.broken, []);
      later(200);
    }),
    ['ran_cancelled'],
  );
  assert.deepEqual(
    judged((c) => {
      c.submit(spec);
      c.told(id, 'submit', 201, 'queued');
      c.told(id, 'poll', 404, null);
      c.told(id, 'submit', 422, null);
    }),
    ['forgotten', 'forgotten'],
  );
  assert.deepEqual(
    judged((c) => {
      c.told(id, 'poll', 200, 'queued');
    }),
    ['invented'],
  );
  assert.deepEqual(
    judged((c) => {
      c.submit(spec);
      c.told(id, 'poll', 200, 'done');
      c.told(id, 'poll', 200, 'running');
    }),
    ['not_done', 'went_back'],
  );
  assert.deepEqual(
    judged((c) => {
      c.submit(spec);
      c.told(id, 'poll', 200, 'cancelled');
    }),
    ['went_back'],
  );
});
