import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { Attempt, JobId, MachineId, AgentEpoch, Version } from '@spurbridge/wire';
import { ClusterState } from '../src/index.js';
import { buildFleetView } from '../src/machines/fleet-view.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

// A zone cut off before a takeover passed for one that was booting: no room was rented for the replicas lost with it.
test('a machine that ran something before this leader and is not heard counts as coming for a while only', () => {
  const cluster = new ClusterState({
    clock: { now: () => 0 as MonotonicMs, sleep: () => Promise.resolve() },
    log: silent,
    machineTypes: () => TYPES,
    ageMs: () => 0,
    previousLeaderRenewsUntil: 0 as MonotonicMs,
  });
  cluster.registerMachine('n-000001' as MachineId, 's4', 'a', false);
  cluster.registerMachine('n-000002' as MachineId, 's4', 'a', false);
  const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: 1 });
  const job = cluster.applyJobRecord(
    { spec, phase: 'active', submittedAt: 0 as WallClockMs, chunkSize: 256 },
    3 as Version,
  );
  assert.ok(job !== null);
  job.restorePlacement(0, 'n-000001' as MachineId, 1 as AgentEpoch, 1 as Attempt, 0 as MonotonicMs);
  cluster.finishRestore(job);
  const coming = (now: number): string[] =>
    buildFleetView(cluster, now as MonotonicMs, false, 8000 as MonotonicMs)
      .filter((m) => m.isBooting)
      .map((m) => m.id);
  assert.deepEqual(coming(7000), ['n-000001', 'n-000002']);
  assert.deepEqual(coming(8000), ['n-000002']);
});
