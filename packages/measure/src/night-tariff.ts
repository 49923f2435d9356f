/**
 * The tariff of a simulated night: its prices, and the times at which the feed publishes them or is unavailable.
 *
 * @module
 */
import type { SimTariffFeed, World } from '@spurbridge/testkit';
import type { TariffDocument } from '@spurbridge/wire';

/** Length of a simulated night: three hours, which model twelve hours at four times the speed. */
export const NIGHT_MS = 10_800_000;

/** Wall clock at the start of the night, in milliseconds since the epoch. */
export const WALL_START_MS = Date.UTC(2026, 11, 1, 20, 0, 0);

const EVENING_UNTIL_MS = 2_700_000;
const CHEAP_FROM_MS = 5_400_000;
const CHEAP_UNTIL_MS = 9_000_000;
/** New end of the cheap window, announced while jobs wait for the window. */
const SHORTENED_CHEAP_UNTIL_MS = 8_400_000;
const SHORTENING_ANNOUNCED_MS = 7_500_000;
const TARIFF_BEYOND_NIGHT_MS = 3_600_000;
/** Periods in which the feed does not respond, as [from, until] in milliseconds of the night. */
const FEED_OUTAGES_MS = [
  [3_000_000, 4_200_000],
  [5_300_000, 5_700_000],
] as const;

const EVENING_PRICE = 0.3;
const NIGHT_PRICE = 0.2;
const CHEAP_PRICE = 0.08;
const MORNING_PRICE = 0.25;

/** The actual price of a CPU second at a time of the night, whatever the feed had announced. */
export function priceAt(ms: number): number {
  if (ms < EVENING_UNTIL_MS) return EVENING_PRICE;
  if (ms < CHEAP_FROM_MS) return NIGHT_PRICE;
  if (ms < SHORTENED_CHEAP_UNTIL_MS) return CHEAP_PRICE;
  return MORNING_PRICE;
}

function tariff(revision: number, cheapUntilMs: number, issuedMs: number): TariffDocument {
  const at = (ms: number): number => WALL_START_MS + ms;
  const slot = (from: number, until: number, price: number) => ({
    from: at(from),
    until: at(until),
    price,
    carbon: price * 1000,
    zones: null,
  });
  return {
    revision,
    timeZone: 'Europe/Riga',
    issuedAt: at(issuedMs),
    validUntil: at(NIGHT_MS + TARIFF_BEYOND_NIGHT_MS),
    nextUpdateS: 120,
    base: { price: 0.2, carbon: 200 },
    windows: [],
    holidays: [],
    slots: [
      slot(0, EVENING_UNTIL_MS, EVENING_PRICE),
      slot(EVENING_UNTIL_MS, CHEAP_FROM_MS, NIGHT_PRICE),
      slot(CHEAP_FROM_MS, cheapUntilMs, CHEAP_PRICE),
      slot(cheapUntilMs, NIGHT_MS + TARIFF_BEYOND_NIGHT_MS, MORNING_PRICE),
    ],
  };
}

/** Publishes the first tariff and schedules the outages of the feed and the early end of the cheap window. */
export function scheduleTariff(world: World, feed: SimTariffFeed): void {
  feed.publish(tariff(1, CHEAP_UNTIL_MS, 0));
  for (const [fromMs, untilMs] of FEED_OUTAGES_MS) {
    world.time.after(fromMs, () => (feed.isSilent = true));
    world.time.after(untilMs, () => (feed.isSilent = false));
  }
  world.time.after(SHORTENING_ANNOUNCED_MS, () => {
    feed.publish(tariff(2, SHORTENED_CHEAP_UNTIL_MS, SHORTENING_ANNOUNCED_MS));
  });
}
