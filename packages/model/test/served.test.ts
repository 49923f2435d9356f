import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId } from '@spurbridge/wire';
import { jobSpec } from '@spurbridge/testkit';
import {
  countJob,
  countLargest,
  largestFrom,
  nothingAsked,
  runnable,
  served,
  sizeOf,
  unserved,
} from '../src/index.js';

const spec = jobSpec({ id: 'wk-000001' as JobId, estimateS: 10, deadlineS: 60 });
const life = { spec, ageS: 200, startedS: 5, isEnded: true, isCancelled: false };

test('what ended or could have counts, what is young or was cancelled counts neither way', () => {
  const a = nothingAsked();
  countJob(a, { ...life, ageS: 50 });
  countJob(a, life);
  countJob(a, { ...life, isEnded: false });
  countJob(a, { ...life, isEnded: false, ageS: 80 });
  countJob(a, { ...life, isEnded: false, isCancelled: true });
  countJob(a, { ...life, isEnded: false, startedS: null, ageS: 30 });
  countJob(a, { ...life, isEnded: false, startedS: null, ageS: 70 });
  assert.deepEqual(a, {
    ...nothingAsked(),
    couldEnd: 3,
    ended: 2,
    timed: 3,
    inTime: 1,
    couldStart: 6,
    started: 5,
  });
});

test('under half of any reading fails, but for what is only said', () => {
  const a = { ...nothingAsked(), couldEnd: 10, ended: 4, timed: 10, inTime: 1, wantedS: 100, ranS: 60 };
  assert.deepEqual(
    unserved(a).map((s) => [s.reading, s.share]),
    [['ended', 0.4]],
  );
  assert.deepEqual(
    served(a).map((s) => s.reading),
    ['ended', 'replicas', 'in time'],
  );
  assert.deepEqual(unserved({ ...a, ended: 5 }), []);
});

test('replicas bound to one zone and spread over zones can run only by half', () => {
  assert.equal(runnable(jobSpec({ id: spec.id, tasks: 5, zone: 'a', spread: true })), 3);
  assert.equal(runnable(jobSpec({ id: spec.id, tasks: 5, spread: true })), 5);
});

test('the largest quarter of a class has to begin within four minutes; a few jobs have no largest', () => {
  assert.equal(largestFrom([1, 2, 3, 4, 5, 6, 7]), Infinity);
  assert.equal(largestFrom([8, 1, 7, 2, 6, 3, 5, 4]), 7);
  assert.equal(sizeOf(jobSpec({ id: spec.id, tasks: 3, cpus: 4 })), 12);
  assert.equal(sizeOf(jobSpec({ id: spec.id, tasks: 3, cpus: 4, gpus: 2 })), 6);
  const a = nothingAsked();
  const open = { ...life, isEnded: false, ageS: 239 };
  countLargest(a, { ...open, startedS: null });
  assert.equal(a.couldStart, 0);
  countLargest(a, { ...open, startedS: null, ageS: 240 });
  countLargest(a, { ...open, startedS: 241, ageS: 250 });
  countLargest(a, { ...open, startedS: 240, ageS: 250 });
  assert.deepEqual([a.couldStart, a.started], [3, 1]);
  assert.deepEqual(
    unserved(a).map((s) => s.reading),
    ['ended', 'started'],
  );
});
