import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Guards } from './state-loss/model-state.js';
import { ALL_GUARDS } from './state-loss/model-state.js';
import { searchStates } from './state-loss/state-space.js';

const STARTED = ['node 0 leads with 2', 'node 0 places on 1', 'node 0 starts on 1', 'a late start arrives'];
const CRASHED_BEFORE_START = [...STARTED.slice(0, 3), 'node 0 crashes'];
const EMPTIED_AFTER_LATE_WRITE = [
  ...STARTED,
  'the task exits on 1',
  'node 0 clears, without an answer',
  'node 0 crashes',
  'the store is emptied',
];

test('with all guards no order of a loss, a crash and late messages breaks a rule', () => {
  const { stateCount, stepsToBrokenRule } = searchStates(ALL_GUARDS, 8);
  assert.equal(stepsToBrokenRule, null);
  assert.ok(stateCount > 15_000, `${stateCount} states`);
  for (const prefix of [STARTED, CRASHED_BEFORE_START, EMPTIED_AFTER_LATE_WRITE]) {
    const maxSteps = prefix === EMPTIED_AFTER_LATE_WRITE ? 14 : 9;
    assert.equal(searchStates(ALL_GUARDS, maxSteps, prefix).stepsToBrokenRule, null, prefix.join());
  }
});

const cases: readonly [keyof Guards, number, readonly string[]][] = [
  ['fencing', 14, EMPTIED_AFTER_LATE_WRITE],
  ['uniqueFenceNames', 14, EMPTIED_AFTER_LATE_WRITE],
  ['waitsForLeases', 6, []],
  ['reconciles', 9, CRASHED_BEFORE_START],
  ['risingTokenFloors', 6, []],
  ['mergesReplicas', 9, STARTED],
];
for (const [guard, maxSteps, prefix] of cases)
  test(`without "${guard}" the same search finds a broken rule`, () => {
    const { stepsToBrokenRule } = searchStates({ ...ALL_GUARDS, [guard]: false }, maxSteps, prefix);
    assert.notEqual(stepsToBrokenRule, null);
  });
