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

test('two processes with the same seed generate the same job from its id', () => {
  const first = new Workload(SHAPE);
  const second = new Workload(SHAPE);
  fc.assert(
    fc.property(fc.integer({ min: 0, max: 10_000 }), (index) => {
      const job = first.job(index);
      assert.deepEqual(second.find(job.id), job);
      assert.equal(first.runMs(job, 0), second.runMs(job, 0));
    }),
  );
});

test('an id of another region and an id of no job are not found', () => {
  const workload = new Workload(SHAPE);
  const other = new Workload({ ...SHAPE, firstJob: 0 });
  assert.equal(workload.find(other.job(3).id), undefined);
  assert.equal(workload.find('wk-x' as never), undefined);
});

test('the generated load matches the target rates of tasks and jobs and the target number of running tasks', () => {
  const workload = new Workload(SHAPE);
  const jobs = Array.from({ length: 4000 }, (_, n) => workload.job(n));
  const tasksPerS = (jobs.reduce((sum, job) => sum + job.tasks, 0) / jobs.length) * SHAPE.jobsPerS;
  assert.ok(Math.abs(tasksPerS / SHAPE.startsPerS - 1) < 0.1, `${tasksPerS} tasks/s`);
  const spanS = jobs.reduce((sum, _job, n) => sum + workload.interarrivalMs(n), 0) / 1000;
  assert.ok(Math.abs(jobs.length / spanS / SHAPE.jobsPerS - 1) < 0.1, `${jobs.length / spanS} jobs/s`);
  const replicas = workload.services().reduce((sum, job) => sum + job.tasks, 0);
  assert.ok(Math.abs(workload.meanRunS * SHAPE.startsPerS + replicas - SHAPE.running) < 0.02 * SHAPE.running);
});
