import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { NodeId } from '@spurbridge/wire';
import type { LeaderCandidate } from '../src/index.js';
import { campaignDelayMs } from '../src/index.js';

const candidates = fc
  .array(fc.nat(3), { minLength: 1, maxLength: 5 })
  .map((burdens) =>
    burdens.map((burden, i): LeaderCandidate => ({ node: `spur-${i}` as NodeId, penalty: burden })),
  );

test('of nodes that know of each other the fittest campaigns first, at once, and no two within 50 ms of it', () => {
  fc.assert(
    fc.property(candidates, (all) => {
      const delays = all.map((c) => ({
        c,
        ms: campaignDelayMs(
          c,
          all.filter((o) => o !== c),
        ),
      }));
      delays.sort((a, b) => a.ms - b.ms);
      const least = Math.min(...all.map((c) => c.penalty));
      assert.equal(delays[0]?.ms, 0);
      assert.equal(delays[0]?.c.penalty, least);
      assert.ok(delays.slice(1).every((d) => d.ms >= 50));
      for (const d of delays) assert.ok(d.c.penalty === least || d.ms >= 500, 'a fitter one has its time');
    }),
    { seed: 4, numRuns: 300 },
  );
});

test('whatever is said of the others, any node campaigns within 1.2 seconds', () => {
  fc.assert(
    fc.property(fc.nat(99), candidates, (burden, others) => {
      assert.ok(campaignDelayMs({ node: 'spur-9' as NodeId, penalty: burden }, others) <= 1200);
    }),
    { seed: 5, numRuns: 200 },
  );
});
