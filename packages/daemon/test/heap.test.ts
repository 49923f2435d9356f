import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { test } from 'node:test';
import fc from 'fast-check';
import { HeapGovernor, heapGrowth } from '../src/heap.js';

test('what lives and its growth stay within the memory, as long as there is any left', () => {
  fc.assert(
    fc.property(fc.integer({ min: 1, max: 4000 }), fc.integer({ min: 100, max: 8000 }), (live, memory) => {
      const growth = heapGrowth(live, memory);
      assert.ok(growth >= 5 && growth <= 100);
      if (growth > 5) assert.ok(live * (1 + growth / 100) + 46 + 18 <= memory + 1e-6);
    }),
  );
});

test('the growth follows the least that was used, and is not set anew for a trifle', () => {
  const set: number[] = [];
  let used = 60e6;
  const governor = new HeapGovernor(
    230,
    (percent) => set.push(percent),
    () => used,
  );
  governor.sample();
  used = 61e6;
  governor.sample();
  assert.deepEqual(set, [100]);
  // A burst of garbage is no sign of what lives; that it stays for twenty samples is.
  used = 130e6;
  governor.sample();
  assert.deepEqual(set, [100]);
  for (let n = 0; n < 20; n += 1) governor.sample();
  assert.deepEqual(set, [100, 27]);
});

/**
 * A process whose records take so many megabytes and are written again and again; prints its peak in megabytes. It ends after
 * three seconds and no less than so many turns: on a busy machine time alone would end it before there was garbage to collect.
 */
const MIN_TURNS = 500;
const CHURN = `
  const { HeapGovernor } = await import('./packages/daemon/src/heap.ts');
  const [, memory, live] = process.argv;
  if (Number(memory) > 0) new HeapGovernor(Number(memory)).start();
  const records = new Map();
  const write = (n) => records.set(n, JSON.parse(JSON.stringify({ n, text: 'x'.repeat(180) })));
  const size = Number(live) * 3000;
  for (let n = 0; n < size; n += 1) write(n);
  let peak = 0;
  const until = Date.now() + 3000;
  let turns = 0;
  const turn = () => {
    for (let n = 0; n < 3000; n += 1) write(Math.floor(Math.random() * size));
    peak = Math.max(peak, process.memoryUsage().heapTotal / 1e6);
    turns += 1;
    if (Date.now() < until || turns < ${MIN_TURNS}) setImmediate(turn);
    else { console.log(Math.round(peak)); process.exit(0); }
  };
  turn();
`;

function churn(flags: readonly string[], memoryMb: number, liveMb: number): number | null {
  const run = spawnSync(
    process.execPath,
    [
      '--max-semi-space-size=6',
      ...flags,
      '--import',
      'tsx',
      '--input-type=module',
      '-e',
      CHURN,
      String(memoryMb),
      String(liveMb),
    ],
    { encoding: 'utf8' },
  );
  return run.status === 0 ? Number(run.stdout.trim()) : null;
}

test('records of more than 72 MB are held where the memory is given, and the fixed limit ended the process', () => {
  const held = churn([], 400, 120);
  assert.ok(held !== null && held > 100, `${held} MB`);
  assert.equal(churn(['--max-old-space-size=72'], 0, 120), null);
});

test('a process with little memory collects sooner than V8 would by itself', () => {
  const governed = churn([], 130, 40);
  const free = churn([], 0, 40);
  assert.ok(governed !== null && free !== null && governed < free, `${governed} MB, ${free} MB by itself`);
});
