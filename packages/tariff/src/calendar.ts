/**
 * Prices of a tariff over time: resolves local times and weekdays to instants by the calendar of the tariff's
 * time zone.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { TariffRate, RecurringWindow, TariffDocument, Weekday } from '@spurbridge/wire';
import { ValidationError, WEEKDAYS } from '@spurbridge/wire';
import { Temporal } from 'temporal-polyfill';

/**
 * How certain a price is: `known` while the document states it, `pattern` if it is extrapolated from
 * recurring windows beyond the document's validity, `unsure` after that.
 */
export type PriceCertainty = 'known' | 'pattern' | 'unsure';

/** Prices over time: piece `i` runs from `starts[i]` to `starts[i + 1]`, the last one to `until`. */
export interface PriceSeries {
  readonly starts: readonly WallClockMs[];
  readonly until: WallClockMs;
  readonly certainty: readonly PriceCertainty[];
  /** For each requested zone, in that order: price and carbon of each piece; NaN where unsure. */
  readonly price: readonly Float64Array[];
  readonly carbon: readonly Float64Array[];
}

/** A span of time; both ends are whole milliseconds. */
interface Span {
  readonly from: WallClockMs;
  readonly until: WallClockMs;
}

/** The local date and time in the tariff's time zone at an instant. */
interface LocalTime {
  /** Minutes after midnight. */
  readonly minute: number;
  readonly today: Weekday;
  readonly yesterday: Weekday;
}

const MINUTES_PER_DAY = 1440;
const NO_RATE: TariffRate = { price: NaN, carbon: NaN };

/**
 * Rejects a tariff whose time zone or holidays the calendar of this machine does not know.
 *
 * @throws ValidationError naming the field
 */
export function validateCalendar(tariff: TariffDocument): void {
  try {
    zonedTime(tariff.issuedAt, tariff.timeZone);
  } catch {
    // The calendar throws a RangeError for an unknown zone.
    throw new ValidationError('timeZone', 'an IANA time zone such as Europe/Riga');
  }
  tariff.holidays.forEach((holiday, index) => {
    try {
      Temporal.PlainDate.from(holiday.date, { overflow: 'reject' });
    } catch {
      // The calendar throws a RangeError for an invalid date.
      throw new ValidationError(`holidays[${index}].date`, 'a date that exists in the calendar');
    }
  });
}

/**
 * Prices in each zone over a span of time. Windows are local times: an instant is in a window exactly when
 * its local time is. An hour skipped by a clock change is in no window, and a repeated hour is in a window both
 * times.
 *
 * @param windowExtensionS seconds beyond `validUntil` for which the recurring windows still count
 */
export function expandTariff(
  tariff: TariffDocument,
  zones: readonly string[],
  fromMs: WallClockMs,
  untilMs: WallClockMs,
  windowExtensionS: number,
): PriceSeries {
  // The calendar takes whole milliseconds only.
  const span: Span = { from: Math.floor(fromMs) as WallClockMs, until: Math.ceil(untilMs) as WallClockMs };
  const extensionEnd = tariff.validUntil === null ? Infinity : tariff.validUntil + windowExtensionS * 1000;
  const starts = pieceStarts(tariff, span, extensionEnd);
  const price = zones.map(() => new Float64Array(starts.length));
  const carbon = zones.map(() => new Float64Array(starts.length));
  const rates = new RateTable(tariff);
  const certainty = starts.map((start) => certaintyAt(tariff, start, extensionEnd));
  starts.forEach((start, piece) => {
    const rateOf = certainty[piece] === 'unsure' ? () => NO_RATE : rates.at(start);
    zones.forEach((zone, index) => {
      const rate = rateOf(zone);
      (price[index] as Float64Array)[piece] = rate.price;
      (carbon[index] as Float64Array)[piece] = rate.carbon;
    });
  });
  return { starts, until: span.until, certainty, price, carbon };
}

function certaintyAt(tariff: TariffDocument, at: WallClockMs, extensionEnd: number): PriceCertainty {
  if (at < (tariff.validUntil ?? Infinity)) return 'known';
  return at < extensionEnd ? 'pattern' : 'unsure';
}

// --- instants of price changes -----------------------------------------------------------------

/** All instants of a span at which a price may change, beginning with its start, in order. */
function pieceStarts(tariff: TariffDocument, span: Span, extensionEnd: number): WallClockMs[] {
  const candidates = [
    ...windowChanges(tariff, span),
    ...clockChanges(tariff, span),
    ...tariff.slots.flatMap((slot) => [slot.from, slot.until]),
    ...(tariff.validUntil === null ? [] : [tariff.validUntil, extensionEnd]),
  ];
  const inside = candidates.filter((instant) => instant > span.from && instant < span.until);
  return [...new Set([span.from, ...inside])].sort((left, right) => left - right) as WallClockMs[];
}

/** Instants at which a window may begin or end, or a weekday begins. */
function windowChanges(tariff: TariffDocument, span: Span): number[] {
  const { timeZone } = tariff;
  const minutes = new Set([0, ...tariff.windows.flatMap((window) => [window.from, window.to])]);
  const lastDate = zonedTime(span.until, timeZone).toPlainDate();
  const changes: number[] = [];
  let date = zonedTime(span.from, timeZone).toPlainDate();
  while (Temporal.PlainDate.compare(date, lastDate) <= 0) {
    for (const minute of minutes) changes.push(...instantsOf(date, minute, timeZone));
    date = date.add({ days: 1 });
  }
  return changes;
}

/** Instants at which the UTC offset of the tariff's time zone changes. */
function clockChanges(tariff: TariffDocument, span: Span): number[] {
  const changes: number[] = [];
  let change = zonedTime(span.from, tariff.timeZone).getTimeZoneTransition('next');
  while (change !== null && change.epochMilliseconds < span.until) {
    changes.push(change.epochMilliseconds);
    change = change.getTimeZoneTransition('next');
  }
  return changes;
}

function zonedTime(instant: number, timeZone: string): Temporal.ZonedDateTime {
  return Temporal.Instant.fromEpochMilliseconds(instant).toZonedDateTimeISO(timeZone);
}

/**
 * The instants that a local time may denote: two in a repeated hour, and the instants before and after a
 * skipped hour.
 */
function instantsOf(date: Temporal.PlainDate, minute: number, timeZone: string): number[] {
  const day = minute === MINUTES_PER_DAY ? date.add({ days: 1 }) : date;
  const minuteOfDay = minute % MINUTES_PER_DAY;
  const local = day.toPlainDateTime({ hour: Math.floor(minuteOfDay / 60), minute: minuteOfDay % 60 });
  const earlier = local.toZonedDateTime(timeZone, { disambiguation: 'earlier' }).epochMilliseconds;
  const later = local.toZonedDateTime(timeZone, { disambiguation: 'later' }).epochMilliseconds;
  return earlier === later ? [earlier] : [earlier, later];
}

// --- rates -------------------------------------------------------------------------------------

/**
 * Finds the rate at an instant: that of a slot, otherwise of the first matching window, otherwise the base
 * rate.
 */
class RateTable {
  private readonly holidays: ReadonlyMap<string, Weekday>;

  constructor(private readonly tariff: TariffDocument) {
    this.holidays = new Map(tariff.holidays.map((holiday) => [holiday.date, holiday.like]));
  }

  /** Rates at an instant, by zone. */
  at(instant: WallClockMs): (zone: string) => TariffRate {
    const local = this.localTime(instant);
    const slots = this.tariff.slots.filter((slot) => instant >= slot.from && instant < slot.until);
    const windows = this.tariff.windows.filter((window) => isInForce(window, local));
    return (zone) => {
      const appliesHere = ({ zones }: { readonly zones: readonly string[] | null }): boolean =>
        zones?.includes(zone) ?? true;
      return slots.find(appliesHere) ?? windows.find(appliesHere) ?? this.tariff.base;
    };
  }

  private localTime(instant: WallClockMs): LocalTime {
    const local = zonedTime(instant, this.tariff.timeZone);
    const date = local.toPlainDate();
    return {
      minute: local.hour * 60 + local.minute + local.second / 60,
      today: this.weekday(date),
      yesterday: this.weekday(date.subtract({ days: 1 })),
    };
  }

  /** The weekday that a date is treated as. */
  private weekday(date: Temporal.PlainDate): Weekday {
    return this.holidays.get(date.toString()) ?? (WEEKDAYS[date.dayOfWeek - 1] as Weekday);
  }
}

function isInForce({ days, from, to }: RecurringWindow, { minute, today, yesterday }: LocalTime): boolean {
  if (from < to) return days.includes(today) && minute >= from && minute < to;
  // A window past midnight belongs to the day on which it began.
  return (days.includes(today) && minute >= from) || (days.includes(yesterday) && minute < to);
}
