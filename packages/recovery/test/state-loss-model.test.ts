import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Guards } from './state-loss/model-state.js';
import { ALL_GUARDS } from './state-loss/model-state.js';
import { searchStates } from './state-loss/state-space.js';

/** Steps after which the first leader has started the task on machine 1. */
const STARTED = [
  'node 0 is elected with token 2',
  'node 0 writes a placement on machine 1',
  'node 0 sends a start command to machine 1',
  'a start message arrives',
];
/** Steps after which the first leader has crashed while its start command is in transit. */
const CRASHED_BEFORE_START = [...STARTED.slice(0, 3), 'node 0 crashes'];
/** Steps after which the store is empty and a write of the crashed leader is in transit. */
const EMPTIED_AFTER_LATE_WRITE = [
  ...STARTED,
  'the task exits on machine 1',
  'node 0 clears the placement, without a response',
  'node 0 crashes',
  'the store is emptied',
];

test('recovery violates no invariant in any order of a data loss, a crash and late messages', () => {
  const { stateCount, stepsToViolation } = searchStates(ALL_GUARDS, 8);
  assert.equal(stepsToViolation, null);
  assert.ok(stateCount > 15_000, `${stateCount} states`);
  for (const prefix of [STARTED, CRASHED_BEFORE_START, EMPTIED_AFTER_LATE_WRITE]) {
    const maxSteps = prefix === EMPTIED_AFTER_LATE_WRITE ? 14 : 9;
    assert.equal(searchStates(ALL_GUARDS, maxSteps, prefix).stepsToViolation, null, prefix.join());
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
  test(`recovery violates an invariant without the guard "${guard}"`, () => {
    const { stepsToViolation } = searchStates({ ...ALL_GUARDS, [guard]: false }, maxSteps, prefix);
    assert.notEqual(stepsToViolation, null);
  });
