import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GUARDS, explore } from './delegation-model.js';

test('delegated leases violate no invariant in any state when all guards are enabled', () => {
  const { violations, stateCount } = explore(null);
  assert.deepEqual([...violations], []);
  assert.ok(stateCount > 10_000, `${stateCount} states`);
});

for (const guard of GUARDS)
  test(`delegated leases violate an invariant without the guard "${guard}"`, () => {
    assert.ok(explore(guard).violations.size > 0);
  });
