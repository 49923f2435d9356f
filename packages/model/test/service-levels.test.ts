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
const life = { spec, ageS: 200, startedS: 5, isEnded: true, isCancelled: false };

test('a job that ended or could have counts, a young or cancelled one counts neither way', () => {
  const counts = emptyServiceLevelCounts();
  countJob(counts, { ...life, ageS: 50 });
  countJob(counts, life);
  countJob(counts, { ...life, isEnded: false });
  countJob(counts, { ...life, isEnded: false, ageS: 80 });
  countJob(counts, { ...life, isEnded: false, isCancelled: true });
  countJob(counts, { ...life, isEnded: false, startedS: null, ageS: 30 });
  countJob(counts, { ...life, isEnded: false, startedS: null, ageS: 70 });
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

test('under half of any indicator is a missed service level, but for warnings', () => {
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

test('replicas bound to one zone and spread over zones can run only by half', () => {
  assert.equal(maxRunnableReplicas(jobSpec({ id: spec.id, tasks: 5, zone: 'a', spread: true })), 3);
  assert.equal(maxRunnableReplicas(jobSpec({ id: spec.id, tasks: 5, spread: true })), 5);
});

test('the largest quarter of a class has to start within four minutes; among few jobs none is the largest', () => {
  assert.equal(largestJobThreshold([1, 2, 3, 4, 5, 6, 7]), Infinity);
  assert.equal(largestJobThreshold([8, 1, 7, 2, 6, 3, 5, 4]), 7);
  assert.equal(jobSize(jobSpec({ id: spec.id, tasks: 3, cpus: 4 })), 12);
  assert.equal(jobSize(jobSpec({ id: spec.id, tasks: 3, cpus: 4, gpus: 2 })), 6);
  const counts = emptyServiceLevelCounts();
  const open = { ...life, isEnded: false, ageS: 239 };
  countLargestJob(counts, { ...open, startedS: null });
  assert.equal(counts.couldStart, 0);
  countLargestJob(counts, { ...open, startedS: null, ageS: 240 });
  countLargestJob(counts, { ...open, startedS: 241, ageS: 250 });
  countLargestJob(counts, { ...open, startedS: 240, ageS: 250 });
  assert.deepEqual([counts.couldStart, counts.started], [3, 1]);
  assert.deepEqual(
    missedServiceLevels(counts).map((level) => level.indicator),
    ['ended', 'started'],
  );
});
