import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobId } from '@spurbridge/wire';
import type { RunEvent } from '../src/index.js';
import { EventOrder } from '../src/index.js';

const asked = (at: number): RunEvent => ({ kind: 'cancelAsked', at, job: 'wk-1' as JobId });

test('events of several processes come out in the order of their times, each once', () => {
  const times = fc.array(fc.array(fc.integer({ min: 0, max: 100 })), { minLength: 1, maxLength: 5 });
  fc.assert(
    fc.property(times, (all) => {
      const seen: number[] = [];
      const order = new EventOrder((e) => seen.push(e.at));
      all.forEach((_, n) => {
        order.add(String(n), 0);
      });
      for (const until of [30, 60, 101])
        all.forEach((own, n) => {
          const from = { 30: -1, 60: 30, 101: 60 }[until] as number;
          const due = own.filter((at) => at > from && at <= until).map(asked);
          order.batch(String(n), due, until);
        });
      assert.deepEqual(
        seen,
        all.flat().sort((a, b) => a - b),
      );
    }),
  );
});

test('a process that stands still holds later events back until it goes on or has ended', () => {
  const seen: number[] = [];
  const order = new EventOrder((e) => seen.push(e.at));
  order.add('stands', 10);
  order.add('runs', 10);
  order.batch('runs', [asked(11), asked(50)], 60);
  assert.deepEqual(seen, []);
  // It ended a task while it stood still, and says so when it goes on.
  order.batch('stands', [asked(30)], 40);
  assert.deepEqual(seen, [11, 30]);
  order.remove('stands');
  assert.deepEqual(seen, [11, 30, 50]);
});
