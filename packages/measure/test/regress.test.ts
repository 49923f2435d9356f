import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { compare, print, readJournal } from '../src/regress.js';

function entry(site: string, mode: string, score: number | null, rules: object = {}) {
  return { cmd: 'score', at: ['2026-01-01'], site, mode, score, days: [{ rules }] };
}

test('a fall beyond noise and a broken rule are seen beside the last figure of the same site and mode', () => {
  const folder = mkdtempSync(join(tmpdir(), 'regress-'));
  try {
    const put = (n: number, e: object): void => {
      writeFileSync(join(folder, `2026010${n}.json`), JSON.stringify(e));
    };
    put(1, entry('east', 'quick', 0.8));
    put(2, entry('east', 'full', 0.5));
    put(3, { cmd: 'hunt', site: 'east' });
    put(4, entry('west', 'quick', 0.9));
    const old = readJournal(folder);
    assert.equal(old.length, 3);
    put(5, entry('east', 'quick', 0.771));
    put(6, entry('west', 'quick', 0.86));
    put(7, entry('west', 'quick', 0.95, { ran_twice: 1 }));
    put(8, entry('north', 'quick', 0.4));
    put(9, entry('north', 'full', null));
    const rows = compare(old, readJournal(folder).slice(old.length));
    assert.deepEqual(
      rows.map((r) => r.verdict),
      ['ok', 'fell', 'broken', 'first', 'failed'],
    );
    assert.match(print(rows), /^ok\s+east quick: 0\.800 -> 0\.771 \(-0\.029\)$/m);
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test('without a bench it says which variable is missing and exits with 2', () => {
  const env = { ...process.env, SPURBRIDGE_BENCH: '' };
  const r = spawnSync(process.execPath, ['--import', 'tsx', 'packages/measure/src/regress.ts', 'quick'], {
    env,
  });
  assert.equal(r.status, 2);
  assert.match(r.stderr.toString(), /SPURBRIDGE_BENCH is not set/);
});
