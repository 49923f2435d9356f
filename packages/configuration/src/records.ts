import type { Objective } from '@spurbridge/model';
import type { KeyValue, Version } from '@spurbridge/wire';
import { ValidationError, read } from '@spurbridge/wire';
import type { FieldChange } from './change.js';
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
export interface ConfigurationHead {
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
  readonly differences: readonly FieldChange[];
  /** Differences of a large change that are not kept one by one. */
  readonly more: number;
}

/** A page of teams is one value of the state service. */
export interface TeamPage {
  readonly version: ConfigurationVersion;
  readonly teams: readonly ConfiguredTeam[];
}

function versionIn(o: read.JsonObject, field: string): ConfigurationVersion {
  return read.count(o, field) as ConfigurationVersion;
}

export function encodeHead(h: ConfigurationHead): Record<string, unknown> {
  return { ...h };
}

export function decodeHead(value: unknown): ConfigurationHead {
  const o = read.asObject(value, 'head');
  const pages = read.asArray(o['pages'], 'pages').map((v) => versionIn({ v }, 'v'));
  return {
    version: versionIn(o, 'version'),
    pages,
    objectives: versionIn(o, 'objectives'),
    changeId: read.string(o, 'changeId'),
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
    class: read.optionalString(o, 'class'),
    withinS: read.optionalAmount(o, 'withinS'),
    share: read.optionalAmount(o, 'share'),
    times: read.optionalAmount(o, 'times'),
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
      changeId: read.string(e, 'changeId'),
      author: read.string(e, 'author'),
      at: read.amount(e, 'at'),
      differences: read.asArray(e['differences'], 'differences').map((d) => {
        const difference = read.asObject(d, 'differences');
        return {
          path: read.string(difference, 'path'),
          from: read.string(difference, 'from'),
          to: read.string(difference, 'to'),
        };
      }),
      more: read.count(e, 'more'),
    };
  });
}

/** A whole configuration as it stands in the state service, with what a commit has to be conditioned on. */
export interface StoredConfiguration {
  readonly head: ConfigurationHead;
  readonly configuration: Configuration;
  /** Versions of the records, by key; a key that is missing does not exist. */
  readonly recordVersions: ReadonlyMap<string, Version>;
  readonly pages: readonly TeamPage[];
}

/** The records are not of one version: they were read while a change was written. */
export class InconsistentRecordsError extends Error {}

/**
 * Puts the records together. Null: there is none. Throws a `MixedVersionsError` where they are not of one version, and a
 * `MalformedError` where one cannot be read.
 */
export function readConfiguration(get: (key: string) => KeyValue | undefined): StoredConfiguration | null {
  const headItem = get(HEAD_KEY);
  if (headItem === undefined) return null;
  const head = decodeHead(headItem.value);
  const stamps = new Map<string, Version>([[HEAD_KEY, headItem.version]]);
  const found = (key: string): KeyValue => {
    const item = get(key);
    if (item === undefined) throw new ValidationError(key, 'a record');
    stamps.set(key, item.version);
    return item;
  };
  const pages = head.pages.map((version, n) => {
    const page = decodePage(found(pageKey(n)).value);
    if (page.version !== version) throw new InconsistentRecordsError(pageKey(n));
    return page;
  });
  const { version, objectives } = decodeObjectives(found(OBJECTIVES_KEY).value);
  if (version !== head.objectives) throw new InconsistentRecordsError(OBJECTIVES_KEY);
  const teams = pages.flatMap((p) => p.teams);
  return { head, configuration: { version: head.version, teams, objectives }, recordVersions: stamps, pages };
}
