import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { NodeId } from '@spurbridge/wire';
import type { LeaderCandidate } from '../src/index.js';
import { campaignDelayMs } from '../src/index.js';

const candidates = fc
  .array(fc.nat(3), { minLength: 1, maxLength: 5 })
  .map((penalties) =>
    penalties.map((penalty, i): LeaderCandidate => ({ node: `spur-${i}` as NodeId, penalty })),
  );

test('a candidate with the lowest penalty campaigns without delay, and all others at least 50 ms later', () => {
  fc.assert(
    fc.property(candidates, (all) => {
      const delays = all.map((candidate) => ({
        candidate,
        ms: campaignDelayMs(
          candidate,
          all.filter((other) => other !== candidate),
        ),
      }));
      delays.sort((a, b) => a.ms - b.ms);
      const lowestPenalty = Math.min(...all.map((candidate) => candidate.penalty));
      assert.equal(delays[0]?.ms, 0);
      assert.equal(delays[0]?.candidate.penalty, lowestPenalty);
      assert.ok(delays.slice(1).every((delay) => delay.ms >= 50));
      for (const { candidate, ms } of delays)
        assert.ok(
          candidate.penalty === lowestPenalty || ms >= 500,
          'a candidate with a higher penalty waits 500 ms',
        );
    }),
    { seed: 4, numRuns: 300 },
  );
});

test('any candidate campaigns within 1.2 seconds regardless of the penalties of the others', () => {
  fc.assert(
    fc.property(fc.nat(99), candidates, (penalty, others) => {
      assert.ok(campaignDelayMs({ node: 'spur-9' as NodeId, penalty }, others) <= 1200);
    }),
    { seed: 5, numRuns: 200 },
  );
});
