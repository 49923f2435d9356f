/**
 * The records of the configuration in the key-value store: their keys, their contents and their encoding. The keys and
 * the names of the encoded fields are the stored format; they must not change.
 *
 * @module
 */
import type { Objective } from '@spurbridge/model';
import { read } from '@spurbridge/wire';
import type { FieldChange } from './differences.js';
import type { ConfigurationVersion, ConfiguredTeam } from './types.js';

/** Prefix of the keys of all configuration records. */
export const CONFIGURATION_PREFIX = 'configuration/';
/** Key of the head record. */
export const HEAD_KEY = `${CONFIGURATION_PREFIX}head`;
/** Key of the record of all objectives. */
export const OBJECTIVES_KEY = `${CONFIGURATION_PREFIX}objectives`;

/** Key of one page of teams. */
export function pageKey(pageIndex: number): string {
  return `${CONFIGURATION_PREFIX}teams/${pageIndex}`;
}

/** Key of one segment of the history. */
export function historyKey(segmentIndex: number): string {
  return `${CONFIGURATION_PREFIX}history/${segmentIndex}`;
}

/**
 * The record that every change writes. It names the version of each other record, so that records of different versions
 * are never combined.
 */
export interface ConfigurationHead {
  readonly version: ConfigurationVersion;
  /** Version of each page of teams. */
  readonly pages: readonly ConfigurationVersion[];
  /** Version of the record of objectives. */
  readonly objectives: ConfigurationVersion;
  /** Id of the change that wrote this version, as its author chose it. */
  readonly changeId: string;
  /** Index of the history segment that is appended to; older segments are overwritten in turn. */
  readonly segment: number;
}

/** One committed change in the history. */
export interface HistoryEntry {
  readonly version: ConfigurationVersion;
  readonly changeId: string;
  readonly author: string;
  /** Wall-clock time of the change, in milliseconds since 1970. */
  readonly at: number;
  readonly differences: readonly FieldChange[];
  /** Number of further differences, which a large change does not list. */
  readonly more: number;
}

/** One page of teams: a single value of the key-value store. */
export interface TeamPage {
  /** The version that wrote this page. */
  readonly version: ConfigurationVersion;
  readonly teams: readonly ConfiguredTeam[];
}

/** The record of all objectives. */
export interface ObjectivesRecord {
  /** The version that wrote this record. */
  readonly version: ConfigurationVersion;
  readonly objectives: readonly Objective[];
}

function decodeVersion(fields: read.JsonObject, field: string): ConfigurationVersion {
  return read.count(fields, field) as ConfigurationVersion;
}

/** Encodes the head record. */
export function encodeHead(head: ConfigurationHead): Record<string, unknown> {
  return { ...head };
}

/**
 * Decodes the head record.
 *
 * @throws `ValidationError` for a malformed record
 */
export function decodeHead(value: unknown): ConfigurationHead {
  const fields = read.asObject(value, 'head');
  const pages = read.asArray(fields['pages'], 'pages').map((version) => decodeVersion({ v: version }, 'v'));
  return {
    version: decodeVersion(fields, 'version'),
    pages,
    objectives: decodeVersion(fields, 'objectives'),
    changeId: read.string(fields, 'changeId'),
    segment: read.count(fields, 'segment'),
  };
}

/** JSON has no infinity: null stands for no limit. */
function encodeLimit(limit: number): number | null {
  return limit === Infinity ? null : limit;
}

function decodeLimit(value: unknown, field: string): number {
  return value === null ? Infinity : read.amount({ [field]: value }, field);
}

/** A team is encoded as an array, since field names would take most of a page. */
function encodeTeam(team: ConfiguredTeam): unknown[] {
  return [
    team.name,
    team.cpus,
    encodeLimit(team.cpusMax),
    team.gpus,
    encodeLimit(team.gpusMax),
    team.isRetired ? 1 : 0,
  ];
}

function decodeTeam(value: unknown): ConfiguredTeam {
  const [name, cpus, cpusMax, gpus, gpusMax, isRetired] = read.asArray(value, 'teams');
  return {
    name: read.name({ name }, 'name'),
    cpus: read.amount({ cpus }, 'cpus'),
    cpusMax: decodeLimit(cpusMax, 'cpusMax'),
    gpus: read.amount({ gpus }, 'gpus'),
    gpusMax: decodeLimit(gpusMax, 'gpusMax'),
    isRetired: isRetired === 1,
  };
}

/** Encodes a page of teams. */
export function encodePage(page: TeamPage): Record<string, unknown> {
  return { version: page.version, teams: page.teams.map(encodeTeam) };
}

/**
 * Decodes a page of teams.
 *
 * @throws `ValidationError` for a malformed record
 */
export function decodePage(value: unknown): TeamPage {
  const fields = read.asObject(value, 'page');
  return {
    version: decodeVersion(fields, 'version'),
    teams: read.asArray(fields['teams'], 'teams').map(decodeTeam),
  };
}

/** Encodes the record of all objectives. */
export function encodeObjectives(record: ObjectivesRecord): Record<string, unknown> {
  return { ...record };
}

/**
 * Parses one objective, as records and operators' requests state it.
 *
 * @throws `ValidationError` for a malformed objective
 */
export function parseObjective(value: unknown): Objective {
  const fields = read.asObject(value, 'objectives');
  return {
    kind: read.name(fields, 'kind'),
    class: read.optionalString(fields, 'class'),
    withinS: read.optionalAmount(fields, 'withinS'),
    share: read.optionalAmount(fields, 'share'),
    times: read.optionalAmount(fields, 'times'),
  };
}

/**
 * Decodes the record of all objectives.
 *
 * @throws `ValidationError` for a malformed record
 */
export function decodeObjectives(value: unknown): ObjectivesRecord {
  const fields = read.asObject(value, 'objectives record');
  return {
    version: decodeVersion(fields, 'version'),
    objectives: read.asArray(fields['objectives'], 'objectives').map(parseObjective),
  };
}

/** Encodes one segment of the history. */
export function encodeHistory(entries: readonly HistoryEntry[]): Record<string, unknown> {
  return { entries };
}

function decodeFieldChange(value: unknown): FieldChange {
  const fields = read.asObject(value, 'differences');
  return {
    path: read.string(fields, 'path'),
    from: read.string(fields, 'from'),
    to: read.string(fields, 'to'),
  };
}

function decodeHistoryEntry(value: unknown): HistoryEntry {
  const fields = read.asObject(value, 'entries');
  return {
    version: decodeVersion(fields, 'version'),
    changeId: read.string(fields, 'changeId'),
    author: read.string(fields, 'author'),
    at: read.amount(fields, 'at'),
    differences: read.asArray(fields['differences'], 'differences').map(decodeFieldChange),
    more: read.count(fields, 'more'),
  };
}

/**
 * Decodes one segment of the history, oldest entry first.
 *
 * @throws `ValidationError` for a malformed record
 */
export function decodeHistory(value: unknown): HistoryEntry[] {
  const fields = read.asObject(value, 'history');
  return read.asArray(fields['entries'], 'entries').map(decodeHistoryEntry);
}
