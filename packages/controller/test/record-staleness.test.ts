import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeJob, encodeJob, jobKey } from '@spurbridge/model';
import type { WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { jobSpec } from '@spurbridge/testkit';
import type { JobId, Version } from '@spurbridge/wire';
import type { LeaderContext } from '../src/leadership/leader-term.js';
import { LeaderTerm } from '../src/leadership/leader-term.js';
import { ClusterState } from '../src/index.js';
import { JobRecordReader } from '../src/jobs/job-record-reader.js';
import type { Settings } from '../src/index.js';

const silentLogger = { debug: () => undefined, info: () => undefined, error: () => undefined };
const ID = 'wk-000001' as JobId;

/** A reader of a store that holds one job's record, on a node whose replica has this age. */
function createReader(replicaAgeMs: number): {
  time: { now: number };
  cluster: ClusterState;
  reader: JobRecordReader;
} {
  const time = { now: 50_000 };
  const clock = { now: () => time.now as MonotonicMs, sleep: () => Promise.resolve() };
  const settings = { workers: { cancelS: 52, leaseS: 32 } } as unknown as Settings;
  const value = encodeJob({
    spec: jobSpec({ id: ID }),
    phase: 'active',
    submittedAt: 0 as WallClockMs,
    chunkSize: 256,
  });
  const jobs = [{ key: jobKey(ID), value, version: 3 as Version }];
  const store = {
    list: (prefix: string) => {
      // A list takes 400 ms; its result is as old as the request.
      time.now += 400;
      const items = jobs.filter((item) => item.key.startsWith(prefix));
      return Promise.resolve({ outcome: 'listed', items, revision: 3, latest: 3 });
    },
  };
  const context = {
    clock,
    settings,
    store,
    log: silentLogger,
    storeIntegrity: { replicaAgeMs },
  } as unknown as LeaderContext;
  const cluster = new ClusterState({
    clock,
    log: silentLogger,
    machineTypes: () => [],
    ageMs: () => 0,
    previousLeaderRenewsUntil: 0 as MonotonicMs,
  });
  return {
    time,
    cluster,
    reader: new JobRecordReader(new LeaderTerm(context), cluster, { onJobRecord: () => undefined }),
  };
}

test('until the records are read, known cancellations are as stale as the replica of the node', () => {
  assert.equal(createReader(Infinity).reader.stalenessMs, Infinity);
  assert.equal(createReader(17_500).reader.stalenessMs, 17_500);
});

test('staleness is measured from the first read request, and a cancellation read later counts as confirmed after that request', async () => {
  const { time, cluster, reader } = createReader(Infinity);
  await reader.load();
  assert.equal(reader.stalenessMs, 800);
  const job = cluster.jobs.get(ID);
  assert.equal(job?.state, 'active');
  time.now += 5000;
  const cancelledRecord = decodeJob(
    encodeJob({
      spec: jobSpec({ id: ID }),
      phase: 'cancelled',
      submittedAt: 0 as WallClockMs,
      chunkSize: 256,
    }),
  );
  reader.apply({ key: jobKey(ID), value: encodeJob(cancelledRecord), version: 4 as Version });
  assert.equal(job?.state, 'cancelled');
  assert.equal(job?.cancelledAfter, 50_000);
});
