import { test } from 'node:test';
import { preemptionWorld, startPreemptionDay } from '../src/index.js';
import { runWatchedDay } from './support/assertions.js';
import { seedsFrom } from './support/seeds.js';

// Guards against `ran_twice` by an exited attempt that hides the running one in a heartbeat (review/4), and by other causes.
for (const seed of seedsFrom('SPURBRIDGE_PREEMPTION_SEEDS', 10))
  test(`arrays that are preempted again and again break no rule beside combined faults, seed ${seed}`, async () => {
    const world = preemptionWorld(90_000 + seed);
    const faultNames = startPreemptionDay(world).join(' + ');
    await runWatchedDay(world, faultNames);
  });
