import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallMs } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { Attempt, JobId, MachineId, Session, Version } from '@spurbridge/wire';
import { Cluster } from '../src/index.js';
import { fleetView } from '../src/fleet-view.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

// A zone cut off before a takeover passed for one that was booting: no room was rented for the replicas lost with it.
test('a machine that ran something before this leader and is not heard counts as coming for a while only', () => {
  const cluster = new Cluster({
    clock: { now: () => 0 as Ms, sleep: () => Promise.resolve() },
    log: silent,
    types: () => TYPES,
    ageMs: () => 0,
    answeredUntil: 0 as Ms,
  });
  cluster.describeMachine('n-000001' as MachineId, 's4', 'a', false);
  cluster.describeMachine('n-000002' as MachineId, 's4', 'a', false);
  const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: 1 });
  const job = cluster.learnJob({ spec, phase: 'active', at: 0 as WallMs, chunkSize: 256 }, 3 as Version);
  assert.ok(job !== null);
  job.restorePlacement(0, 'n-000001' as MachineId, 1 as Session, 1 as Attempt, 0 as Ms);
  cluster.afterRestore(job);
  const coming = (now: number): string[] =>
    fleetView(cluster, now as Ms, false, 8000 as Ms)
      .filter((m) => m.booting)
      .map((m) => m.id);
  assert.deepEqual(coming(7000), ['n-000001', 'n-000002']);
  assert.deepEqual(coming(8000), ['n-000002']);
});
