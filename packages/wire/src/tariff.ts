import * as r from './read.js';

/**
 * A tariff, as a file (TOML) states it and as a feed (JSON) publishes it; `docs/tariff-operators.md` is the
 * format's page. Everything is checked here, once, and refused whole: a `MalformedError` names the field.
 */
export interface TariffDocument {
  /** Rises with every change of content. */
  readonly revision: number;
  /** IANA name; whether it exists is for whoever holds the calendar to say. */
  readonly timeZone: string;
  /** Milliseconds since 1970. */
  readonly issuedAt: number;
  /** Until when the document states its prices; null: until replaced. Milliseconds since 1970. */
  readonly validUntil: number | null;
  /** Seconds after which a feed has something new. */
  readonly nextUpdateS: number | null;
  readonly base: TariffRate;
  /** Recurring windows; the first that applies wins, and `base` where none does. */
  readonly windows: readonly RecurringWindow[];
  readonly holidays: readonly { readonly date: string; readonly like: Weekday }[];
  /** Absolute times, which win over windows: in order, without gaps or overlaps where zones are shared. */
  readonly slots: readonly TariffSlot[];
}

export interface TariffRate {
  /** Any currency a kilowatt-hour or a CPU hour: only ratios count. May be negative. */
  readonly price: number;
  /** Grams of CO2 for the same. */
  readonly carbon: number;
}

export const WEEKDAYS = ['mon', 'tue', 'wed', 'thu', 'fri', 'sat', 'sun'] as const;
export type Weekday = (typeof WEEKDAYS)[number];

export interface RecurringWindow extends TariffRate {
  readonly name: string;
  readonly days: readonly Weekday[];
  /** Minutes after local midnight; `to` at most 1440. With `to` before `from` it passes midnight. */
  readonly from: number;
  readonly to: number;
  /** Zones of the fleet, or null for all. */
  readonly zones: readonly string[] | null;
}

export interface TariffSlot extends TariffRate {
  /** Milliseconds since 1970. */
  readonly from: number;
  readonly until: number;
  readonly zones: readonly string[] | null;
}

export const TARIFF_FORMAT = 1;
export const MAX_TARIFF_BYTES = 512 * 1024;
const MOST_WINDOWS = 200;
const MOST_HOLIDAYS = 400;
const MOST_SLOTS = 2000;
/** Beyond this a price or a carbon figure is taken for a mistake. */
const ABSURD = 1e6;
const INSTANT = /^\d{4}-\d\d-\d\dT\d\d:\d\d(:\d\d(\.\d{1,3})?)?(Z|[+-]\d\d:\d\d)$/;
const DATE = /^\d{4}-(0[1-9]|1[0-2])-(0[1-9]|[12]\d|3[01])$/;
const TIME = /^(?:([01]\d|2[0-3]):([0-5]\d)|24:00)$/;

function instant(o: r.JsonObject, field: string): number {
  const v = o[field];
  // TOML has times of its own, which the reader hands over as dates.
  const ms = v instanceof Date ? v.getTime() : typeof v === 'string' && INSTANT.test(v) ? Date.parse(v) : NaN;
  if (!Number.isFinite(ms)) throw new r.ValidationError(field, 'a time such as 2026-12-01T18:00:00Z');
  return ms;
}

function figure(o: r.JsonObject, field: string, least: number): number {
  const v = o[field];
  if (typeof v !== 'number' || !Number.isFinite(v) || v < least || v > ABSURD)
    throw new r.ValidationError(field, `a number from ${least} to ${ABSURD}`);
  return v;
}

function rate(o: r.JsonObject): TariffRate {
  return {
    price: figure(o, 'price', -ABSURD),
    carbon: o['carbon'] === undefined || o['carbon'] === null ? 0 : figure(o, 'carbon', 0),
  };
}

function minutes(o: r.JsonObject, field: string): number {
  const text = r.string(o, field);
  const m = TIME.exec(text);
  if (m === null) throw new r.ValidationError(field, 'a time of day such as 17:30');
  return text === '24:00' ? 1440 : Number(m[1]) * 60 + Number(m[2]);
}

function items<T>(o: r.JsonObject, field: string, most: number, read: (e: r.JsonObject) => T): T[] {
  const v = o[field];
  if (v === undefined || v === null) return [];
  const all = r.asArray(v, field);
  if (all.length > most) throw new r.ValidationError(field, `at most ${most} entries`);
  return all.map((e, i) => r.withFieldPath(`${field}[${i}]`, () => read(r.asObject(e, 'entry'))));
}

function window(o: r.JsonObject): RecurringWindow {
  const from = minutes(o, 'from');
  const to = minutes(o, 'to');
  if (from === to || from === 1440) throw new r.ValidationError('to', 'a window of some width');
  const days = r.optionalStrings(o, 'days') ?? [...WEEKDAYS];
  for (const d of days)
    if (!WEEKDAYS.includes(d as Weekday)) throw new r.ValidationError('days', WEEKDAYS.join(', '));
  return {
    name: r.name(o, 'name'),
    days: days as Weekday[],
    from,
    to,
    zones: r.optionalStrings(o, 'zones'),
    ...rate(o),
  };
}

function slot(o: r.JsonObject): TariffSlot {
  const from = instant(o, 'from');
  const until = instant(o, 'until');
  if (until <= from) throw new r.ValidationError('until', 'a time after `from`');
  return { from, until, zones: r.optionalStrings(o, 'zones'), ...rate(o) };
}

/** Slots that share a zone follow each other without gap or overlap. */
function checkOrder(slots: readonly TariffSlot[]): void {
  const ends = new Map<string, number>();
  slots.forEach((s, i) => {
    for (const zone of s.zones ?? ['*']) {
      const before = ends.get(zone);
      if (before !== undefined && s.from !== before)
        throw new r.ValidationError(`slots[${i}].from`, `the end of the slot before it (no gap, no overlap)`);
      ends.set(zone, s.until);
    }
  });
  if (ends.has('*') && ends.size > 1)
    throw new r.ValidationError('slots', 'either all with zones or all without');
}

/** Checks a tariff; the error's text names the field by its full path. */
export function parseTariff(value: unknown): TariffDocument {
  const o = r.asObject(value, 'tariff');
  if (r.count(o, 'format') !== TARIFF_FORMAT) throw new r.ValidationError('format', `${TARIFF_FORMAT}`);
  const issuedAt = instant(o, 'issuedAt');
  const given = o['validUntil'];
  const validUntil = given === undefined || given === null ? null : instant(o, 'validUntil');
  if (validUntil !== null && validUntil <= issuedAt)
    throw new r.ValidationError('validUntil', 'a time after `issuedAt`');
  const slots = items(o, 'slots', MOST_SLOTS, slot);
  checkOrder(slots);
  return {
    revision: r.count(o, 'revision'),
    timeZone: r.name(o, 'timeZone'),
    issuedAt,
    validUntil,
    nextUpdateS: r.optionalAmount(o, 'nextUpdateS'),
    base: r.withFieldPath('base', () => rate(r.asObject(o['base'], 'entry'))),
    windows: items(o, 'windows', MOST_WINDOWS, window),
    holidays: items(o, 'holidays', MOST_HOLIDAYS, (h) => {
      const date = r.string(h, 'date');
      if (!DATE.test(date)) throw new r.ValidationError('date', 'a date such as 2026-12-24');
      return { date, like: r.oneOf(h, 'like', WEEKDAYS) };
    }),
    slots,
  };
}

function formatMinutes(m: number): string {
  return `${String(Math.floor(m / 60)).padStart(2, '0')}:${String(m % 60).padStart(2, '0')}`;
}

/** The document as a feed publishes it; `parseTariff` reads it back. */
export function formatTariff(t: TariffDocument): Record<string, unknown> {
  const iso = (ms: number): string => new Date(ms).toISOString();
  return {
    format: TARIFF_FORMAT,
    revision: t.revision,
    timeZone: t.timeZone,
    issuedAt: iso(t.issuedAt),
    validUntil: t.validUntil === null ? null : iso(t.validUntil),
    nextUpdateS: t.nextUpdateS,
    base: t.base,
    windows: t.windows.map((w) => ({ ...w, from: formatMinutes(w.from), to: formatMinutes(w.to) })),
    holidays: t.holidays,
    slots: t.slots.map((s) => ({ ...s, from: iso(s.from), until: iso(s.until) })),
  };
}
