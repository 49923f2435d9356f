import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import fc from 'fast-check';
import { HeapGovernor, heapGrowth } from '../src/heap.js';

test('the process fits within its memory whenever the heap growth is above its minimum', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 4000 }), fc.integer({ min: 100, max: 8000 }), (live, memory) => {
      const growth = heapGrowth(live, memory);
      assert.ok(growth >= 5 && growth <= 100);
      if (growth > 5) assert.ok(live * (1 + growth / 100) + 46 + 18 <= memory + 1e-6);
    }),
  );
});

test('heap growth follows the lowest recent heap usage and ignores small changes', () => {
  const growthsSet: number[] = [];
  let usedBytes = 60e6;
  const governor = new HeapGovernor(
    230,
    (percent) => growthsSet.push(percent),
    () => usedBytes,
  );
  governor.sample();
  usedBytes = 61e6;
  governor.sample();
  assert.deepEqual(growthsSet, [100]);
  // A high usage may be garbage, but after twenty samples without a lower one it counts as live objects.
  usedBytes = 130e6;
  governor.sample();
  assert.deepEqual(growthsSet, [100]);
  for (let n = 0; n < 20; n += 1) governor.sample();
  assert.deepEqual(growthsSet, [100, 27]);
});

/** Minimum number of rounds: on a busy machine, three seconds may pass before there is garbage to collect. */
const MIN_ROUNDS = 500;
/**
 * A program that fills the heap with records of a given size, overwrites them for at least three seconds and `MIN_ROUNDS`
 * rounds, and prints the peak size of the heap in megabytes.
 */
const OVERWRITE_RECORDS_PROGRAM = `
  const { HeapGovernor } = await import('./packages/daemon/src/heap.ts');
  const [, memoryMb, liveMb] = process.argv;
  if (Number(memoryMb) > 0) new HeapGovernor(Number(memoryMb)).start();
  const records = new Map();
  const write = (n) => records.set(n, JSON.parse(JSON.stringify({ n, text: 'x'.repeat(180) })));
  const size = Number(liveMb) * 3000;
  for (let n = 0; n < size; n += 1) write(n);
  let peakMb = 0;
  const until = Date.now() + 3000;
  let rounds = 0;
  const runRound = () => {
    for (let n = 0; n < 3000; n += 1) write(Math.floor(Math.random() * size));
    peakMb = Math.max(peakMb, process.memoryUsage().heapTotal / 1e6);
    rounds += 1;
    if (Date.now() < until || rounds < ${MIN_ROUNDS}) setImmediate(runRound);
    else { console.log(Math.round(peakMb)); process.exit(0); }
  };
  runRound();
`;

/** Runs the program; a `memoryMb` of 0 runs it without a governor. Returns null if the process failed. */
function peakHeapMb(flags: readonly string[], memoryMb: number, liveMb: number): number | null {
  const result = spawnSync(
    process.execPath,
    [
      '--max-semi-space-size=6',
      ...flags,
      '--import',
      'tsx',
      '--input-type=module',
      '-e',
      OVERWRITE_RECORDS_PROGRAM,
      String(memoryMb),
      String(liveMb),
    ],
    { encoding: 'utf8' },
  );
  return result.status === 0 ? Number(result.stdout.trim()) : null;
}

test('a governed process holds 120 MB of records, which end a process with a fixed heap limit of 72 MB', () => {
  const governedMb = peakHeapMb([], 400, 120);
  assert.ok(governedMb !== null && governedMb > 100, `${governedMb} MB`);
  assert.equal(peakHeapMb(['--max-old-space-size=72'], 0, 120), null);
});

test('a process with little memory has a lower peak heap size than with the defaults of V8', () => {
  const governedMb = peakHeapMb([], 130, 40);
  const defaultMb = peakHeapMb([], 0, 40);
  assert.ok(
    governedMb !== null && defaultMb !== null && governedMb < defaultMb,
    `${governedMb} MB governed, ${defaultMb} MB by default`,
  );
});
