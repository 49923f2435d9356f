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

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };
const ID = 'wk-000001' as JobId;

function records(replicaAgeMs: number): {
  time: { now: number };
  cluster: ClusterState;
  records: JobRecordReader;
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
      // The answer takes its time: what was read is as old as the question.
      time.now += 400;
      const items = jobs.filter((i) => i.key.startsWith(prefix));
      return Promise.resolve({ outcome: 'listed', items, revision: 3, latest: 3 });
    },
  };
  const context = {
    clock,
    settings,
    store,
    log: silent,
    storeIntegrity: { replicaAgeMs },
  } as unknown as LeaderContext;
  const cluster = new ClusterState({
    clock,
    log: silent,
    machineTypes: () => [],
    ageMs: () => 0,
    previousLeaderRenewsUntil: 0 as MonotonicMs,
  });
  return {
    time,
    cluster,
    records: new JobRecordReader(new LeaderTerm(context), cluster, { onJobRecord: () => undefined }),
  };
}

test('before its records are read a leader knows no more of cancellations than its node’s copy does', () => {
  assert.equal(records(Infinity).records.stalenessMs, Infinity);
  assert.equal(records(17_500).records.stalenessMs, 17_500);
});

test('what was read is as old as the question, and a cancellation learned later was confirmed after it', async () => {
  const r = records(Infinity);
  await r.records.load();
  assert.equal(r.records.stalenessMs, 800);
  const job = r.cluster.jobs.get(ID);
  assert.equal(job?.state, 'active');
  r.time.now += 5000;
  const spec = decodeJob(
    encodeJob({
      spec: jobSpec({ id: ID }),
      phase: 'cancelled',
      submittedAt: 0 as WallClockMs,
      chunkSize: 256,
    }),
  );
  r.records.apply({ key: jobKey(ID), value: encodeJob(spec), version: 4 as Version });
  assert.equal(job?.state, 'cancelled');
  assert.equal(job?.cancelledAfter, 50_000);
});
