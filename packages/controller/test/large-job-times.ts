/**
 * Measures the time that a leader spends on events of a job of the largest size: `npm run -s large-jobs`. Prints a line
 * for each kind of job and event.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';
import { LargeJobLeader } from './large-job-leader.js';

async function measure(kind: string, event: string, run: () => unknown): Promise<void> {
  const startedAt = performance.now();
  await run();
  const ms = Math.round(performance.now() - startedAt);
  process.stdout.write(`${kind.padEnd(8)} ${event.padEnd(24)} ${String(ms).padStart(6)} ms\n`);
}

for (const kind of ['gang', 'array', 'service'] as const) {
  const leader = new LargeJobLeader(kind);
  leader.receiveHeartbeats(null);
  await measure(kind, 'plan', () => leader.plan());
  await measure(kind, 'place all tasks', () => {
    leader.placeAll();
  });
  await measure(kind, 'write all intents', () => leader.writeRecords(Infinity));
  await measure(kind, 'respond on all machines', () => leader.respondToHeartbeats());
  for (const phase of ['fetching', 'running'] as const)
    await measure(kind, `report ${phase}`, () => {
      leader.receiveHeartbeats({ phase, cause: null });
    });
  const restored = new LargeJobLeader(kind);
  restored.receiveHeartbeats(null);
  await measure(kind, 'restore', () => {
    restored.restore(leader);
  });
  await measure(kind, 'cancel', () => {
    leader.cancel();
  });
  await measure(kind, 'report stopped', () => {
    leader.receiveHeartbeats({ phase: 'exited', cause: 'stopped' });
  });
}
