import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { JobId } from '@spurbridge/wire';
import type { RunEvent } from '../src/index.js';
import { EventOrder } from '../src/index.js';

const eventAt = (at: number): RunEvent => ({ kind: 'cancelAsked', at, job: 'wk-1' as JobId });

test('events of several processes are delivered once each, in the order of their times', () => {
  const times = fc.array(fc.array(fc.integer({ min: 0, max: 100 })), { minLength: 1, maxLength: 5 });
  fc.assert(
    fc.property(times, (timesByProcess) => {
      const delivered: number[] = [];
      const order = new EventOrder((e) => delivered.push(e.at));
      timesByProcess.forEach((_, n) => {
        order.add(String(n), 0);
      });
      for (const until of [30, 60, 101])
        timesByProcess.forEach((ownTimes, n) => {
          const from = { 30: -1, 60: 30, 101: 60 }[until] as number;
          const due = ownTimes.filter((at) => at > from && at <= until).map(eventAt);
          order.batch(String(n), due, until);
        });
      assert.deepEqual(
        delivered,
        timesByProcess.flat().sort((a, b) => a - b),
      );
    }),
  );
});

test('a suspended process delays later events of other processes until it resumes or is removed', () => {
  const delivered: number[] = [];
  const order = new EventOrder((e) => delivered.push(e.at));
  order.add('suspended', 10);
  order.add('running', 10);
  order.batch('running', [eventAt(11), eventAt(50)], 60);
  assert.deepEqual(delivered, []);
  // Once resumed, the process reports a task that ended while it was suspended.
  order.batch('suspended', [eventAt(30)], 40);
  assert.deepEqual(delivered, [11, 30]);
  order.remove('suspended');
  assert.deepEqual(delivered, [11, 30, 50]);
});
