import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import type { ScaleResult } from '../src/index.js';

const SCALE = ['--import', 'tsx', 'packages/measure/src/main.ts', 'scale'];

test(
  'a smoke run with twenty workers for ten seconds starts tasks and violates no rule',
  { timeout: 120_000 },
  () => {
    const run = spawnSync(process.execPath, [...SCALE, '--smoke', '--first-region', '50'], {
      encoding: 'utf8',
    });
    assert.equal(run.status, 0, run.stderr);
    const result = JSON.parse(run.stdout.trim().split('\n').at(-1) ?? '') as ScaleResult;
    const step = result.steps[0];
    assert.ok(step !== undefined);
    assert.ok(step.startsPerS > 2, `${step.startsPerS} starts/s`);
    assert.deepEqual(step.brokenRules, []);
    assert.deepEqual(step.ends, []);
    assert.equal(step.killedByLease, 0);
    assert.ok(step.roles.leader.cpu > 0 && step.roles.worker.residentMb > 0);
  },
);

test('the command names invalid flags and exits with 2', () => {
  const run = spawnSync(process.execPath, [...SCALE, '--workers', '0', '--steps', 'x'], { encoding: 'utf8' });
  assert.equal(run.status, 2);
  assert.match(run.stderr, /--workers.*\n.*--steps/);
  assert.equal(spawnSync(process.execPath, [...SCALE, '--no-such'], { encoding: 'utf8' }).status, 2);
});
