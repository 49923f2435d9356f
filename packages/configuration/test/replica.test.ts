import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { KeyValue } from '@spurbridge/wire';
import type { Configuration, ConfigurationVersion, ConfiguredTeam } from '../src/index.js';
import {
  HEAD_KEY,
  ConfigurationReplica,
  InconsistentRecordsError,
  OBJECTIVES_KEY,
  configurationFromSettings,
  encodeHead,
  encodeObjectives,
  encodePage,
  pageKey,
  readConfiguration,
} from '../src/index.js';

const PAGE_COUNT = 3;
const SETTINGS = configurationFromSettings([], []);
const DISCARD_LOG = { info: () => undefined, error: () => undefined };

function teamOf(page: number, version: number): ConfiguredTeam {
  return { name: `team-${page}`, cpus: version, cpusMax: version, gpus: 0, gpusMax: 0, isRetired: false };
}

/** The records after `version` changes, where change n writes page n modulo the number of pages. */
function recordsAt(version: number): Map<string, KeyValue> {
  const written = Array.from({ length: PAGE_COUNT }, (_, page) => {
    const last = version - ((version - page + PAGE_COUNT) % PAGE_COUNT);
    return Math.max(1, last) as ConfigurationVersion;
  });
  const item = (key: string, value: unknown, stamp: number): [string, KeyValue] => [
    key,
    { key, value: JSON.parse(JSON.stringify(value)) as unknown, version: stamp as never },
  ];
  const first = 1 as ConfigurationVersion;
  const head = { version, pages: written, objectives: first, changeId: `${version}`, segment: 0 };
  return new Map([
    item(HEAD_KEY, encodeHead(head as never), version),
    item(OBJECTIVES_KEY, encodeObjectives({ version: first, objectives: [] }), 1),
    ...written.map((pageVersion, page) =>
      item(
        pageKey(page),
        encodePage({ version: pageVersion, teams: [teamOf(page, pageVersion)] }),
        pageVersion,
      ),
    ),
  ]);
}

test('readConfiguration never combines records of two versions into one configuration', () => {
  fc.assert(
    fc.property(
      fc.integer({ min: 2, max: 30 }),
      fc.integer({ min: 2, max: 30 }),
      fc.array(fc.boolean(), { minLength: PAGE_COUNT + 2, maxLength: PAGE_COUNT + 2 }),
      (firstVersion, secondVersion, isFromSecond) => {
        const [first, second] = [recordsAt(firstVersion), recordsAt(secondVersion)];
        const keys = [...first.keys()];
        const mixed = new Map(
          keys.map((key, index) => [
            key,
            (isFromSecond[index] === true ? second : first).get(key) as KeyValue,
          ]),
        );
        let read: Configuration | null = null;
        try {
          read = readConfiguration((key) => mixed.get(key))?.configuration ?? null;
        } catch (error) {
          assert.ok(error instanceof InconsistentRecordsError);
        }
        if (read === null) return;
        const expected = readConfiguration((key) => recordsAt(read.version).get(key))?.configuration;
        assert.deepEqual(read, expected);
      },
    ),
  );
});

test('a replica keeps the previous version until all records of the next version are present', () => {
  const changed: number[] = [];
  const replica = new ConfigurationReplica(SETTINGS, {
    log: DISCARD_LOG,
    onChange: (configuration) => changed.push(configuration.version),
  });
  assert.equal(replica.state, 'file');
  replica.refresh((key) => recordsAt(4).get(key));
  const mixed = new Map([...recordsAt(4), [HEAD_KEY, recordsAt(5).get(HEAD_KEY) as KeyValue]]);
  replica.refresh((key) => mixed.get(key));
  assert.deepEqual([replica.state, replica.version], ['mixed', 4]);
  replica.refresh((key) => recordsAt(5).get(key));
  assert.deepEqual([replica.state, replica.version], ['following', 5]);
  assert.deepEqual(changed, [4, 5]);
});

test('a replica reports reverted, missing and malformed records and never mixes versions', () => {
  const errors: string[] = [];
  const log = { info: () => undefined, error: (_fields: object, message: string) => errors.push(message) };
  const replica = new ConfigurationReplica(SETTINGS, { log, onChange: () => undefined });
  replica.refresh((key) => recordsAt(9).get(key));
  replica.refresh((key) => recordsAt(7).get(key));
  assert.equal(replica.version, 7);
  replica.refresh(() => undefined);
  assert.deepEqual([replica.state, replica.version], ['unreadable', 7]);
  const malformed = new Map([
    ...recordsAt(8),
    [pageKey(0), { key: pageKey(0), value: '?', version: 8 as never }],
  ]);
  replica.refresh((key) => malformed.get(key));
  assert.deepEqual([replica.state, replica.version], ['unreadable', 7]);
  // The page is valid again, and the head record is unchanged.
  replica.refresh((key) => recordsAt(8).get(key));
  assert.deepEqual([replica.state, replica.version], ['following', 8]);
  assert.deepEqual(errors, [
    'configuration reverted to an earlier version',
    'configuration records are missing from the state service',
  ]);
});
