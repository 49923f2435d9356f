import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { test } from 'node:test';
import fc from 'fast-check';
import { KEPT_RUNS_DIRECTORY, capacityTables, fitLine, readKeptRuns } from '../src/index.js';

const BEGIN = '<!-- tables: npm run -s measure -- capacity -->';
const END = '<!-- end of tables -->';

test('the tables of the capacity page equal those rendered from the kept runs', () => {
  const page = readFileSync('docs/CAPACITY.md', 'utf8');
  const from = page.indexOf(BEGIN);
  const to = page.indexOf(END);
  assert.ok(from >= 0 && to > from, 'the page has no markers around its tables');
  const pageTables = page.slice(from + BEGIN.length, to).trim();
  assert.equal(pageTables, capacityTables(readKeptRuns(KEPT_RUNS_DIRECTORY)));
});

test('a fit of collinear points returns their line and range without residual', () => {
  const coefficient = fc.integer({ min: -1000, max: 1000 });
  fc.assert(
    fc.property(coefficient, coefficient, (base, slope) => {
      const fit = fitLine([1, 2, 5, 9].map((x) => [x, base + slope * x] as const));
      assert.ok(Math.abs(fit.base - base) < 1e-6);
      assert.ok(Math.abs(fit.slope - slope) < 1e-6);
      assert.ok(fit.residual < 1e-6);
      assert.deepEqual([fit.minDriver, fit.maxDriver], [1, 9]);
    }),
  );
});
