import assert from 'node:assert/strict';
import { test } from 'node:test';
import { evaluateRun, parseKnownFailures } from '../src/known-failures.js';

const LINE = 'a service moves | the reserve counts no zone without machines | issue 33';

test('a line of KNOWN-RED.txt must have a test, a cause and an issue, and at most three tests may be listed', () => {
  assert.deepEqual(parseKnownFailures(`# why\n\n${LINE}\n`), [
    { test: 'a service moves', cause: 'the reserve counts no zone without machines', issue: 33 },
  ]);
  assert.throws(() => parseKnownFailures(' | cause | issue 1'), /KNOWN-RED.txt:1: the test is missing/);
  assert.throws(() => parseKnownFailures('test | | issue 1'), /:1: the cause is missing/);
  assert.throws(() => parseKnownFailures('test | cause'), /:1: the issue is missing/);
  assert.throws(() => parseKnownFailures('test | cause | soon'), /:1: the issue is missing/);
  assert.throws(
    () => parseKnownFailures('test | cause | issue 1 | more'),
    /:1: expected 3 fields \(test, cause, issue\), got 4$/,
  );
  assert.throws(() => parseKnownFailures(`${LINE}\n${LINE}`), /:2: the test is listed twice/);
  const fourLines = [1, 2, 3, 4].map((i) => `t${i} | cause | issue ${i}`).join('\n');
  assert.throws(
    () => parseKnownFailures(fourLines),
    /:4: expected at most 3 listed tests, this is number 4$/,
  );
});

test('only listed tests may fail, they must have run, and their results are printed', () => {
  const knownFailures = parseKnownFailures(LINE);
  const passed = new Set(['a job runs']);
  assert.deepEqual(evaluateRun(knownFailures, { passed, failed: new Set(['a service moves']) }), {
    faults: [],
    reportLines: [
      'known red, failed: a service moves (the reserve counts no zone without machines; issue 33)',
    ],
  });
  assert.deepEqual(evaluateRun(knownFailures, { passed, failed: new Set() }).faults, [
    'test listed in KNOWN-RED.txt was not run: a service moves',
  ]);
  assert.deepEqual(evaluateRun([], { passed, failed: new Set(['a gang saves']) }).faults, [
    'failed: a gang saves',
  ]);
  assert.match(
    evaluateRun(knownFailures, { passed: new Set(['a service moves']), failed: new Set() }).reportLines[0] ??
      '',
    /passed/,
  );
});
