import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallMs } from '@spurbridge/model';
import { chunkKey } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { JobId, MachineId, Session, Version } from '@spurbridge/wire';
import { Cluster } from '../src/index.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

for (const [session, pending] of [
  [1, 1],
  [2, 2],
] as const)
  test(`a machine heard in session ${session} before the records were read: ${pending} tasks wait`, () => {
    const cluster = new Cluster({
      clock: { now: () => 5 as Ms, sleep: () => Promise.resolve() },
      log: silent,
      types: () => TYPES,
      ageMs: () => 0,
      answeredUntil: 0 as Ms,
    });
    const machine = 'n-000006' as MachineId;
    cluster.describeMachine(machine, 's4', 'b', true).session = session as Session;
    const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: 2 });
    const job = cluster.learnJob({ spec, phase: 'active', at: 0 as WallMs, chunkSize: 256 }, 3 as Version);
    assert.ok(job !== null);
    cluster.restoreTasks({
      key: chunkKey(spec.id, 0),
      value: { tries: 1, done: '', placed: [[1, machine, 1, 1]] },
      version: 4 as Version,
    });
    cluster.afterRestore(job);
    assert.equal(job.pendingCount, pending);
    assert.equal(cluster.heldCount(machine), 2 - pending);
  });
