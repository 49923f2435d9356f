/**
 * Variants of site descriptions: other sizes, zone names and restart times, and additional days.
 *
 * @module
 */
import type { TomlTable, TomlValue } from 'smol-toml';
import { parse, stringify } from 'smol-toml';
import { SiteError } from '../errors.js';

/** How a variant differs from the site that it is made from. */
export interface SiteVariation {
  /** Factor on machines, limits, guaranteed quotas and load. */
  readonly factor: number;
  /** Delay before an ended process restarts, in seconds. */
  readonly restartS: number;
  /** Number of controllers; null for that of the site. */
  readonly nodes: number | null;
  /** Whether zones get other names. */
  readonly renamesZones: boolean;
}

const INTEGERS = { integersAsBigInt: true } as const;

function isTable(value: TomlValue | undefined): value is TomlTable {
  return typeof value === 'object' && !Array.isArray(value) && !(value instanceof Date);
}

function table(of: TomlTable, field: string): TomlTable {
  const value = of[field];
  if (!isTable(value)) throw new SiteError(`${field} must be a table`);
  return value;
}

function tables(of: TomlTable, field: string): TomlTable[] {
  const value = of[field];
  if (value === undefined) return [];
  if (!Array.isArray(value)) throw new SiteError(`${field} must be a list of tables`);
  return value.map((nested) => {
    if (!isTable(nested)) throw new SiteError(`${field} must be a list of tables`);
    return nested;
  });
}

function scaleField(of: TomlTable, field: string, factor: number): void {
  const value = of[field];
  if (typeof value === 'bigint') of[field] = BigInt(Math.round(Number(value) * factor));
  else if (typeof value === 'number') of[field] = value * factor;
}

/** Reverses and prefixes the name of a zone, so that every name changes and all names stay distinct. */
function renamedZone(zone: string): string {
  return `z-${[...zone].reverse().join('')}`;
}

/** Renames zones at any depth, wherever a string equals the name of a zone. */
function renameZones(value: TomlValue, zones: ReadonlySet<string>): TomlValue {
  if (typeof value === 'string') return zones.has(value) ? renamedZone(value) : value;
  if (Array.isArray(value)) return value.map((nested) => renameZones(nested, zones));
  if (!isTable(value)) return value;
  return Object.fromEntries(Object.entries(value).map(([key, nested]) => [key, renameZones(nested, zones)]));
}

/** Maximum number of machines of the cloud provider. */
export function machinesOf(site: TomlTable): number {
  return tables(site, 'capacity').reduce(
    (n, capacity) => n + Number(capacity['count'] ?? 0) + Number(capacity['spot'] ?? 0),
    0,
  );
}

/** Parses a site description. Integers become bigints, so that they are written as integers again. */
export function readSite(text: string): TomlTable {
  return parse(text, INTEGERS);
}

/** Formats the site as TOML. Integers stay integers, and other numbers keep their decimal point. */
export function writeSite(site: TomlTable): string {
  return stringify(site, { numbersAsFloat: true });
}

/**
 * Returns a copy of a site with other sizes, names and times.
 *
 * @throws SiteError if a table or list that is to be varied is missing
 */
export function applyVariation(given: TomlTable, variation: SiteVariation): TomlTable {
  const site = structuredClone(given);
  for (const capacity of tables(site, 'capacity'))
    for (const field of ['count', 'spot']) scaleField(capacity, field, variation.factor);
  for (const machines of tables(site, 'machines')) scaleField(machines, 'count', variation.factor);
  for (const team of tables(site, 'teams'))
    for (const field of ['cpus', 'cpus_max', 'gpus', 'gpus_max']) scaleField(team, field, variation.factor);
  for (const job of tables(site, 'jobs')) {
    scaleField(table(job, 'arrivals'), 'rate', variation.factor);
    scaleField(job, 'initial', variation.factor);
  }
  for (const day of tables(site, 'day'))
    for (const fault of tables(day, 'faults'))
      if (String(fault['kind']).startsWith('machine_')) scaleField(fault, 'count', variation.factor);
  const nodes = table(site, 'nodes');
  nodes['restart_delay_s'] = variation.restartS;
  const { zones } = nodes;
  if (!Array.isArray(zones)) throw new SiteError('nodes.zones must be a list');
  if (variation.nodes !== null) nodes['count'] = BigInt(variation.nodes);
  const names = new Set(zones.map(String));
  return variation.renamesZones ? (renameZones(site, names) as TomlTable) : site;
}

/**
 * Parses the days of a text and replaces their placeholders (`@array`, `@zone1`) and machine shares by the site's job
 * classes, zones and numbers of machines.
 *
 * @throws SiteError if the site has no value for a placeholder
 */
export function additionalDays(text: string, site: TomlTable): TomlTable[] {
  const jobs = tables(site, 'jobs');
  const { zones } = table(site, 'nodes');
  const machines = machinesOf(site);
  const resolvePlaceholder = (value: TomlValue): TomlValue => {
    if (typeof value !== 'string' || !value.startsWith('@')) return value;
    const zone = /^@zone(\d)$/.exec(value)?.[1];
    if (zone !== undefined && Array.isArray(zones)) {
      const found = zones[Number(zone) % zones.length];
      if (found !== undefined) return found;
    }
    const job = jobs.find((candidate) => candidate['kind'] === value.slice(1));
    if (job?.['name'] === undefined)
      throw new SiteError(`the site has no job class or zone for the placeholder ${value}`);
    return job['name'];
  };
  return tables(parse(text, INTEGERS), 'day').map((day) => {
    const faults = tables(day, 'faults').map((fault): TomlTable => {
      const { share, ...rest } = Object.fromEntries(
        Object.entries(fault).map(([key, nested]) => [key, resolvePlaceholder(nested)]),
      );
      if (share === undefined) return rest;
      if (!String(rest['kind']).startsWith('machine_')) return { ...rest, share };
      return { ...rest, count: BigInt(Math.max(1, Math.round(Number(share) * machines))) };
    });
    const changed = tables(day, 'jobs').map((change): TomlTable => ({
      ...change,
      name: resolvePlaceholder(change['name'] ?? ''),
    }));
    const completeDay = { slot: 'scale', light: false, ...day, faults };
    return changed.length === 0 ? completeDay : { ...completeDay, jobs: changed };
  });
}

/** Returns a copy of a site with additional days. */
export function addDays(site: TomlTable, days: readonly TomlTable[]): TomlTable {
  return { ...site, day: [...tables(site, 'day'), ...days] };
}

/** Names of all days of a site. */
export function dayNames(site: TomlTable): string[] {
  return tables(site, 'day').map((day) => String(day['name']));
}
