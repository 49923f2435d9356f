import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import type { RecurringWindow, TariffDocument, Weekday } from '@spurbridge/wire';
import { ValidationError, WEEKDAYS } from '@spurbridge/wire';
import fc from 'fast-check';
import { validateCalendar, expandTariff } from '../src/index.js';

const HOUR = 3_600_000;

function tariff(overrides: Partial<TariffDocument>): TariffDocument {
  return {
    revision: 1,
    timeZone: 'Europe/Riga',
    issuedAt: 0,
    validUntil: null,
    nextUpdateS: null,
    base: { price: 1, carbon: 100 },
    windows: [],
    holidays: [],
    slots: [],
    ...overrides,
  };
}

function window(from: number, to: number, overrides: Partial<RecurringWindow> = {}): RecurringWindow {
  return { name: 'w', days: [...WEEKDAYS], from, to, price: 5, carbon: 0, zones: null, ...overrides };
}

/** The hours between two instants in which the window's price applies. */
function windowHours(t: TariffDocument, from: string, until: string): number {
  const [a, b] = [Date.parse(from) as WallClockMs, Date.parse(until) as WallClockMs];
  const s = expandTariff(t, ['a'], a, b, 0);
  let ms = 0;
  s.starts.forEach((at, i) => {
    if (s.price[0]?.[i] === 5) ms += (s.starts[i + 1] ?? s.until) - at;
  });
  return ms / HOUR;
}

// In Riga, clocks go forward from 03:00 to 04:00 on 29 March 2026 and back from 04:00 to 03:00 on 25 October.
test('a skipped hour is in no window, and a repeated hour is in a window both times', () => {
  const spring = ['2026-03-28T20:00:00Z', '2026-03-29T12:00:00Z'] as const;
  const autumn = ['2026-10-24T20:00:00Z', '2026-10-25T12:00:00Z'] as const;
  assert.equal(windowHours(tariff({ windows: [window(3 * 60, 4 * 60)] }), ...spring), 0);
  assert.equal(windowHours(tariff({ windows: [window(3 * 60, 4 * 60)] }), ...autumn), 2);
  // The first half hour of this window lies in the skipped or repeated hour.
  assert.equal(windowHours(tariff({ windows: [window(3 * 60 + 30, 5 * 60)] }), ...spring), 1);
  assert.equal(windowHours(tariff({ windows: [window(3 * 60 + 30, 5 * 60)] }), ...autumn), 2);
  // A window that spans the clock change is an hour shorter in spring and an hour longer in autumn.
  assert.equal(windowHours(tariff({ windows: [window(23 * 60, 6 * 60)] }), ...spring), 6);
  assert.equal(windowHours(tariff({ windows: [window(23 * 60, 6 * 60)] }), ...autumn), 8);
});

test('a window past midnight belongs to its starting day, and a holiday counts as the weekday that it names', () => {
  // 24 December 2026 is a Thursday.
  const friday = window(22 * 60, 6 * 60, { days: ['fri'] });
  const [from, until] = ['2026-12-24T00:00:00Z', '2026-12-27T22:00:00Z'] as const;
  assert.equal(windowHours(tariff({ windows: [friday] }), from, until), 8);
  const holidays = [{ date: '2026-12-25', like: 'sun' as Weekday }];
  assert.equal(windowHours(tariff({ windows: [friday], holidays }), from, until), 0);
  const [day, after] = ['2026-12-25T08:00:00Z', '2026-12-25T20:00:00Z'] as const;
  const sunday = window(10 * 60, 22 * 60, { days: ['sun'] });
  assert.equal(windowHours(tariff({ windows: [sunday], holidays }), day, after), 12);
});

test('slots take precedence over windows, zones have their own prices, and prices end after the window extension', () => {
  const t = tariff({
    validUntil: 10 * HOUR,
    windows: [window(0, 1440, { zones: ['b'], price: 7 })],
    slots: [{ from: 2 * HOUR, until: 3 * HOUR, price: 9, carbon: 1, zones: null }],
  });
  const s = expandTariff(t, ['a', 'b'], 0 as WallClockMs, (20 * HOUR) as WallClockMs, 5 * 3600);
  const at = (ms: number): number => s.starts.findLastIndex((x) => x <= ms);
  const priceOf = (zone: number, ms: number): number | undefined => s.price[zone]?.[at(ms)];
  assert.deepEqual([priceOf(0, HOUR), priceOf(1, HOUR)], [1, 7]);
  assert.deepEqual([priceOf(0, 2.5 * HOUR), priceOf(1, 2.5 * HOUR)], [9, 9]);
  assert.deepEqual(
    [9, 11, 16].map((h) => s.certainty[at(h * HOUR)]),
    ['known', 'pattern', 'unsure'],
  );
  assert.ok(Number.isNaN(priceOf(0, 16 * HOUR)));
});

test('an unknown time zone or an invalid date is rejected', () => {
  assert.throws(() => {
    validateCalendar(tariff({ timeZone: 'Mars/Olympus' }));
  }, ValidationError);
  const holidays = [{ date: '2026-02-30', like: 'sun' as Weekday }];
  assert.throws(() => {
    validateCalendar(tariff({ holidays }));
  }, /holidays\[0\]\.date/);
});

/** The local time by the platform's own formatter, as an independent reference. */
function localTime(ms: number, timeZone: string): { weekday: number; minute: number } {
  const parts = new Intl.DateTimeFormat('en-GB', {
    timeZone,
    weekday: 'short',
    hour: '2-digit',
    minute: '2-digit',
    hourCycle: 'h23',
  }).formatToParts(ms);
  const part = (type: string): string => parts.find((p) => p.type === type)?.value ?? '';
  return {
    weekday: WEEKDAYS.indexOf(part('weekday').toLowerCase() as Weekday),
    minute: Number(part('hour')) * 60 + Number(part('minute')),
  };
}

test('an instant is in a window exactly when its local time is, in several time zones and seasons', () => {
  fc.assert(
    fc.property(
      fc.constantFrom(
        'Europe/Riga',
        'Asia/Seoul',
        'America/St_Johns',
        'Australia/Lord_Howe',
        'Africa/Casablanca',
      ),
      fc.constantFrom(
        '2026-03-28',
        '2026-10-24',
        '2026-04-04',
        '2026-10-03',
        '2026-02-14',
        '2026-06-01',
        '2026-11-01',
      ),
      fc.integer({ min: 0, max: 1439 }),
      fc.integer({ min: 1, max: 1440 }),
      fc.subarray([...WEEKDAYS]),
      fc.array(fc.integer({ min: 0, max: 72 * 60 - 1 }), { minLength: 5, maxLength: 20 }),
      (timeZone, day, from, to, days, minutes) => {
        fc.pre(from !== to);
        const start = Date.parse(`${day}T00:00:00Z`);
        const s = expandTariff(
          tariff({ timeZone, windows: [window(from, to, { days })] }),
          ['a'],
          start as WallClockMs,
          (start + 72 * HOUR) as WallClockMs,
          0,
        );
        for (const m of minutes) {
          const at = start + m * 60_000;
          const { weekday, minute } = localTime(at, timeZone);
          const today = days.includes(WEEKDAYS[weekday] as Weekday);
          const yesterday = days.includes(WEEKDAYS[(weekday + 6) % 7] as Weekday);
          const inside =
            from < to
              ? today && minute >= from && minute < to
              : (today && minute >= from) || (yesterday && minute < to);
          const piece = s.starts.findLastIndex((x) => x <= at);
          assert.equal(s.price[0]?.[piece], inside ? 5 : 1, `${new Date(at).toISOString()} ${timeZone}`);
        }
      },
    ),
    { numRuns: 300, seed: 11 },
  );
});
