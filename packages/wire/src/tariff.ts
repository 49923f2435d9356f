/**
 * Electricity tariffs, as a file (TOML) states them and as a feed (JSON) publishes them; docs/tariff-operators.md
 * describes the format. A document is validated once as a whole; a `ValidationError` names the first invalid field by
 * its full path.
 *
 * @module
 */
import * as read from './json-fields.js';

/** Price of energy and its carbon intensity. */
export interface TariffRate {
  /** In any currency, per kilowatt-hour or CPU hour, because only ratios matter. May be negative. */
  readonly price: number;
  /** Grams of CO2 for the same amount. */
  readonly carbon: number;
}

/** Names of the days of the week, in order. */
export const WEEKDAYS = ['mon', 'tue', 'wed', 'thu', 'fri', 'sat', 'sun'] as const;
/** A day of the week. */
export type Weekday = (typeof WEEKDAYS)[number];

/** A rate that applies at the same time on some days of the week. */
export interface RecurringWindow extends TariffRate {
  readonly name: string;
  readonly days: readonly Weekday[];
  /** Start, in minutes after local midnight. */
  readonly from: number;
  /** End, in minutes after local midnight, at most 1440. If it is before `from`, the window extends past midnight. */
  readonly to: number;
  /** Zones of the fleet; null: all. */
  readonly zones: readonly string[] | null;
}

/** A rate that applies during an absolute time, such as an hour of the day-ahead market. */
export interface TariffSlot extends TariffRate {
  /** Start, in milliseconds since 1970. */
  readonly from: number;
  /** End, in milliseconds since 1970. */
  readonly until: number;
  /** Zones of the fleet; null: all. */
  readonly zones: readonly string[] | null;
}

/** A date on which the windows of another day of the week apply. */
export interface TariffHoliday {
  /** Local date, such as 2026-12-24. */
  readonly date: string;
  readonly like: Weekday;
}

/** A tariff: rates by time and zone. Slots take precedence over windows, and windows over `base`. */
export interface TariffDocument {
  /** Rises with every change of content. */
  readonly revision: number;
  /** IANA name of the time zone. The package `tariff` checks that it exists. */
  readonly timeZone: string;
  /** Milliseconds since 1970. */
  readonly issuedAt: number;
  /** End of the document's validity, in milliseconds since 1970; null means until replaced. */
  readonly validUntil: number | null;
  /** Seconds until a feed publishes its next update; null if not stated. */
  readonly nextUpdateS: number | null;
  /** The rate at times when neither a slot nor a window applies. */
  readonly base: TariffRate;
  /** If several windows apply, the first one takes precedence. */
  readonly windows: readonly RecurringWindow[];
  readonly holidays: readonly TariffHoliday[];
  /** In order, without gaps or overlaps between slots that share zones. */
  readonly slots: readonly TariffSlot[];
}

/** Version of the format that this module reads and writes. */
const TARIFF_FORMAT = 1;
/** Maximum size of a document, in bytes. */
export const MAX_TARIFF_BYTES = 512 * 1024;

const MAX_WINDOWS = 200;
const MAX_HOLIDAYS = 400;
const MAX_SLOTS = 2000;
/** Largest absolute price or carbon intensity; larger values are rejected as errors. */
const MAX_RATE = 1e6;
const MINUTES_PER_HOUR = 60;
const MINUTES_PER_DAY = 1440;
const END_OF_DAY = '24:00';
/** Map key for slots without zones while their order is checked. */
const ALL_ZONES = '*';

const INSTANT = /^\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d(\.\d{1,3})?)?(Z|[+-]\d\d:\d\d)$/;
const DATE = /^\d{4}-(0[1-9]|1[0-2])-(0[1-9]|[12]\d|3[01])$/;
const TIME_OF_DAY = /^(?:([01]\d|2[0-3]):([0-5]\d)|24:00)$/;

/** Converts a time to milliseconds since 1970; NaN if the value is not a time. */
function toInstant(value: unknown): number {
  // TOML has date-time values, which its parser returns as `Date`.
  if (value instanceof Date) return value.getTime();
  return typeof value === 'string' && INSTANT.test(value) ? Date.parse(value) : NaN;
}

function parseInstant(fields: read.JsonObject, field: string): number {
  const instantMs = toInstant(fields[field]);
  if (!Number.isFinite(instantMs))
    throw new read.ValidationError(field, 'a time such as 2026-12-01T18:00:00Z');
  return instantMs;
}

function formatInstant(instantMs: number): string {
  return new Date(instantMs).toISOString();
}

function isAbsent(value: unknown): boolean {
  return value === undefined || value === null;
}

function parseBoundedNumber(fields: read.JsonObject, field: string, min: number): number {
  const value = fields[field];
  if (typeof value !== 'number' || !Number.isFinite(value) || value < min || value > MAX_RATE)
    throw new read.ValidationError(field, `a number from ${min} to ${MAX_RATE}`);
  return value;
}

function parseRate(fields: read.JsonObject): TariffRate {
  return {
    price: parseBoundedNumber(fields, 'price', -MAX_RATE),
    carbon: isAbsent(fields['carbon']) ? 0 : parseBoundedNumber(fields, 'carbon', 0),
  };
}

function parseTimeOfDay(fields: read.JsonObject, field: string): number {
  const text = read.string(fields, field);
  const match = TIME_OF_DAY.exec(text);
  if (match === null) throw new read.ValidationError(field, 'a time of day such as 17:30');
  return text === END_OF_DAY ? MINUTES_PER_DAY : Number(match[1]) * MINUTES_PER_HOUR + Number(match[2]);
}

function formatTimeOfDay(minutes: number): string {
  const hours = String(Math.floor(minutes / MINUTES_PER_HOUR)).padStart(2, '0');
  return `${hours}:${String(minutes % MINUTES_PER_HOUR).padStart(2, '0')}`;
}

/** Reads an array of objects; an empty array if the field is null or missing. */
function parseEntries<T>(
  fields: read.JsonObject,
  field: string,
  max: number,
  parseEntry: (entry: read.JsonObject) => T,
): T[] {
  const value = fields[field];
  if (isAbsent(value)) return [];
  const entries = read.asArray(value, field);
  if (entries.length > max) throw new read.ValidationError(field, `at most ${max} entries`);
  return entries.map((entry, index) =>
    read.withFieldPath(`${field}[${index}]`, () => parseEntry(read.asObject(entry, 'entry'))),
  );
}

function parseWindow(fields: read.JsonObject): RecurringWindow {
  const from = parseTimeOfDay(fields, 'from');
  const to = parseTimeOfDay(fields, 'to');
  if (from === to || from === MINUTES_PER_DAY)
    throw new read.ValidationError(
      'to',
      'a time that differs from `from`, where `from` must be before 24:00',
    );
  const days = read.optionalStrings(fields, 'days') ?? [...WEEKDAYS];
  for (const day of days)
    if (!WEEKDAYS.includes(day as Weekday))
      throw new read.ValidationError('days', `each to be one of ${WEEKDAYS.join(', ')}`);
  return {
    name: read.name(fields, 'name'),
    days: days as Weekday[],
    from,
    to,
    zones: read.optionalStrings(fields, 'zones'),
    ...parseRate(fields),
  };
}

function parseHoliday(fields: read.JsonObject): TariffHoliday {
  const date = read.string(fields, 'date');
  if (!DATE.test(date)) throw new read.ValidationError('date', 'a date such as 2026-12-24');
  return { date, like: read.oneOf(fields, 'like', WEEKDAYS) };
}

function parseSlot(fields: read.JsonObject): TariffSlot {
  const from = parseInstant(fields, 'from');
  const until = parseInstant(fields, 'until');
  if (until <= from) throw new read.ValidationError('until', 'a time after `from`');
  return { from, until, zones: read.optionalStrings(fields, 'zones'), ...parseRate(fields) };
}

/** Throws a `ValidationError` unless slots that share a zone follow each other without gap or overlap. */
function checkSlotOrder(slots: readonly TariffSlot[]): void {
  const endByZone = new Map<string, number>();
  slots.forEach((slot, index) => {
    for (const zone of slot.zones ?? [ALL_ZONES]) {
      const previousEnd = endByZone.get(zone);
      if (previousEnd !== undefined && slot.from !== previousEnd)
        throw new read.ValidationError(
          `slots[${index}].from`,
          'the end of the preceding slot, without a gap or an overlap',
        );
      endByZone.set(zone, slot.until);
    }
  });
  if (endByZone.has(ALL_ZONES) && endByZone.size > 1)
    throw new read.ValidationError('slots', 'zones in all slots or in none');
}

function parseValidUntil(fields: read.JsonObject, issuedAt: number): number | null {
  if (isAbsent(fields['validUntil'])) return null;
  const validUntil = parseInstant(fields, 'validUntil');
  if (validUntil <= issuedAt) throw new read.ValidationError('validUntil', 'a time after `issuedAt`');
  return validUntil;
}

/** Reads and checks a tariff document; throws a `ValidationError`. */
export function parseTariff(value: unknown): TariffDocument {
  const fields = read.asObject(value, 'tariff');
  if (read.count(fields, 'format') !== TARIFF_FORMAT)
    throw new read.ValidationError('format', `${TARIFF_FORMAT}`);
  const issuedAt = parseInstant(fields, 'issuedAt');
  const validUntil = parseValidUntil(fields, issuedAt);
  const slots = parseEntries(fields, 'slots', MAX_SLOTS, parseSlot);
  checkSlotOrder(slots);
  return {
    revision: read.count(fields, 'revision'),
    timeZone: read.name(fields, 'timeZone'),
    issuedAt,
    validUntil,
    nextUpdateS: read.optionalAmount(fields, 'nextUpdateS'),
    base: read.withFieldPath('base', () => parseRate(read.asObject(fields['base'], 'entry'))),
    windows: parseEntries(fields, 'windows', MAX_WINDOWS, parseWindow),
    holidays: parseEntries(fields, 'holidays', MAX_HOLIDAYS, parseHoliday),
    slots,
  };
}

function formatWindow(window: RecurringWindow): Record<string, unknown> {
  return { ...window, from: formatTimeOfDay(window.from), to: formatTimeOfDay(window.to) };
}

function formatSlot(slot: TariffSlot): Record<string, unknown> {
  return { ...slot, from: formatInstant(slot.from), until: formatInstant(slot.until) };
}

/** The document as a feed publishes it; `parseTariff` reads it back. */
export function formatTariff(tariff: TariffDocument): Record<string, unknown> {
  return {
    format: TARIFF_FORMAT,
    revision: tariff.revision,
    timeZone: tariff.timeZone,
    issuedAt: formatInstant(tariff.issuedAt),
    validUntil: tariff.validUntil === null ? null : formatInstant(tariff.validUntil),
    nextUpdateS: tariff.nextUpdateS,
    base: tariff.base,
    windows: tariff.windows.map(formatWindow),
    holidays: tariff.holidays,
    slots: tariff.slots.map(formatSlot),
  };
}
