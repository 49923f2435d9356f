import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeJob } from '@spurbridge/model';
import type { KeyValue, Revision, Version } from '@spurbridge/wire';
import type { EpochReplica } from '../src/index.js';
import { Replica, mergeReplicas } from '../src/index.js';
import { generatedJobs, jobKeyValues } from './job-records.js';

function epochReplicaOf(
  epoch: number,
  keyValues: readonly KeyValue[],
): EpochReplica & { readonly replica: Replica } {
  const replica = new Replica();
  replica.replaceAll(keyValues, 0 as Revision);
  return { replica, epoch, get: (key) => replica.get(key), keys: () => replica.keys() };
}

function phaseIn(replica: EpochReplica, key: string): string | null {
  const entry = replica.get(key);
  return entry === undefined ? null : decodeJob(JSON.parse(entry.text)).phase;
}

test('a merge keeps every job of every replica, and an ended job does not become active again', () => {
  const generatedReplicas = fc.array(generatedJobs, { minLength: 1, maxLength: 3 });
  fc.assert(
    fc.property(generatedJobs, generatedReplicas, (storedJobs, replicatedJobs) => {
      const store = epochReplicaOf(1, jobKeyValues(storedJobs));
      const replicas = replicatedJobs.map((jobs) => epochReplicaOf(1, jobKeyValues(jobs)));
      for (const repair of mergeReplicas(store, replicas))
        store.replica.put(repair.key, JSON.parse(repair.text), 1000 as Version);
      for (const replica of replicas)
        for (const key of replica.keys()) {
          const merged = phaseIn(store, key);
          assert.notEqual(merged, null, key);
          if (phaseIn(replica, key) !== 'active') assert.notEqual(merged, 'active', key);
        }
      // A second merge must find nothing to repair, so that a repeated recovery has the same result.
      assert.deepEqual(
        mergeReplicas(store, replicas).filter((repair) => phaseIn(store, repair.key) === 'active'),
        [],
      );
    }),
  );
});

test('a replica of a later epoch takes precedence over the store regardless of versions', () => {
  const store = epochReplicaOf(1, [{ key: 't/wk-1/0', value: { tries: 9 }, version: 900 as Version }]);
  const replica = epochReplicaOf(2, [{ key: 't/wk-1/0', value: { tries: 2 }, version: 7 as Version }]);
  assert.equal(mergeReplicas(store, [replica])[0]?.text, '{"tries":2}');
  assert.deepEqual(mergeReplicas(replica, [store]), []);
});
