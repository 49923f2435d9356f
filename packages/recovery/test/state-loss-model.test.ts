import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Guards } from './state-loss-model.js';
import { ALL, explore } from './state-loss-model.js';

const PLACED = ['node 0 leads with 2', 'node 0 places on 1', 'node 0 starts on 1', 'a late start arrives'];
const LATE = [
  ...PLACED,
  'the task exits on 1',
  'node 0 clears, without an answer',
  'node 0 crashes',
  'the store is emptied',
];

test('with all guards no order of a loss, a crash and late messages breaks a rule', () => {
  const { states, broken } = explore(ALL, 8);
  assert.equal(broken, null);
  assert.ok(states > 15_000, `${states} states`);
  for (const prefix of [PLACED, [...PLACED.slice(0, 3), 'node 0 crashes'], LATE])
    assert.equal(explore(ALL, prefix === LATE ? 14 : 9, prefix).broken, null, prefix.join());
});

const cases: readonly [keyof Guards, number, readonly string[]][] = [
  ['fence', 14, LATE],
  ['byName', 14, LATE],
  ['waits', 6, []],
  ['settles', 9, [...PLACED.slice(0, 3), 'node 0 crashes']],
  ['floors', 6, []],
  ['copies', 9, PLACED],
];
for (const [guard, mostSteps, prefix] of cases)
  test(`without "${guard}" the same checker finds a broken rule`, () => {
    assert.notEqual(explore({ ...ALL, [guard]: false }, mostSteps, prefix).broken, null);
  });
