import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GUARDS, explore } from './delegation-model.js';

test('with all guards no state breaks a rule, however late messages are', () => {
  const { rules, states } = explore(null);
  assert.deepEqual([...rules], []);
  assert.ok(states > 10_000, `${states} states`);
});

for (const guard of GUARDS)
  test(`without "${guard}" a rule breaks`, () => {
    assert.ok(explore(guard).rules.size > 0);
  });
