import type { TomlTable, TomlValue } from 'smol-toml';
import { parse, stringify } from 'smol-toml';

/** How a variant differs from the site that it is made from. */
export interface SiteVariation {
  /** Machines, limits, guarantees and load, all times this. */
  readonly factor: number;
  /** A process that ended is back after so many seconds. */
  readonly restartS: number;
  /** Controllers; null: as many as the site has. */
  readonly nodes: number | null;
  /** Whether zones get other names. */
  readonly renamesZones: boolean;
}

export class SiteError extends Error {}

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
  return value.map((v) => {
    if (!isTable(v)) throw new SiteError(`${field} must be a list of tables`);
    return v;
  });
}

function scale(of: TomlTable, field: string, factor: number): void {
  const value = of[field];
  if (typeof value === 'bigint') of[field] = BigInt(Math.round(Number(value) * factor));
  else if (typeof value === 'number') of[field] = value * factor;
}

/** A zone's other name: turned round, so that no two become the same and none stays. */
function renamed(zone: string): string {
  return `z-${[...zone].reverse().join('')}`;
}

/** Renames zones wherever a text is a zone's name, at any depth. */
function rename(value: TomlValue, zones: ReadonlySet<string>): TomlValue {
  if (typeof value === 'string') return zones.has(value) ? renamed(value) : value;
  if (Array.isArray(value)) return value.map((v) => rename(v, zones));
  if (!isTable(value)) return value;
  return Object.fromEntries(Object.entries(value).map(([k, v]) => [k, rename(v, zones)]));
}

/** Machines that the cloud has at the most. */
export function machinesOf(site: TomlTable): number {
  return tables(site, 'capacity').reduce((n, c) => n + Number(c['count'] ?? 0) + Number(c['spot'] ?? 0), 0);
}

export function readSite(text: string): TomlTable {
  return parse(text, INTEGERS);
}

/** The site as text again: whole numbers stay whole, others keep their point. */
export function writeSite(site: TomlTable): string {
  return stringify(site, { numbersAsFloat: true });
}

/** A site like the given one, with other sizes, names and times. */
export function applyVariation(given: TomlTable, v: SiteVariation): TomlTable {
  const site = structuredClone(given);
  for (const c of tables(site, 'capacity')) for (const f of ['count', 'spot']) scale(c, f, v.factor);
  for (const m of tables(site, 'machines')) scale(m, 'count', v.factor);
  for (const t of tables(site, 'teams'))
    for (const f of ['cpus', 'cpus_max', 'gpus', 'gpus_max']) scale(t, f, v.factor);
  for (const j of tables(site, 'jobs')) {
    scale(table(j, 'arrivals'), 'rate', v.factor);
    scale(j, 'initial', v.factor);
  }
  for (const d of tables(site, 'day'))
    for (const f of tables(d, 'faults'))
      if (String(f['kind']).startsWith('machine_')) scale(f, 'count', v.factor);
  const nodes = table(site, 'nodes');
  nodes['restart_delay_s'] = v.restartS;
  const { zones } = nodes;
  if (!Array.isArray(zones)) throw new SiteError('nodes.zones must be a list');
  if (v.nodes !== null) nodes['count'] = BigInt(v.nodes);
  const names = new Set(zones.map(String));
  return v.renamesZones ? (rename(site, names) as TomlTable) : site;
}

/** Days of our own, with a site's classes, zones and numbers of machines in the place of their stand-ins. */
export function additionalDays(text: string, site: TomlTable): TomlTable[] {
  const jobs = tables(site, 'jobs');
  const { zones } = table(site, 'nodes');
  const machines = machinesOf(site);
  const named = (value: TomlValue): TomlValue => {
    if (typeof value !== 'string' || !value.startsWith('@')) return value;
    const zone = /^@zone(\d)$/.exec(value)?.[1];
    if (zone !== undefined && Array.isArray(zones)) {
      const found = zones[Number(zone) % zones.length];
      if (found !== undefined) return found;
    }
    const job = jobs.find((j) => j['kind'] === value.slice(1));
    if (job?.['name'] === undefined) throw new SiteError(`the site has nothing that ${value} stands for`);
    return job['name'];
  };
  return tables(parse(text, INTEGERS), 'day').map((day) => {
    const faults = tables(day, 'faults').map((fault): TomlTable => {
      const { share, ...rest } = Object.fromEntries(Object.entries(fault).map(([k, v]) => [k, named(v)]));
      if (share === undefined) return rest;
      if (!String(rest['kind']).startsWith('machine_')) return { ...rest, share };
      return { ...rest, count: BigInt(Math.max(1, Math.round(Number(share) * machines))) };
    });
    const changed = tables(day, 'jobs').map((j): TomlTable => ({ ...j, name: named(j['name'] ?? '') }));
    const own = { slot: 'scale', light: false, ...day, faults };
    return changed.length === 0 ? own : { ...own, jobs: changed };
  });
}

export function addDays(site: TomlTable, days: readonly TomlTable[]): TomlTable {
  return { ...site, day: [...tables(site, 'day'), ...days] };
}

export function dayNames(site: TomlTable): string[] {
  return tables(site, 'day').map((d) => String(d['name']));
}
