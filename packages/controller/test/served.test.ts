import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallMs } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { JobId, MachineId, Session, Version } from '@spurbridge/wire';
import { Cluster } from '../src/index.js';
import { Served } from '../src/served.js';
import type { LeaderContext } from '../src/leader-term.js';
import { LeaderTerm } from '../src/leader-term.js';

const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

test('what began under an earlier leader is not counted as begun when this one first hears of it', async () => {
  for (const isRestored of [true, false]) {
    const time = { now: 1000 };
    let slept = 0;
    const clock = {
      now: () => time.now as Ms,
      // One look at the sizes, and then this leader's time is over.
      sleep: () => {
        if ((slept += 1) > 1) term.end();
        return Promise.resolve();
      },
    };
    const cluster = new Cluster({
      clock,
      log: silent,
      types: () => TYPES,
      ageMs: () => 0,
      answeredUntil: 0 as Ms,
    });
    const term = new LeaderTerm({ clock, log: silent } as unknown as LeaderContext);
    const served = new Served(term, cluster);
    const jobs = Array.from({ length: 8 }, (_, i) => {
      const spec = jobSpec({ id: `wk-00000${i}` as JobId, tasks: 1 + i });
      return cluster.learnJob({ spec, phase: 'active', at: 0 as WallMs, chunkSize: 256 }, 3 as Version);
    });
    const place = (): void => {
      for (const j of jobs) if (j !== null) cluster.place(j, 0, 'n-000001' as MachineId, 1 as Session, null);
    };
    if (isRestored) place();
    await served.run();
    if (!isRestored) place();
    time.now += 300_000;
    for (const j of jobs) j?.reported(0, 'running', time.now as Ms);
    const largest = served.now().get('class work, largest');
    assert.deepEqual([largest?.couldStart, largest?.started], [2, isRestored ? 2 : 0]);
  }
});
