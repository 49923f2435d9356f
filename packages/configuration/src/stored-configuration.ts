/**
 * Assembles one whole version of the configuration from its records.
 *
 * @module
 */
import type { KeyValue, Version } from '@spurbridge/wire';
import { ValidationError } from '@spurbridge/wire';
import { InconsistentRecordsError } from './errors.js';
import type { ConfigurationHead, TeamPage } from './records.js';
import { HEAD_KEY, OBJECTIVES_KEY, decodeHead, decodeObjectives, decodePage, pageKey } from './records.js';
import type { Configuration } from './types.js';

/** Looks up one record by its key; undefined where there is none. */
export type RecordLookup = (key: string) => KeyValue | undefined;

/** One whole version of the configuration, as it stands in the key-value store. */
export interface StoredConfiguration {
  readonly head: ConfigurationHead;
  readonly configuration: Configuration;
  /** Store versions of the records by key, which a commit compares. A missing key does not exist. */
  readonly recordVersions: ReadonlyMap<string, Version>;
  readonly pages: readonly TeamPage[];
}

/** Looks up records and remembers the store version of each. */
class RecordReader {
  readonly recordVersions = new Map<string, Version>();

  constructor(private readonly lookup: RecordLookup) {}

  find(key: string): KeyValue | undefined {
    const record = this.lookup(key);
    if (record !== undefined) this.recordVersions.set(key, record.version);
    return record;
  }

  require(key: string): KeyValue {
    const record = this.find(key);
    if (record === undefined) throw new ValidationError(key, 'a record');
    return record;
  }
}

/**
 * Assembles the configuration from its records. Returns null where there is no head record: no change was ever made.
 *
 * @throws {@link InconsistentRecordsError} where the records are not of one version
 * @throws `ValidationError` where a record is missing or malformed
 */
export function readConfiguration(lookup: RecordLookup): StoredConfiguration | null {
  const reader = new RecordReader(lookup);
  const headRecord = reader.find(HEAD_KEY);
  if (headRecord === undefined) return null;
  const head = decodeHead(headRecord.value);
  const pages = head.pages.map((version, pageIndex) => {
    const key = pageKey(pageIndex);
    const page = decodePage(reader.require(key).value);
    if (page.version !== version) throw new InconsistentRecordsError(key);
    return page;
  });
  const { version, objectives } = decodeObjectives(reader.require(OBJECTIVES_KEY).value);
  if (version !== head.objectives) throw new InconsistentRecordsError(OBJECTIVES_KEY);
  const teams = pages.flatMap((page) => page.teams);
  return {
    head,
    configuration: { version: head.version, teams, objectives },
    recordVersions: reader.recordVersions,
    pages,
  };
}
