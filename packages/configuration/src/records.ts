import type { Objective } from '@spurbridge/model';
import type { Item, Version } from '@spurbridge/wire';
import { MalformedError, read } from '@spurbridge/wire';
import type { Difference } from './change.js';
import type { Configuration, ConfigurationVersion, ConfiguredTeam } from './types.js';

export const CONFIGURATION_PREFIX = 'configuration/';
export const HEAD_KEY = `${CONFIGURATION_PREFIX}head`;
export const OBJECTIVES_KEY = `${CONFIGURATION_PREFIX}objectives`;

export function pageKey(page: number): string {
  return `${CONFIGURATION_PREFIX}teams/${page}`;
}

export function historyKey(segment: number): string {
  return `${CONFIGURATION_PREFIX}history/${segment}`;
}

/** The record that every change writes: it says which page is of which version, so that no mixture is taken for a whole. */
export interface Head {
  readonly version: ConfigurationVersion;
  /** Version of each page of teams. */
  readonly pages: readonly ConfigurationVersion[];
  readonly objectives: ConfigurationVersion;
  /** Id that the author gave to the change: a repeated request is told from another one. */
  readonly changeId: string;
  /** Segment of the history that is written now; earlier ones are written over in turn. */
  readonly segment: number;
}

/** One change, as it is kept for people. */
export interface HistoryEntry {
  readonly version: ConfigurationVersion;
  readonly changeId: string;
  readonly author: string;
  /** Time of day in milliseconds, within the platform's clock error. */
  readonly at: number;
  readonly differences: readonly Difference[];
  /** Differences of a large change that are not kept one by one. */
  readonly more: number;
}

/** A page of teams is one value of the state service. */
export interface TeamPage {
  readonly version: ConfigurationVersion;
  readonly teams: readonly ConfiguredTeam[];
}

function versionIn(o: read.Fields, field: string): ConfigurationVersion {
  return read.count(o, field) as ConfigurationVersion;
}

export function encodeHead(h: Head): Record<string, unknown> {
  return { ...h };
}

export function decodeHead(value: unknown): Head {
  const o = read.asObject(value, 'head');
  const pages = read.asArray(o['pages'], 'pages').map((v) => versionIn({ v }, 'v'));
  return {
    version: versionIn(o, 'version'),
    pages,
    objectives: versionIn(o, 'objectives'),
    changeId: read.str(o, 'changeId'),
    segment: read.count(o, 'segment'),
  };
}

/** JSON has no infinity: null stands for no limit. */
function limitOut(amount: number): number | null {
  return amount === Infinity ? null : amount;
}

function limitIn(value: unknown, field: string): number {
  return value === null ? Infinity : read.amount({ [field]: value }, field);
}

export function encodePage(p: TeamPage): Record<string, unknown> {
  const teams = p.teams.map((t) => [
    t.name,
    t.cpus,
    limitOut(t.cpusMax),
    t.gpus,
    limitOut(t.gpusMax),
    t.isRetired ? 1 : 0,
  ]);
  return { version: p.version, teams };
}

function decodeTeam(value: unknown): ConfiguredTeam {
  const [name, cpus, cpusMax, gpus, gpusMax, isRetired] = read.asArray(value, 'teams');
  return {
    name: read.name({ name }, 'name'),
    cpus: read.amount({ cpus }, 'cpus'),
    cpusMax: limitIn(cpusMax, 'cpusMax'),
    gpus: read.amount({ gpus }, 'gpus'),
    gpusMax: limitIn(gpusMax, 'gpusMax'),
    isRetired: isRetired === 1,
  };
}

export function decodePage(value: unknown): TeamPage {
  const o = read.asObject(value, 'page');
  return { version: versionIn(o, 'version'), teams: read.asArray(o['teams'], 'teams').map(decodeTeam) };
}

export interface ObjectivesRecord {
  readonly version: ConfigurationVersion;
  readonly objectives: readonly Objective[];
}

export function encodeObjectives(r: ObjectivesRecord): Record<string, unknown> {
  return { ...r };
}

export function parseObjective(value: unknown): Objective {
  const o = read.asObject(value, 'objectives');
  return {
    kind: read.name(o, 'kind'),
    class: read.optStr(o, 'class'),
    withinS: read.optAmount(o, 'withinS'),
    share: read.optAmount(o, 'share'),
    times: read.optAmount(o, 'times'),
  };
}

export function decodeObjectives(value: unknown): ObjectivesRecord {
  const o = read.asObject(value, 'objectives record');
  return {
    version: versionIn(o, 'version'),
    objectives: read.asArray(o['objectives'], 'objectives').map(parseObjective),
  };
}

export function encodeHistory(entries: readonly HistoryEntry[]): Record<string, unknown> {
  return { entries };
}

export function decodeHistory(value: unknown): HistoryEntry[] {
  const o = read.asObject(value, 'history');
  return read.asArray(o['entries'], 'entries').map((v) => {
    const e = read.asObject(v, 'entries');
    return {
      version: versionIn(e, 'version'),
      changeId: read.str(e, 'changeId'),
      author: read.str(e, 'author'),
      at: read.amount(e, 'at'),
      differences: read.asArray(e['differences'], 'differences').map((d) => {
        const difference = read.asObject(d, 'differences');
        return {
          path: read.str(difference, 'path'),
          from: read.str(difference, 'from'),
          to: read.str(difference, 'to'),
        };
      }),
      more: read.count(e, 'more'),
    };
  });
}

/** A whole configuration as it stands in the state service, with what a commit has to be conditioned on. */
export interface StoredConfiguration {
  readonly head: Head;
  readonly configuration: Configuration;
  /** Versions of the records, by key; a key that is missing does not exist. */
  readonly stamps: ReadonlyMap<string, Version>;
  readonly pages: readonly TeamPage[];
}

/** The records are not of one version: they were read while a change was written. */
export class MixedVersionsError extends Error {}

/**
 * Puts the records together. Null: there is none. Throws a `MixedVersionsError` where they are not of one version, and a
 * `MalformedError` where one cannot be read.
 */
export function readConfiguration(get: (key: string) => Item | undefined): StoredConfiguration | null {
  const headItem = get(HEAD_KEY);
  if (headItem === undefined) return null;
  const head = decodeHead(headItem.value);
  const stamps = new Map<string, Version>([[HEAD_KEY, headItem.version]]);
  const found = (key: string): Item => {
    const item = get(key);
    if (item === undefined) throw new MalformedError(key, 'a record');
    stamps.set(key, item.version);
    return item;
  };
  const pages = head.pages.map((version, n) => {
    const page = decodePage(found(pageKey(n)).value);
    if (page.version !== version) throw new MixedVersionsError(pageKey(n));
    return page;
  });
  const { version, objectives } = decodeObjectives(found(OBJECTIVES_KEY).value);
  if (version !== head.objectives) throw new MixedVersionsError(OBJECTIVES_KEY);
  const teams = pages.flatMap((p) => p.teams);
  return { head, configuration: { version: head.version, teams, objectives }, stamps, pages };
}
