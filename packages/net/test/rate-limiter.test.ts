import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs, RequestPriority } from '../src/index.js';
import { RateLimiter } from '../src/index.js';

test('a rate limiter stays within its rate and burst and reserves tokens for urgent requests', () => {
  const step = fc.record({
    wait: fc.nat(300),
    amount: fc.integer({ min: 1, max: 4 }),
    priority: fc.constantFrom(0, 1, 2, 3),
  });
  fc.assert(
    fc.property(fc.array(step, { maxLength: 200 }), (steps) => {
      let now = 0;
      const clock = { now: () => now as MonotonicMs, sleep: () => Promise.resolve() };
      const limiter = new RateLimiter(clock, 20, 20);
      let granted = 0;
      for (const { wait, amount, priority } of steps) {
        now += wait;
        if (limiter.tryAcquire(amount, priority as RequestPriority)) granted += amount;
        assert.ok(granted <= 20 + (now / 1000) * 20 + 1 + 1e-6);
      }
    }),
    { seed: 7, numRuns: 200 },
  );
  const limiter = new RateLimiter({ now: () => 0 as MonotonicMs, sleep: () => Promise.resolve() }, 20, 20);
  while (limiter.tryAcquire(1, 3));
  assert.ok(limiter.tryAcquire(1, 0), 'low-priority requests leave tokens for critical ones');
});
