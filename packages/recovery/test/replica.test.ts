import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeJob } from '@spurbridge/model';
import type { Version } from '@spurbridge/wire';
import { Replica } from '../src/index.js';
import { findContradiction } from '../src/replica/replica-entry.js';
import { jobRecord } from './job-records.js';

test('a replica folds jobs that have ended, once they have no task records left, and still knows them', () => {
  const replica = new Replica();
  replica.put('j/wk-000001', jobRecord(1, 'active'), 3 as Version);
  replica.put('t/wk-000001/0', { tries: 1, done: '', placed: [] }, 4 as Version);
  replica.put('j/wk-000001', jobRecord(1, 'cancelled'), 5 as Version);
  assert.ok((replica.get('j/wk-000001')?.text ?? '').includes('"crew"'), 'its tasks may still run');
  replica.remove('t/wk-000001/0', 6 as Version);
  const folded = replica.get('j/wk-000001');
  assert.equal(folded?.version, 5);
  const decoded = decodeJob(JSON.parse(folded.text));
  assert.deepEqual([decoded.spec.id, decoded.phase, decoded.spec.tasks], ['wk-000001', 'cancelled', 4]);
  assert.ok(folded.text.length < 100);
});

test('a response that an intact store cannot give is found, and one that is only newer or reordered is not', () => {
  const known = { version: 7 as Version, text: '{"a":1,"b":2}' };
  assert.equal(findContradiction('t/x/0', known, 7 as Version, { b: 2, a: 1 }), null);
  assert.equal(findContradiction('t/x/0', known, 8 as Version, { a: 9 }), null);
  assert.equal(findContradiction('t/x/0', known, 0 as Version, undefined), null);
  assert.match(findContradiction('t/x/0', known, 6 as Version, { a: 1, b: 2 }) ?? '', /was at 7/);
  assert.match(findContradiction('t/x/0', known, 7 as Version, '?') ?? '', /another value/);
  assert.match(findContradiction('j/x', known, 0 as Version, undefined) ?? '', /gone/);
});
