import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { LeadershipState } from '../src/index.js';
import { InvalidLeadershipTransitionError, checkTransition, isLeaderState } from '../src/index.js';

const STATES: readonly LeadershipState[] = ['following', 'campaigning', 'leading', 'holding'];
const ALLOWED = new Set([
  'following campaigning',
  'campaigning leading',
  'campaigning following',
  'leading holding',
  'leading following',
  'holding leading',
  'holding following',
]);

test('a leadership transition outside the allowed list throws an error', () => {
  for (const from of STATES)
    for (const to of STATES) {
      const check = (): void => {
        checkTransition(from, to);
      };
      if (ALLOWED.has(`${from} ${to}`)) check();
      else assert.throws(check, InvalidLeadershipTransitionError);
    }
});

test('the states `leading` and `holding` are leader states', () => {
  assert.deepEqual(STATES.filter(isLeaderState), ['leading', 'holding']);
});
