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

const silentLogger = { debug: () => undefined, info: () => undefined, error: () => undefined };

test('the first report to a new leader does not count as the start of a job that ran under an earlier leader', async () => {
  for (const isRestored of [true, false]) {
    const time = { now: 1000 };
    let sleepCount = 0;
    const clock = {
      now: () => time.now as MonotonicMs,
      // The tracker takes one sample of the job sizes, then the term ends.
      sleep: () => {
        if ((sleepCount += 1) > 1) term.end();
        return Promise.resolve();
      },
    };
    const cluster = new ClusterState({
      clock,
      log: silentLogger,
      machineTypes: () => TYPES,
      ageMs: () => 0,
      previousLeaderRenewsUntil: 0 as MonotonicMs,
    });
    const term = new LeaderTerm({ clock, log: silentLogger } as unknown as LeaderContext);
    const tracker = new ServiceLevelTracker(term, cluster);
    const jobs = Array.from({ length: 8 }, (_, index) => {
      const spec = jobSpec({ id: `wk-00000${index}` as JobId, tasks: 1 + index });
      return cluster.applyJobRecord(
        { spec, phase: 'active', submittedAt: 0 as WallClockMs, chunkSize: 256 },
        3 as Version,
      );
    });
    const placeFirstTasks = (): void => {
      for (const job of jobs)
        if (job !== null) cluster.placeTask(job, 0, 'n-000001' as MachineId, 1 as AgentEpoch, null);
    };
    if (isRestored) placeFirstTasks();
    await tracker.run();
    if (!isRestored) placeFirstTasks();
    time.now += 300_000;
    for (const job of jobs) job?.applyReportedPhase(0, 'running', time.now as MonotonicMs);
    const largest = tracker.current().get('class work, largest');
    assert.deepEqual([largest?.couldStart, largest?.started], [2, isRestored ? 2 : 0]);
  }
});
