import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MonotonicMs } from '@spurbridge/net';
import type { LeaseId } from '@spurbridge/wire';
import { LEASE_TTL_MS, LeaderLease } from '../src/index.js';

const at = (ms: number): MonotonicMs => ms as MonotonicMs;

test('a lease becomes invalid shortly before its full duration has passed since its last confirmed request was sent', () => {
  const lease = new LeaderLease(7 as LeaseId, 0, at(1000));
  // 3000 ms less 0.1 % for clock drift and a safety margin of 150 ms.
  assert.equal(lease.isValidAt(at(1000 + 2846)), true);
  assert.equal(lease.isValidAt(at(1000 + 2847)), false);
  assert.ok(2847 < LEASE_TTL_MS);
});

test('a renewal extends the lease unless a later request has already confirmed it', () => {
  const lease = new LeaderLease(7 as LeaseId, 0, at(1000));
  assert.equal(lease.confirm(at(2000)), true);
  assert.equal(lease.isValidAt(at(4500)), true);
  assert.equal(lease.confirm(at(1800)), false);
  assert.equal(lease.confirm(at(2000)), false);
  assert.equal(lease.msSinceConfirmed(at(2300)), 300);
});
