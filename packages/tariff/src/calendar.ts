import type { WallClockMs } from '@spurbridge/model';
import type { RecurringWindow, TariffDocument, Weekday } from '@spurbridge/wire';
import { ValidationError, WEEKDAYS } from '@spurbridge/wire';
import { Temporal } from 'temporal-polyfill';

/**
 * How sure a price is: `known` while the document states it, `pattern` when only its recurring windows go on
 * beyond its validity, `unsure` once nothing says anything.
 */
export type PriceCertainty = 'known' | 'pattern' | 'unsure';

/** Prices over time: piece `i` runs from `starts[i]` to `starts[i + 1]`, the last one to `until`. */
export interface PriceSeries {
  readonly starts: readonly WallClockMs[];
  readonly until: WallClockMs;
  readonly certainty: readonly PriceCertainty[];
  /** For each zone asked for, in that order: price and carbon of each piece; NaN where unsure. */
  readonly price: readonly Float64Array[];
  readonly carbon: readonly Float64Array[];
}

const DAY_MIN = 1440;

/** Refuses a tariff whose time zone this machine's calendar does not know. */
export function validateCalendar(t: TariffDocument): void {
  try {
    Temporal.Instant.fromEpochMilliseconds(t.issuedAt).toZonedDateTimeISO(t.timeZone);
  } catch {
    throw new ValidationError('timeZone', 'an IANA time zone such as Europe/Riga');
  }
  t.holidays.forEach((h, i) => {
    try {
      Temporal.PlainDate.from(h.date, { overflow: 'reject' });
    } catch {
      throw new ValidationError(`holidays[${i}].date`, 'a date of the calendar');
    }
  });
}

/** Both instants that a local time may mean: in a doubled hour two, in a missing one those beside it. */
function instants(date: Temporal.PlainDate, minute: number, timeZone: string): number[] {
  const day = minute === DAY_MIN ? date.add({ days: 1 }) : date;
  const m = minute % DAY_MIN;
  const local = day.toPlainDateTime({ hour: Math.floor(m / 60), minute: m % 60 });
  const earlier = local.toZonedDateTime(timeZone, { disambiguation: 'earlier' }).epochMilliseconds;
  const later = local.toZonedDateTime(timeZone, { disambiguation: 'later' }).epochMilliseconds;
  return earlier === later ? [earlier] : [earlier, later];
}

function inForce(w: RecurringWindow, today: Weekday, yesterday: Weekday, minute: number): boolean {
  if (w.from < w.to) return w.days.includes(today) && minute >= w.from && minute < w.to;
  // Past midnight it belongs to the day on which it began.
  return (w.days.includes(today) && minute >= w.from) || (w.days.includes(yesterday) && minute < w.to);
}

/**
 * Prices from `from` to `until` in each zone. Windows are local times: an instant belongs to a window exactly
 * when the clock on the wall says so, so a missing hour is in none and a doubled hour in both its turns.
 *
 * @param patternS seconds beyond `validUntil` for which the recurring windows are believed
 */
export function expandTariff(
  t: TariffDocument,
  zones: readonly string[],
  fromMs: WallClockMs,
  untilMs: WallClockMs,
  patternS: number,
): PriceSeries {
  // A calendar knows whole milliseconds alone.
  const from = Math.floor(fromMs) as WallClockMs;
  const until = Math.ceil(untilMs) as WallClockMs;
  const patternUntil = t.validUntil === null ? Infinity : t.validUntil + patternS * 1000;
  const cuts = new Set<number>([from]);
  const cut = (ms: number): void => {
    if (ms > from && ms < until) cuts.add(ms);
  };
  const holidays = new Map(t.holidays.map((h) => [h.date, h.like]));
  const first = Temporal.Instant.fromEpochMilliseconds(from).toZonedDateTimeISO(t.timeZone);
  const last = Temporal.Instant.fromEpochMilliseconds(until).toZonedDateTimeISO(t.timeZone);
  const lastDate = last.toPlainDate();
  const times = new Set(t.windows.flatMap((w) => [w.from, w.to]));
  times.add(0);
  for (let d = first.toPlainDate(); Temporal.PlainDate.compare(d, lastDate) <= 0; d = d.add({ days: 1 }))
    for (const m of times) for (const ms of instants(d, m, t.timeZone)) cut(ms);
  for (let z = first.getTimeZoneTransition('next'); z !== null; z = z.getTimeZoneTransition('next')) {
    if (z.epochMilliseconds >= until) break;
    cut(z.epochMilliseconds);
  }
  for (const s of t.slots) {
    cut(s.from);
    cut(s.until);
  }
  if (t.validUntil !== null) {
    cut(t.validUntil);
    cut(patternUntil);
  }
  const starts = [...cuts].sort((a, b) => a - b) as WallClockMs[];
  const price = zones.map(() => new Float64Array(starts.length));
  const carbon = zones.map(() => new Float64Array(starts.length));
  const certainty: PriceCertainty[] = [];
  starts.forEach((at, i) => {
    const sure: PriceCertainty =
      at < (t.validUntil ?? Infinity) ? 'known' : at < patternUntil ? 'pattern' : 'unsure';
    certainty.push(sure);
    const local = Temporal.Instant.fromEpochMilliseconds(at).toZonedDateTimeISO(t.timeZone);
    const minute = local.hour * 60 + local.minute + local.second / 60;
    const date = local.toPlainDate();
    const today = weekday(date, holidays);
    const yesterday = weekday(date.subtract({ days: 1 }), holidays);
    const windows = t.windows.filter((w) => inForce(w, today, yesterday, minute));
    const slots = t.slots.filter((s) => at >= s.from && at < s.until);
    zones.forEach((zone, z) => {
      const here = (x: { zones: readonly string[] | null }): boolean => x.zones?.includes(zone) ?? true;
      const rate = sure === 'unsure' ? null : (slots.find(here) ?? windows.find(here) ?? t.base);
      (price[z] as Float64Array)[i] = rate?.price ?? NaN;
      (carbon[z] as Float64Array)[i] = rate?.carbon ?? NaN;
    });
  });
  return { starts, until, certainty, price, carbon };
}

function weekday(date: Temporal.PlainDate, holidays: ReadonlyMap<string, Weekday>): Weekday {
  return holidays.get(date.toString()) ?? (WEEKDAYS[date.dayOfWeek - 1] as Weekday);
}
