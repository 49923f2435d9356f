import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId } from '@spurbridge/wire';
import { jobSpec } from '@spurbridge/testkit';
import { CapacityEstimator, RunTimeEstimator } from '../src/index.js';

function spec(n: number, tasks = 1) {
  return jobSpec({ id: `wk-${n}` as JobId, tasks, estimateS: 100 });
}

test('without observations the prior allows for run times of about twice the estimate', () => {
  const r = new RunTimeEstimator();
  assert.ok(r.quantileS(100, 0.98) >= 190);
  assert.ok(Math.abs(r.meanS(100) - 115) < 15, `${r.meanS(100)}`);
});

test('observations narrow the quantiles for accurate estimates and correct inaccurate ones', () => {
  const accurate = new RunTimeEstimator();
  const inaccurate = new RunTimeEstimator();
  for (let i = 0; i < 200; i += 1) {
    accurate.observe(spec(i), 95 + (i % 10));
    inaccurate.observe(spec(i), 190 + (i % 20));
  }
  assert.ok(accurate.quantileS(100, 0.95) < 125, `${accurate.quantileS(100, 0.95)}`);
  assert.ok(inaccurate.quantileS(100, 0.5) > 180 && inaccurate.meanS(100) > 170);
});

test('a job has the same weight for any number of tasks', () => {
  const r = new RunTimeEstimator();
  for (let i = 0; i < 1000; i += 1) r.observe(spec(1, 1000), 900);
  for (let i = 2; i < 40; i += 1) r.observe(spec(i), 100);
  assert.ok(r.quantileS(100, 0.9) < 260, `${r.quantileS(100, 0.9)}`);
});

test('old observations no longer affect the quantiles', () => {
  const r = new RunTimeEstimator();
  for (let i = 0; i < 300; i += 1) r.observe(spec(i), 400);
  assert.ok(r.quantileS(100, 0.5) > 350);
  for (let i = 0; i < 320; i += 1) r.observe(spec(i), 100);
  assert.ok(r.quantileS(100, 0.9) < 260, `${r.quantileS(100, 0.9)}`);
});

test('an estimator is stored in a small record and restored from it', () => {
  const r = new RunTimeEstimator();
  for (let i = 0; i < 500; i += 1) r.observe(spec(i), 20 + ((i * 37) % 400));
  const text = JSON.stringify(r.encode());
  assert.ok(text.length < 6000, `${text.length} bytes`);
  const restored = RunTimeEstimator.decode(JSON.parse(text));
  for (const q of [0.1, 0.5, 0.9, 0.98]) assert.equal(restored.quantileS(100, q), r.quantileS(100, q));
  assert.ok(Math.abs(restored.meanS(100) - r.meanS(100)) < 1e-6);
  assert.throws(() => RunTimeEstimator.decode({ older: 'x' }));
});

test('capacity is the observed peak less the usage of others, within the limit', () => {
  const team = { name: 'red', cpus: 40, cpusMax: 80, gpus: 0, gpusMax: 0 };
  const c = new CapacityEstimator();
  assert.equal(c.cpusFor(team), 0);
  c.observe(0, 100, new Map([['blue', 30]]), new Map());
  assert.ok(c.cpusFor(team) > 55 && c.cpusFor(team) <= 60, `${c.cpusFor(team)}`);
  // A short burst of urgent work hardly changes the running mean.
  c.observe(5000, 100, new Map([['blue', 30]]), new Map([['red', 50]]));
  assert.ok(c.cpusFor(team) > 55, `${c.cpusFor(team)}`);
  // After the machines are returned, the observed peak decays with its age.
  c.observe(3_600_000, 0, new Map(), new Map());
  assert.ok(c.totalCpus > 75, `${c.totalCpus}`);
  c.observe(100 * 3_600_000, 0, new Map(), new Map());
  assert.ok(c.totalCpus < 2, `${c.totalCpus}`);
  const next = new CapacityEstimator();
  next.restore({ peakCpus: 200 });
  assert.ok(next.cpusFor(team) <= 80 && next.cpusFor(team) > 60);
});
