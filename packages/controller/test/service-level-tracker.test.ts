import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { JobId, MachineId, AgentEpoch, Version } from '@spurbridge/wire';
import { ClusterState } from '../src/index.js';
import { ServiceLevelTracker } from '../src/jobs/service-level-tracker.js';
import type { LeaderContext } from '../src/leadership/leader-term.js';
import { LeaderTerm } from '../src/leadership/leader-term.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

test('what began under an earlier leader is not counted as begun when this one first hears of it', async () => {
  for (const isRestored of [true, false]) {
    const time = { now: 1000 };
    let slept = 0;
    const clock = {
      now: () => time.now as MonotonicMs,
      // One look at the sizes, and then this leader's time is over.
      sleep: () => {
        if ((slept += 1) > 1) term.end();
        return Promise.resolve();
      },
    };
    const cluster = new ClusterState({
      clock,
      log: silent,
      machineTypes: () => TYPES,
      ageMs: () => 0,
      previousLeaderRenewsUntil: 0 as MonotonicMs,
    });
    const term = new LeaderTerm({ clock, log: silent } as unknown as LeaderContext);
    const served = new ServiceLevelTracker(term, cluster);
    const jobs = Array.from({ length: 8 }, (_, i) => {
      const spec = jobSpec({ id: `wk-00000${i}` as JobId, tasks: 1 + i });
      return cluster.applyJobRecord(
        { spec, phase: 'active', submittedAt: 0 as WallClockMs, chunkSize: 256 },
        3 as Version,
      );
    });
    const place = (): void => {
      for (const j of jobs)
        if (j !== null) cluster.placeTask(j, 0, 'n-000001' as MachineId, 1 as AgentEpoch, null);
    };
    if (isRestored) place();
    await served.run();
    if (!isRestored) place();
    time.now += 300_000;
    for (const j of jobs) j?.applyReportedPhase(0, 'running', time.now as MonotonicMs);
    const largest = served.current().get('class work, largest');
    assert.deepEqual([largest?.couldStart, largest?.started], [2, isRestored ? 2 : 0]);
  }
});
