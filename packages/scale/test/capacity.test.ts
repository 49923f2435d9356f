import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import fc from 'fast-check';
import { KEPT_RUNS, capacityTables, fitLine, keptRuns } from '../src/index.js';

const BEGIN = '<!-- tables: npm run -s measure -- capacity -->';
const END = '<!-- end of tables -->';

test('the tables of the capacity page are what the kept runs give', () => {
  const page = readFileSync('docs/CAPACITY.md', 'utf8');
  const from = page.indexOf(BEGIN);
  const to = page.indexOf(END);
  assert.ok(from >= 0 && to > from, 'the page holds no tables');
  const shown = page.slice(from + BEGIN.length, to).trim();
  assert.equal(shown, capacityTables(keptRuns(KEPT_RUNS)));
});

test('a fit finds the line that the points lie on', () => {
  const some = fc.integer({ min: -1000, max: 1000 });
  fc.assert(
    fc.property(some, some, (base, slope) => {
      const found = fitLine([1, 2, 5, 9].map((x) => [x, base + slope * x] as const));
      assert.ok(Math.abs(found.base - base) < 1e-6);
      assert.ok(Math.abs(found.slope - slope) < 1e-6);
      assert.ok(found.residual < 1e-6);
      assert.deepEqual([found.least, found.most], [1, 9]);
    }),
  );
});
