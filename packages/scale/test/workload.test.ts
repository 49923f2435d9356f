import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { JOBS_PER_REGION, Workload } from '../src/index.js';

const SHAPE = {
  seed: 7,
  firstJob: JOBS_PER_REGION,
  teams: 350,
  startsPerS: 205,
  running: 10_250,
  jobsPerS: 0.677,
  zones: ['a', 'b', 'c', 'd'],
};

test('every process draws the same job from its id alone', () => {
  const here = new Workload(SHAPE);
  const there = new Workload(SHAPE);
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 10_000 }), (index) => {
      const job = here.job(index);
      assert.deepEqual(there.find(job.id), job);
      assert.equal(here.runMs(job, 0), there.runMs(job, 0));
    }),
  );
});

test('ids of another region, and of no job, are unknown', () => {
  const workload = new Workload(SHAPE);
  const other = new Workload({ ...SHAPE, firstJob: 0 });
  assert.equal(workload.find(other.job(3).id), undefined);
  assert.equal(workload.find('wk-x' as never), undefined);
});

test('as many tasks come as asked for, and as many run', () => {
  const workload = new Workload(SHAPE);
  const jobs = Array.from({ length: 4000 }, (_, n) => workload.job(n));
  const tasksPerS = (jobs.reduce((sum, job) => sum + job.tasks, 0) / jobs.length) * SHAPE.jobsPerS;
  assert.ok(Math.abs(tasksPerS / SHAPE.startsPerS - 1) < 0.1, `${tasksPerS} tasks a second`);
  const spanS = jobs.reduce((sum, _job, n) => sum + workload.gapMs(n), 0) / 1000;
  assert.ok(Math.abs(jobs.length / spanS / SHAPE.jobsPerS - 1) < 0.1, `${jobs.length / spanS} jobs a second`);
  const replicas = workload.services().reduce((sum, job) => sum + job.tasks, 0);
  assert.ok(Math.abs(workload.meanRunS * SHAPE.startsPerS + replicas - SHAPE.running) < 0.02 * SHAPE.running);
});
