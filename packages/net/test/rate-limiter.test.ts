import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs, RequestPriority } from '../src/index.js';
import { RateLimiter } from '../src/index.js';

test('a rate limiter never grants more than its rate and burst, and keeps a reserve for the urgent', () => {
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
      for (const s of steps) {
        now += s.wait;
        if (limiter.tryAcquire(s.amount, s.priority as RequestPriority)) granted += s.amount;
        assert.ok(granted <= 20 + (now / 1000) * 20 + 1 + 1e-6);
      }
    }),
    { seed: 7, numRuns: 200 },
  );
  const limiter = new RateLimiter({ now: () => 0 as MonotonicMs, sleep: () => Promise.resolve() }, 20, 20);
  while (limiter.tryAcquire(1, 3));
  assert.ok(limiter.tryAcquire(1, 0), 'the least urgent cannot use everything up');
});
