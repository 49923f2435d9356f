import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Revision, Version } from '@spurbridge/wire';
import { AuditSelector } from '../src/epoch-store/audit-selector.js';
import { Replica } from '../src/index.js';

const KEY = 't/wk-000001/0';
const at = (revision: number): Revision => revision as Revision;

/** Returns a replica that received the key at these versions, and then followed the store up to a revision. */
function replicaOf(versions: readonly number[], revision: number): Replica {
  const replica = new Replica();
  for (const version of versions)
    replica.applyWatchEvents([{ put: KEY, value: { n: version }, version: version as Version }], at(version));
  replica.applyWatchEvents([], at(revision));
  return replica;
}

test('a key absent from a read counts as lost if the watch reaches the revision of that read without reporting a deletion', () => {
  const selector = new AuditSelector(4);
  selector.noteAbsent(KEY, at(8));
  assert.equal(selector.findLostKey(replicaOf([5], 7)), null);
  assert.equal(selector.findLostKey(replicaOf([5], 8)), KEY);
  assert.equal(selector.findLostKey(replicaOf([5], 9)), null, 'a lost key is reported once');
});

test('a key absent from a read does not count as lost if it was deleted and then written again', () => {
  const selector = new AuditSelector(4);
  const replica = replicaOf([5], 6);
  selector.noteAbsent(KEY, at(8));
  replica.applyWatchEvents([{ delete: KEY, version: 7 as Version }], at(8));
  replica.applyWatchEvents([{ put: KEY, value: { n: 9 }, version: 9 as Version }], at(9));
  assert.equal(selector.findLostKey(replica), null);
});
