import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { FencingToken, KeyValue, NodeId, Version } from '@spurbridge/wire';
import type { ContributionMarker, RecordRepair } from '../src/index.js';
import {
  contributionKeyPrefix,
  encodeMarker,
  encodePages,
  markerKey,
  readContributions,
} from '../src/index.js';
import { generatedJobs, jobKeyValues } from './job-records.js';

const NODE = 'spur-1' as NodeId;

function markerOf(pages: readonly string[], digest: string): ContributionMarker {
  return {
    pageCount: pages.length,
    digest,
    lastLedToken: 3 as FencingToken,
    highestSeenToken: 4 as FencingToken,
    continuous: true,
    highestLeaseId: 5,
  };
}

/** Returns pages and marker as the store lists them; the first page is damaged if `isDamaged` is true. */
function storedContribution(
  pages: readonly string[],
  marker: ContributionMarker,
  isDamaged: boolean,
): KeyValue[] {
  const storedPages = pages.map((text, page) => ({
    key: `${contributionKeyPrefix('x', NODE)}${page}`,
    value: { text: isDamaged && page === 0 ? `AAAA${text.slice(4)}` : text },
    version: 1 as Version,
  }));
  const storedMarker = {
    key: markerKey('x', NODE),
    value: encodeMarker(marker),
    version: 2 as Version,
  };
  return [...storedPages, storedMarker];
}

function sortedByKey(repairs: readonly RecordRepair[]): RecordRepair[] {
  return [...repairs].sort((first, second) => (first.key < second.key ? -1 : 1));
}

test('encoded pages fit into values, decode to the same repairs, and are skipped if damaged', () => {
  const generatedValueKb = fc.integer({ min: 1, max: 16 });
  fc.assert(
    fc.property(generatedJobs, generatedValueKb, fc.boolean(), (jobs, valueKb, isDamaged) => {
      const repairs = jobKeyValues(jobs).map(({ key, value, version }) => ({
        key,
        version,
        text: JSON.stringify(value),
        epoch: 1,
        replacedVersion: 0 as Version,
      }));
      const { pages, digest } = encodePages(repairs, valueKb);
      assert.ok(pages.every((page) => JSON.stringify({ text: page }).length <= valueKb * 1024));
      const marker = markerOf(pages, digest);
      const stored = storedContribution(pages, marker, isDamaged);
      const damageReports: string[] = [];
      const contributions = readContributions(stored, (description) => damageReports.push(description));
      if (isDamaged && pages.length > 0) {
        assert.equal(contributions.length, 0);
        assert.equal(damageReports.length, 1);
        return;
      }
      assert.deepEqual(contributions[0]?.marker, marker);
      assert.deepEqual(sortedByKey(contributions[0]?.repairs ?? []), sortedByKey(repairs));
    }),
  );
});

test('a marker is encoded with the field names that earlier versions used', () => {
  assert.equal(
    JSON.stringify(encodeMarker(markerOf(['page'], 'abc'))),
    '{"pages":1,"digest":"abc","led":3,"seen":4,"continuous":true,"lease":5}',
  );
});
