import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import { chunkKey } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { JobId, MachineId, AgentEpoch, Version } from '@spurbridge/wire';
import { ClusterState } from '../src/index.js';

const silentLogger = { debug: () => undefined, info: () => undefined, error: () => undefined };

// A heartbeat that is received before the records are read may report a newer agent epoch than the recorded placement.
// The epoch change is not detected again, so restoring the records has to remove that placement.
for (const [agentEpoch, pendingCount] of [
  [1, 1],
  [2, 2],
] as const)
  test(`restoring the records after a heartbeat in agent epoch ${agentEpoch} leaves ${pendingCount} of 2 tasks pending`, () => {
    const cluster = new ClusterState({
      clock: { now: () => 5 as MonotonicMs, sleep: () => Promise.resolve() },
      log: silentLogger,
      machineTypes: () => TYPES,
      ageMs: () => 0,
      previousLeaderRenewsUntil: 0 as MonotonicMs,
    });
    const machine = 'n-000006' as MachineId;
    cluster.registerMachine(machine, 's4', 'b', true).agentEpoch = agentEpoch as AgentEpoch;
    const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: 2 });
    const job = cluster.applyJobRecord(
      { spec, phase: 'active', submittedAt: 0 as WallClockMs, chunkSize: 256 },
      3 as Version,
    );
    assert.ok(job !== null);
    cluster.applyTaskRecord({
      key: chunkKey(spec.id, 0),
      value: { tries: 1, done: '', placed: [[1, machine, 1, 1]] },
      version: 4 as Version,
    });
    cluster.finishRestore(job);
    assert.equal(job.pendingCount, pendingCount);
    assert.equal(cluster.taskCountOn(machine), 2 - pendingCount);
  });
