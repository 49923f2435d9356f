import assert from 'node:assert/strict';
import { test } from 'node:test';
import { decodeJob, encodeJob, jobKey } from '@spurbridge/model';
import type { WallMs } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { jobSpec } from '@spurbridge/testkit';
import type { JobId, Version } from '@spurbridge/wire';
import type { LeaderContext } from '../src/leader-term.js';
import { LeaderTerm } from '../src/leader-term.js';
import { Cluster } from '../src/index.js';
import { JobRecords } from '../src/records.js';
import type { Settings } from '../src/index.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };
const ID = 'wk-000001' as JobId;

function records(copyAgeMs: number): { time: { now: number }; cluster: Cluster; records: JobRecords } {
  const time = { now: 50_000 };
  const clock = { now: () => time.now as Ms, sleep: () => Promise.resolve() };
  const settings = { workers: { cancelS: 52, leaseS: 32 } } as unknown as Settings;
  const value = encodeJob({ spec: jobSpec({ id: ID }), phase: 'active', at: 0 as WallMs, chunkSize: 256 });
  const jobs = [{ key: jobKey(ID), value, version: 3 as Version }];
  const store = {
    list: (prefix: string) => {
      // The answer takes its time: what was read is as old as the question.
      time.now += 400;
      const items = jobs.filter((i) => i.key.startsWith(prefix));
      return Promise.resolve({ outcome: 'listed', items, revision: 3, latest: 3 });
    },
  };
  const context = { clock, settings, store, log: silent, trust: { copyAgeMs } } as unknown as LeaderContext;
  const cluster = new Cluster({
    clock,
    log: silent,
    types: () => [],
    ageMs: () => 0,
    answeredUntil: 0 as Ms,
  });
  return { time, cluster, records: new JobRecords(new LeaderTerm(context), cluster, () => undefined) };
}

test('before its records are read a leader knows no more of cancellations than its node’s copy does', () => {
  assert.equal(records(Infinity).records.ageMs, Infinity);
  assert.equal(records(17_500).records.ageMs, 17_500);
});

test('what was read is as old as the question, and a cancellation learned later was confirmed after it', async () => {
  const r = records(Infinity);
  await r.records.load();
  assert.equal(r.records.ageMs, 800);
  const job = r.cluster.jobs.get(ID);
  assert.equal(job?.state, 'active');
  r.time.now += 5000;
  const spec = decodeJob(
    encodeJob({ spec: jobSpec({ id: ID }), phase: 'cancelled', at: 0 as WallMs, chunkSize: 256 }),
  );
  r.records.learn({ key: jobKey(ID), value: encodeJob(spec), version: 4 as Version });
  assert.equal(job?.state, 'cancelled');
  assert.equal(job?.cancelledAfter, 50_000);
});
