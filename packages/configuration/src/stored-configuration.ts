/**
 * Assembles one complete version of the configuration from its records.
 *
 * @module
 */
import type { KeyValue } from '@spurbridge/wire';
import { ValidationError } from '@spurbridge/wire';
import { InconsistentRecordsError } from './errors.js';
import type { ConfigurationHead, TeamPage } from './records.js';
import { HEAD_KEY, OBJECTIVES_KEY, decodeHead, decodeObjectives, decodePage, pageKey } from './records.js';
import type { Configuration } from './types.js';

/** Looks up one record by its key; undefined if there is none. */
export type RecordLookup = (key: string) => KeyValue | undefined;

/** One complete version of the configuration, as stored in the key-value store. */
export interface StoredConfiguration {
  readonly head: ConfigurationHead;
  readonly configuration: Configuration;
  readonly pages: readonly TeamPage[];
}

function requireRecord(lookup: RecordLookup, key: string): KeyValue {
  const record = lookup(key);
  if (record === undefined) throw new ValidationError(key, 'a record');
  return record;
}

/**
 * Assembles the configuration from its records. Returns null if there is no head record: no change was ever made.
 *
 * @throws {@link InconsistentRecordsError} if the records are not of one version
 * @throws `ValidationError` where a record is missing or malformed
 */
export function readConfiguration(lookup: RecordLookup): StoredConfiguration | null {
  const headRecord = lookup(HEAD_KEY);
  if (headRecord === undefined) return null;
  const head = decodeHead(headRecord.value);
  const pages = head.pages.map((version, pageIndex) => {
    const key = pageKey(pageIndex);
    const page = decodePage(requireRecord(lookup, key).value);
    if (page.version !== version) throw new InconsistentRecordsError(key);
    return page;
  });
  const { version, objectives } = decodeObjectives(requireRecord(lookup, OBJECTIVES_KEY).value);
  if (version !== head.objectives) throw new InconsistentRecordsError(OBJECTIVES_KEY);
  const teams = pages.flatMap((page) => page.teams);
  return {
    head,
    configuration: { version: head.version, teams, objectives },
    pages,
  };
}
