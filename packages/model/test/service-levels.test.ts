import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId } from '@spurbridge/wire';
import { jobSpec } from '@spurbridge/testkit';
import {
  countJob,
  countLargestJob,
  largestJobThreshold,
  emptyServiceLevelCounts,
  maxRunnableReplicas,
  serviceLevels,
  jobSize,
  missedServiceLevels,
} from '../src/index.js';

const spec = jobSpec({ id: 'wk-000001' as JobId, estimateS: 10, deadlineS: 60 });
const outcome = { spec, ageS: 200, startedS: 5, isEnded: true, isCancelled: false };

test('a service level counts every reached outcome, but counts a missed one only if the job is old enough and not cancelled', () => {
  const counts = emptyServiceLevelCounts();
  countJob(counts, { ...outcome, ageS: 50 });
  countJob(counts, outcome);
  countJob(counts, { ...outcome, isEnded: false });
  countJob(counts, { ...outcome, isEnded: false, ageS: 80 });
  countJob(counts, { ...outcome, isEnded: false, isCancelled: true });
  countJob(counts, { ...outcome, isEnded: false, startedS: null, ageS: 30 });
  countJob(counts, { ...outcome, isEnded: false, startedS: null, ageS: 70 });
  assert.deepEqual(counts, {
    ...emptyServiceLevelCounts(),
    couldEnd: 3,
    ended: 2,
    timed: 3,
    inTime: 1,
    couldStart: 6,
    started: 5,
  });
});

test('a service level below one half is missed unless it is only a warning', () => {
  const counts = {
    ...emptyServiceLevelCounts(),
    couldEnd: 10,
    ended: 4,
    timed: 10,
    inTime: 1,
    wantedS: 100,
    ranS: 60,
  };
  assert.deepEqual(
    missedServiceLevels(counts).map((level) => [level.indicator, level.share]),
    [['ended', 0.4]],
  );
  assert.deepEqual(
    serviceLevels(counts).map((level) => level.indicator),
    ['ended', 'replicas', 'in time'],
  );
  assert.deepEqual(missedServiceLevels({ ...counts, ended: 5 }), []);
});

test('a spread service bound to one zone can run only half of its replicas, rounded up', () => {
  assert.equal(maxRunnableReplicas(jobSpec({ id: spec.id, tasks: 5, zone: 'a', spread: true })), 3);
  assert.equal(maxRunnableReplicas(jobSpec({ id: spec.id, tasks: 5, spread: true })), 5);
});

test('the largest quarter of a class must start within 240 s, and a class of few jobs has no largest jobs', () => {
  assert.equal(largestJobThreshold([1, 2, 3, 4, 5, 6, 7]), Infinity);
  assert.equal(largestJobThreshold([8, 1, 7, 2, 6, 3, 5, 4]), 7);
  assert.equal(jobSize(jobSpec({ id: spec.id, tasks: 3, cpus: 4 })), 12);
  assert.equal(jobSize(jobSpec({ id: spec.id, tasks: 3, cpus: 4, gpus: 2 })), 6);
  const counts = emptyServiceLevelCounts();
  const unfinished = { ...outcome, isEnded: false, ageS: 239 };
  countLargestJob(counts, { ...unfinished, startedS: null });
  assert.equal(counts.couldStart, 0);
  countLargestJob(counts, { ...unfinished, startedS: null, ageS: 240 });
  countLargestJob(counts, { ...unfinished, startedS: 241, ageS: 250 });
  countLargestJob(counts, { ...unfinished, startedS: 240, ageS: 250 });
  assert.deepEqual([counts.couldStart, counts.started], [3, 1]);
  assert.deepEqual(
    missedServiceLevels(counts).map((level) => level.indicator),
    ['ended', 'started'],
  );
});
