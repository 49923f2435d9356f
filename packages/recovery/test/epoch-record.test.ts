import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { FencingToken } from '@spurbridge/wire';
import type { Epoch } from '../src/index.js';
import { decodeEpoch, encodeEpoch, nextTokenFloor } from '../src/index.js';

test('an epoch record decodes to the encoded epoch, and a malformed record decodes to null', () => {
  const record = {
    number: 3,
    id: 'a',
    deployment: 'b',
    floor: 12,
    phase: 'open',
    after: 2,
    by: 'spur-0',
    first: false,
    continuous: true,
  };
  assert.deepEqual(encodeEpoch(decodeEpoch(record) as Epoch), record);
  for (const field of Object.keys(record)) assert.equal(decodeEpoch({ ...record, [field]: {} }), null, field);
  assert.equal(decodeEpoch('"?"'), null);
});

test('the next token floor exceeds the last floor and all seen tokens, rises with time and is a safe integer', () => {
  fc.assert(
    fc.property(
      fc.nat(2 ** 40),
      fc.nat(2 ** 40),
      fc.integer({ min: 1.6e12, max: 7e12 }),
      (lastFloor, highestSeenToken, wallMs) => {
        const floor = nextTokenFloor(lastFloor, highestSeenToken as FencingToken, wallMs);
        assert.ok(floor > lastFloor && floor > highestSeenToken && Number.isSafeInteger(floor + 2 ** 30));
        assert.ok(nextTokenFloor(0, 0 as FencingToken, wallMs + 1) > floor || floor > wallMs * 1024);
      },
    ),
  );
});
