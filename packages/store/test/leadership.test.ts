import assert from 'node:assert/strict';
import { test } from 'node:test';
import { ProcessClock, SimTime } from '@spurbridge/testkit';
import type { LeaseId, NodeId, Revision } from '@spurbridge/wire';
import type { KeyValueStore } from '../src/index.js';
import { Leadership } from '../src/index.js';

/** Leads with a store whose renewals take as long as told; counts how often the lease was doubted. */
async function lead(renewalMs: number, forMs: number): Promise<{ doubts: number; sure: boolean }> {
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
  let doubts = 0;
  const leadership = new Leadership(store, clock, 'spur-0' as NodeId, 'a', {
    onElected: () => undefined,
    onLeaseConfirmedAgain: () => undefined,
    onDeposed: () => undefined,
    log: (_message, fields) => {
      if (fields['to'] === 'holding') doubts += 1;
    },
  });
  // Time passes also while nothing is waited for.
  const tick = (): void => {
    time.after(100, tick);
  };
  tick();
  void leadership.run();
  await time.runUntil(forMs);
  return { doubts, sure: leadership.holdsValidLease() };
}

test('a renewal that is answered late still confirms the lease from when it was sent', async () => {
  assert.deepEqual(await lead(5, 20_000), { doubts: 0, sure: true });
  assert.deepEqual(await lead(1200, 20_000), { doubts: 0, sure: true });
});

test('a renewal answered after the lease would have ended confirms nothing', async () => {
  const { sure } = await lead(3500, 20_000);
  assert.equal(sure, false);
});
