import assert from 'node:assert/strict';
import { test } from 'node:test';
import { plan } from '../src/index.js';

test('an empty cluster has nothing to start', () => {
  const result = plan({ jobs: [], machines: [], teams: [], starvationS: 30, typicalTask: null });
  assert.deepEqual(result, { starts: [], stops: [], unmet: [] });
});
