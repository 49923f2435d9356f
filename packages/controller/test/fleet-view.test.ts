import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { Attempt, JobId, MachineId, AgentEpoch, Version } from '@spurbridge/wire';
import { ClusterState } from '../src/index.js';
import { buildFleetView } from '../src/machines/fleet-view.js';

const silentLogger = { debug: () => undefined, info: () => undefined, error: () => undefined };

// When a zone became unreachable before a failover, the new leader counted its machines as booting, so it did not scale
// out to replace them.
test('a machine with restored tasks that sends no heartbeat counts as booting only until the discovery deadline', () => {
  const cluster = new ClusterState({
    clock: { now: () => 0 as MonotonicMs, sleep: () => Promise.resolve() },
    log: silentLogger,
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
  const bootingAt = (now: number): string[] =>
    buildFleetView(cluster, now as MonotonicMs, false, 8000 as MonotonicMs)
      .filter(({ isBooting }) => isBooting)
      .map(({ id }) => id);
  assert.deepEqual(bootingAt(7000), ['n-000001', 'n-000002']);
  assert.deepEqual(bootingAt(8000), ['n-000002']);
});
