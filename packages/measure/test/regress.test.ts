import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { compareScores, formatComparisons, readJournal } from '../src/regress.js';

function entry(site: string, mode: string, score: number | null, rules: object = {}) {
  return { cmd: 'score', at: ['2026-01-01'], site, mode, score, days: [{ rules }] };
}

test('a new score is compared with the last one of its site and mode, and falls and broken rules are reported', () => {
  const folder = mkdtempSync(join(tmpdir(), 'regress-'));
  try {
    const writeEntry = (n: number, journalEntry: object): void => {
      writeFileSync(join(folder, `2026010${n}.json`), JSON.stringify(journalEntry));
    };
    writeEntry(1, entry('east', 'quick', 0.8));
    writeEntry(2, entry('east', 'full', 0.5));
    writeEntry(3, { cmd: 'hunt', site: 'east' });
    writeEntry(4, entry('west', 'quick', 0.9));
    const old = readJournal(folder);
    assert.equal(old.length, 3);
    writeEntry(5, entry('east', 'quick', 0.771));
    writeEntry(6, entry('west', 'quick', 0.86));
    writeEntry(7, entry('west', 'quick', 0.95, { ran_twice: 1 }));
    writeEntry(8, entry('north', 'quick', 0.4));
    writeEntry(9, entry('north', 'full', null));
    const rows = compareScores(old, readJournal(folder).slice(old.length));
    assert.deepEqual(
      rows.map((row) => row.verdict),
      ['ok', 'fell', 'broken', 'first', 'failed'],
    );
    assert.match(formatComparisons(rows), /^ok\s+east quick: 0\.800 -> 0\.771 \(-0\.029\)$/m);
  } finally {
    rmSync(folder, { recursive: true });
  }
});

test('without a bench, the command names the missing variable and exits with 2', () => {
  const env = { ...process.env, SPURBRIDGE_BENCH: '' };
  const result = spawnSync(
    process.execPath,
    ['--import', 'tsx', 'packages/measure/src/regress.ts', 'quick'],
    {
      env,
    },
  );
  assert.equal(result.status, 2);
  assert.match(result.stderr.toString(), /SPURBRIDGE_BENCH is not set/);
});
