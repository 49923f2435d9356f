import assert from 'node:assert/strict';
import { test } from 'node:test';
import { judgeRun, parseKnownFailures } from '../src/known-failures.js';

const LINE = 'a service moves | the reserve counts no zone without machines | issue 33';

test('a line of KNOWN-RED.txt must have a test, a cause and an issue, and at most three tests may be listed', () => {
  assert.deepEqual(parseKnownFailures(`# why\n\n${LINE}\n`), [
    { test: 'a service moves', cause: 'the reserve counts no zone without machines', issue: 33 },
  ]);
  assert.throws(() => parseKnownFailures(' | cause | issue 1'), /KNOWN-RED.txt:1: the test is missing/);
  assert.throws(() => parseKnownFailures('test | | issue 1'), /:1: the cause is missing/);
  assert.throws(() => parseKnownFailures('test | cause'), /:1: the issue is missing/);
  assert.throws(() => parseKnownFailures('test | cause | soon'), /:1: the issue is missing/);
  assert.throws(() => parseKnownFailures('test | cause | issue 1 | more'), /:1: there is more/);
  assert.throws(() => parseKnownFailures(`${LINE}\n${LINE}`), /:2: the test is listed twice/);
  const fourLines = [1, 2, 3, 4].map((i) => `t${i} | cause | issue ${i}`).join('\n');
  assert.throws(() => parseKnownFailures(fourLines), /:4: more than 3 tests are red/);
});

test('only listed tests may fail, they must have run, and their results are printed', () => {
  const knownFailures = parseKnownFailures(LINE);
  const passed = new Set(['a job runs']);
  assert.deepEqual(judgeRun(knownFailures, { passed, failed: new Set(['a service moves']) }), {
    faults: [],
    said: ['known red, failed: a service moves (the reserve counts no zone without machines; issue 33)'],
  });
  assert.deepEqual(judgeRun(knownFailures, { passed, failed: new Set() }).faults, [
    'KNOWN-RED.txt lists no test of this run: a service moves',
  ]);
  assert.deepEqual(judgeRun([], { passed, failed: new Set(['a gang saves']) }).faults, [
    'failed: a gang saves',
  ]);
  assert.match(
    judgeRun(knownFailures, { passed: new Set(['a service moves']), failed: new Set() }).said[0] ?? '',
    /passed/,
  );
});
