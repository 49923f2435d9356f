import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeJob } from '@spurbridge/model';
import type { Version } from '@spurbridge/wire';
import { Replica } from '../src/index.js';
import { findContradiction } from '../src/replica/replica-entry.js';
import { jobRecord } from './job-records.js';

test('a replica compacts an ended job without task records, and still returns its id, phase and task count', () => {
  const replica = new Replica();
  replica.put('j/wk-000001', jobRecord(1, 'active'), 3 as Version);
  replica.put('t/wk-000001/0', { tries: 1, done: '', placed: [] }, 4 as Version);
  replica.put('j/wk-000001', jobRecord(1, 'cancelled'), 5 as Version);
  assert.ok(
    (replica.get('j/wk-000001')?.text ?? '').includes('"crew"'),
    'a job with task records is not compacted',
  );
  replica.remove('t/wk-000001/0', 6 as Version);
  const compacted = replica.get('j/wk-000001');
  assert.equal(compacted?.version, 5);
  const decoded = decodeJob(JSON.parse(compacted.text));
  assert.deepEqual([decoded.spec.id, decoded.phase, decoded.spec.tasks], ['wk-000001', 'cancelled', 4]);
  assert.ok(compacted.text.length < 100);
});

// Guards against ended jobs that change their phase or number of tasks because a packed number lost digits.
test('a replica returns the version, phase and task count of ended jobs at every revision of the store', () => {
  for (const exponent of [3, 33, 35, 36, 40, 52])
    for (const phase of ['done', 'cancelled'] as const) {
      const replica = new Replica();
      const version = (2 ** exponent + 1) as Version;
      replica.put('j/wk-000001', jobRecord(1, phase), version);
      const entry = replica.get('j/wk-000001');
      const decoded = decodeJob(JSON.parse(entry?.text ?? 'null'));
      assert.deepEqual([entry?.version, decoded.phase, decoded.spec.tasks], [version, phase, 4]);
      assert.equal([...replica.entries()].length, 1);
    }
});

test('a response with an older version, a different value or a missing job contradicts an entry; a newer version or another field order does not', () => {
  const known = { version: 7 as Version, text: '{"a":1,"b":2}' };
  assert.equal(findContradiction('t/x/0', known, 7 as Version, { b: 2, a: 1 }), null);
  assert.equal(findContradiction('t/x/0', known, 8 as Version, { a: 9 }), null);
  assert.equal(findContradiction('t/x/0', known, 0 as Version, undefined), null);
  assert.match(
    findContradiction('t/x/0', known, 6 as Version, { a: 1, b: 2 }) ?? '',
    /has version 6, but version 7 was read/,
  );
  assert.match(findContradiction('t/x/0', known, 7 as Version, '?') ?? '', /different value at version 7/);
  assert.match(findContradiction('j/x', known, 0 as Version, undefined) ?? '', /is missing/);
});
