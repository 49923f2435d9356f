import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { TariffDocument } from '../src/index.js';
import { ValidationError, WEEKDAYS, formatTariff, parseTariff } from '../src/index.js';

const VALID_TARIFF = {
  format: 1,
  revision: 3,
  timeZone: 'Asia/Seoul',
  issuedAt: '2026-12-01T18:00:00Z',
  validUntil: '2026-12-02T18:00:00+09:00',
  nextUpdateS: 900,
  base: { price: 0.14, carbon: 220 },
  windows: [{ name: 'peak', days: ['mon'], from: '17:00', to: '21:00', price: 0.3 }],
  holidays: [{ date: '2026-12-25', like: 'sun' }],
  slots: [
    { from: '2026-12-01T18:00:00Z', until: '2026-12-01T19:00:00Z', price: -0.01, carbon: 40 },
    { from: '2026-12-01T19:00:00Z', until: '2026-12-01T20:00:00Z', price: 0.05, carbon: 50 },
  ],
};

/** The error message for the valid tariff after a change, or 'accepted' if there is no error. */
function parseChanged(change: (t: Record<string, unknown>) => void): string {
  const t = structuredClone(VALID_TARIFF) as Record<string, unknown>;
  change(t);
  try {
    parseTariff(t);
  } catch (error) {
    assert.ok(error instanceof ValidationError, String(error));
    return error.message;
  }
  return 'accepted';
}

test('parseTariff rejects a tariff with one invalid field and reports its full path', () => {
  assert.equal(
    parseChanged(() => undefined),
    'accepted',
  );
  const cases: readonly [string, (t: Record<string, unknown>) => void][] = [
    ['format', (t) => (t['format'] = 2)],
    ['timeZone', (t) => (t['timeZone'] = '')],
    ['issuedAt', (t) => (t['issuedAt'] = 'yesterday')],
    ['validUntil', (t) => (t['validUntil'] = '2026-12-01T17:59:59Z')],
    ['base.price', (t) => (t['base'] = { price: 'dear' })],
    ['base.carbon', (t) => (t['base'] = { price: 1, carbon: -1 })],
    ['base.price', (t) => (t['base'] = { price: 1e9 })],
    ['windows[0].days', (t) => (t['windows'] = [{ ...VALID_TARIFF.windows[0], days: ['monday'] }])],
    ['windows[0].to', (t) => (t['windows'] = [{ ...VALID_TARIFF.windows[0], to: '17:00' }])],
    ['windows[0].from', (t) => (t['windows'] = [{ ...VALID_TARIFF.windows[0], from: '25:00' }])],
    ['windows', (t) => (t['windows'] = Array.from({ length: 1_000_000 }, () => VALID_TARIFF.windows[0]))],
    ['holidays[0].date', (t) => (t['holidays'] = [{ date: '2026-13-01', like: 'sun' }])],
    // A slot that ends before it starts, a gap between slots, and an overlap of slots.
    ['slots[0].until', (t) => (t['slots'] = [{ ...VALID_TARIFF.slots[0], until: '2026-12-01T17:00:00Z' }])],
    [
      'slots[1].from',
      (t) =>
        (t['slots'] = [VALID_TARIFF.slots[0], { ...VALID_TARIFF.slots[1], from: '2026-12-01T19:10:00Z' }]),
    ],
    [
      'slots[1].from',
      (t) =>
        (t['slots'] = [VALID_TARIFF.slots[0], { ...VALID_TARIFF.slots[1], from: '2026-12-01T18:50:00Z' }]),
    ],
  ];
  for (const [field, change] of cases)
    assert.match(parseChanged(change), new RegExp(`^${field.replace(/[[\]]/g, '\\$&')}:`));
});

const finite = fc.double({ min: 0, max: 1000, noNaN: true });
const documents: fc.Arbitrary<TariffDocument> = fc
  .record({
    revision: fc.nat(),
    timeZone: fc.constantFrom('Europe/Riga', 'Asia/Seoul', 'UTC'),
    issuedAt: fc.integer({ min: 0, max: 2e12 }),
    validS: fc.option(fc.integer({ min: 1, max: 1e6 })),
    nextUpdateS: fc.option(fc.nat()),
    base: fc.record({ price: finite, carbon: finite }),
    windows: fc.array(
      fc
        .record({
          name: fc.constant('w'),
          days: fc.subarray([...WEEKDAYS]),
          from: fc.integer({ min: 0, max: 1439 }),
          to: fc.integer({ min: 1, max: 1440 }),
          price: finite,
          carbon: finite,
          zones: fc.option(fc.subarray(['a', 'b'])),
        })
        .filter((w) => w.from !== w.to),
      { maxLength: 5 },
    ),
    widths: fc.array(fc.record({ ms: fc.integer({ min: 1, max: 1e7 }), price: finite, carbon: finite }), {
      maxLength: 6,
    }),
  })
  .map(({ validS, widths, ...t }) => {
    let from = t.issuedAt;
    const slots = widths.map(({ ms, price, carbon }) => {
      const slot = { from, until: from + ms, price, carbon, zones: null };
      from += ms;
      return slot;
    });
    return { ...t, validUntil: validS === null ? null : t.issuedAt + validS * 1000, holidays: [], slots };
  });

test('parseTariff reads back a formatted tariff unchanged', () => {
  fc.assert(
    fc.property(documents, (tariff) => {
      assert.deepEqual(
        parseTariff(JSON.parse(JSON.stringify(formatTariff(tariff)))),
        structuredClone(tariff),
      );
    }),
  );
});

test('a tariff with arbitrary content is parsed or rejected with the name of a field', () => {
  const mutated = fc
    .tuple(documents, fc.constantFrom(...Object.keys(VALID_TARIFF)), fc.jsonValue())
    .map(([tariff, field, value]) => ({ ...formatTariff(tariff), [field]: value }));
  let accepted = 0;
  fc.assert(
    fc.property(fc.oneof(mutated, fc.jsonValue()), (value) => {
      try {
        parseTariff(value);
        accepted += 1;
      } catch (error) {
        assert.ok(error instanceof ValidationError, String(error));
        assert.notEqual(error.field, '');
      }
    }),
    { numRuns: 2000, seed: 7 },
  );
  assert.ok(accepted > 20, `${accepted} accepted`);
});
