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
  const a = emptyServiceLevelCounts();
  countJob(a, { ...life, ageS: 50 });
  countJob(a, life);
  countJob(a, { ...life, isEnded: false });
  countJob(a, { ...life, isEnded: false, ageS: 80 });
  countJob(a, { ...life, isEnded: false, isCancelled: true });
  countJob(a, { ...life, isEnded: false, startedS: null, ageS: 30 });
  countJob(a, { ...life, isEnded: false, startedS: null, ageS: 70 });
  assert.deepEqual(a, {
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
  const a = {
    ...emptyServiceLevelCounts(),
    couldEnd: 10,
    ended: 4,
    timed: 10,
    inTime: 1,
    wantedS: 100,
    ranS: 60,
  };
  assert.deepEqual(
    missedServiceLevels(a).map((s) => [s.indicator, s.share]),
    [['ended', 0.4]],
  );
  assert.deepEqual(
    serviceLevels(a).map((s) => s.indicator),
    ['ended', 'replicas', 'in time'],
  );
  assert.deepEqual(missedServiceLevels({ ...a, ended: 5 }), []);
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
  const a = emptyServiceLevelCounts();
  const open = { ...life, isEnded: false, ageS: 239 };
  countLargestJob(a, { ...open, startedS: null });
  assert.equal(a.couldStart, 0);
  countLargestJob(a, { ...open, startedS: null, ageS: 240 });
  countLargestJob(a, { ...open, startedS: 241, ageS: 250 });
  countLargestJob(a, { ...open, startedS: 240, ageS: 250 });
  assert.deepEqual([a.couldStart, a.started], [3, 1]);
  assert.deepEqual(
    missedServiceLevels(a).map((s) => s.indicator),
    ['ended', 'started'],
  );
});
