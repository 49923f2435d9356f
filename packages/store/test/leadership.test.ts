import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProcessClock, SimTime } from '@spurbridge/testkit';
import type { LeaseId, NodeId, Revision } from '@spurbridge/wire';
import type { KeyValueStore } from '../src/index.js';
import { Leadership } from '../src/index.js';

/** What `runLeader` observed of the simulated leader. */
interface LeadershipRun {
  /** Number of transitions to the state `holding`. */
  readonly holdingCount: number;
  readonly holdsValidLease: boolean;
}

/** Runs a leader for `durationMs` with a store that responds to each renewal after `renewalMs`. */
async function runLeader(renewalMs: number, durationMs: number): Promise<LeadershipRun> {
  const time = new SimTime();
  const clock = new ProcessClock(time, 1, 0);
  const store = {
    isTrusted: true,
    generation: 0,
    fencingTokenOf: (version: number) => version,
    read: () => Promise.resolve({ outcome: 'absent' as const }),
    grantLease: () => Promise.resolve({ outcome: 'granted' as const, lease: 1 as LeaseId }),
    commit: () => Promise.resolve({ outcome: 'committed' as const, revision: 7 as Revision }),
    renewLease: async () => {
      await clock.sleep(renewalMs);
      return { outcome: 'renewed' as const };
    },
    revokeLease: () => Promise.resolve(),
  } as unknown as KeyValueStore;
  let holdingCount = 0;
  const leadership = new Leadership(store, clock, 'spur-0' as NodeId, 'a', {
    onElected: () => undefined,
    onLeaseConfirmedAgain: () => undefined,
    onDeposed: () => undefined,
    log: (_message, fields) => {
      if (fields['to'] === 'holding') holdingCount += 1;
    },
  });
  // A timer every 100 ms, so that the simulated time also advances between other events.
  const tick = (): void => {
    time.after(100, tick);
  };
  tick();
  void leadership.run();
  await time.runUntil(durationMs);
  return { holdingCount, holdsValidLease: leadership.holdsValidLease() };
}

test('a renewal whose response is late confirms the lease from when it was sent', async () => {
  assert.deepEqual(await runLeader(5, 20_000), { holdingCount: 0, holdsValidLease: true });
  assert.deepEqual(await runLeader(1200, 20_000), { holdingCount: 0, holdsValidLease: true });
});

test('a renewal whose response arrives after the lease has expired does not make the lease valid again', async () => {
  const { holdsValidLease } = await runLeader(3500, 20_000);
  assert.equal(holdsValidLease, false);
});
