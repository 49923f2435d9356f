import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Revision, Version } from '@spurbridge/wire';
import { AuditSelector } from '../src/epoch-store/audit-selector.js';
import { Replica } from '../src/index.js';

const KEY = 't/wk-000001/0';
const at = (n: number): Revision => n as Revision;

/** A copy that was told of the key at these versions, and then followed the store up to a revision. */
function copyOf(versions: readonly number[], upTo: number): Replica {
  const copy = new Replica();
  for (const v of versions)
    copy.applyWatchEvents([{ put: KEY, value: { n: v }, version: v as Version }], at(v));
  copy.applyWatchEvents([], at(upTo));
  return copy;
}

test('a key that was absent, and that no deletion was shown of, is lost once the watch is past that', () => {
  const auditor = new AuditSelector(4);
  auditor.suspect(KEY, at(8));
  assert.equal(auditor.lost(copyOf([5], 7)), null);
  assert.equal(auditor.lost(copyOf([5], 8)), KEY);
  assert.equal(auditor.lost(copyOf([5], 9)), null, 'said once');
});

test('a key that was deleted and written again since it was absent is not lost', () => {
  const auditor = new AuditSelector(4);
  const copy = copyOf([5], 6);
  auditor.suspect(KEY, at(8));
  copy.applyWatchEvents([{ delete: KEY, version: 7 as Version }], at(8));
  copy.applyWatchEvents([{ put: KEY, value: { n: 9 }, version: 9 as Version }], at(9));
  assert.equal(auditor.lost(copy), null);
});
