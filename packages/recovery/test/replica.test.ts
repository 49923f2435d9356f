import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeJob, encodeJob } from '@spurbridge/model';
import type { WallClockMs } from '@spurbridge/model';
import { jobSpec } from '@spurbridge/testkit';
import type { KeyValue, JobId, NodeId, Revision, FencingToken, Version } from '@spurbridge/wire';
import type { EpochReplica } from '../src/index.js';
import {
  Replica,
  decodeEpoch,
  encodeEpoch,
  encodePages,
  markerKey,
  mergeReplicas,
  nextTokenFloor,
  contributionKeyPrefix,
  readContributions,
} from '../src/index.js';
import type { Epoch } from '../src/index.js';
import { findContradiction } from '../src/replica/replica.js';

const idOf = (n: number): JobId => `wk-${String(n).padStart(6, '0')}` as JobId;
const record = (n: number, phase: 'active' | 'done' | 'cancelled') =>
  encodeJob({ spec: jobSpec({ id: idOf(n) }), phase, submittedAt: 5 as WallClockMs, chunkSize: 256 });

function memoryOf(epoch: number, items: readonly KeyValue[]): EpochReplica & { readonly copy: Replica } {
  const copy = new Replica();
  copy.replaceAll(items, 0 as Revision);
  return { copy, epoch, get: (k) => copy.get(k), keys: () => copy.keys() };
}

const items = fc.uniqueArray(
  fc.record({
    n: fc.integer({ min: 0, max: 12 }),
    phase: fc.constantFrom('active' as const, 'done' as const, 'cancelled' as const),
    version: fc.integer({ min: 1, max: 50 }),
  }),
  { selector: (r) => r.n },
);
const itemsOf = (
  rs: readonly { n: number; phase: 'active' | 'done' | 'cancelled'; version: number }[],
): KeyValue[] =>
  rs.map((r) => ({ key: `j/${idOf(r.n)}`, value: record(r.n, r.phase), version: r.version as Version }));

const phaseIn = (m: EpochReplica, key: string): string | null => {
  const seen = m.get(key);
  return seen === undefined ? null : decodeJob(JSON.parse(seen.text)).phase;
};

test('a merge keeps every job that anybody knows, and what is over stays over', () => {
  fc.assert(
    fc.property(items, fc.array(items, { minLength: 1, maxLength: 3 }), (inStore, inCopies) => {
      const store = memoryOf(1, itemsOf(inStore));
      const copies = inCopies.map((c) => memoryOf(1, itemsOf(c)));
      for (const r of mergeReplicas(store, copies))
        store.copy.put(r.key, JSON.parse(r.text), 1000 as Version);
      for (const m of copies)
        for (const key of m.keys()) {
          const now = phaseIn(store, key);
          assert.notEqual(now, null, key);
          if (phaseIn(m, key) !== 'active') assert.notEqual(now, 'active', key);
        }
      // Done again it changes nothing: an interrupted rebuild ends the same.
      assert.deepEqual(
        mergeReplicas(store, copies).filter((r) => phaseIn(store, r.key) === 'active'),
        [],
      );
    }),
  );
});

test('a copy of a later epoch beats the store, whatever the versions', () => {
  const store = memoryOf(1, [{ key: 't/wk-1/0', value: { tries: 9 }, version: 900 as Version }]);
  const copy = memoryOf(2, [{ key: 't/wk-1/0', value: { tries: 2 }, version: 7 as Version }]);
  assert.equal(mergeReplicas(store, [copy])[0]?.text, '{"tries":2}');
  assert.deepEqual(mergeReplicas(copy, [store]), []);
});

test('pages hold what was put in, fit the values, and damaged ones are passed over', () => {
  const node = 'spur-1' as NodeId;
  fc.assert(
    fc.property(items, fc.integer({ min: 1, max: 16 }), fc.boolean(), (rs, valueKb, damage) => {
      const repairs = itemsOf(rs).map((i) => ({
        key: i.key,
        version: i.version,
        text: JSON.stringify(i.value),
        epoch: 1,
        over: 0 as Version,
      }));
      const { pages, digest } = encodePages(repairs, valueKb);
      assert.ok(pages.every((p) => JSON.stringify({ text: p }).length <= valueKb * 1024));
      const marker = {
        pages: pages.length,
        digest,
        led: 3 as FencingToken,
        seen: 4 as FencingToken,
        continuous: true,
        lease: 5,
      };
      const stored: KeyValue[] = pages.map((text, i) => ({
        key: `${contributionKeyPrefix('x', node)}${i}`,
        value: { text: damage && i === 0 ? `AAAA${text.slice(4)}` : text },
        version: 1 as Version,
      }));
      stored.push({ key: markerKey('x', node), value: marker, version: 2 as Version });
      const damaged: string[] = [];
      const found = readContributions(stored, (what) => damaged.push(what));
      if (damage && pages.length > 0) {
        assert.equal(found.length, 0);
        assert.equal(damaged.length, 1);
        return;
      }
      assert.deepEqual(found[0]?.marker, marker);
      assert.deepEqual(
        [...(found[0]?.repairs ?? [])].sort((a, b) => (a.key < b.key ? -1 : 1)),
        [...repairs].sort((a, b) => (a.key < b.key ? -1 : 1)),
      );
    }),
  );
});

test('a copy folds jobs that are over, once they have no task records left, and still answers for them', () => {
  const copy = new Replica();
  copy.put('j/wk-000001', record(1, 'active'), 3 as Version);
  copy.put('t/wk-000001/0', { tries: 1, done: '', placed: [] }, 4 as Version);
  copy.put('j/wk-000001', record(1, 'cancelled'), 5 as Version);
  assert.ok((copy.get('j/wk-000001')?.text ?? '').includes('"crew"'), 'its tasks may still run');
  copy.remove('t/wk-000001/0', 6 as Version);
  const folded = copy.get('j/wk-000001');
  assert.equal(folded?.version, 5);
  const answer = decodeJob(JSON.parse(folded.text));
  assert.deepEqual([answer.spec.id, answer.phase, answer.spec.tasks], ['wk-000001', 'cancelled', 4]);
  assert.ok(folded.text.length < 100);
});

test('what cannot be in a sound store is told, and what is only newer or reordered is not', () => {
  const known = { version: 7 as Version, text: '{"a":1,"b":2}' };
  assert.equal(findContradiction('t/x/0', known, 7 as Version, { b: 2, a: 1 }), null);
  assert.equal(findContradiction('t/x/0', known, 8 as Version, { a: 9 }), null);
  assert.equal(findContradiction('t/x/0', known, 0 as Version, undefined), null);
  assert.match(findContradiction('t/x/0', known, 6 as Version, { a: 1, b: 2 }) ?? '', /was at 7/);
  assert.match(findContradiction('t/x/0', known, 7 as Version, '?') ?? '', /another value/);
  assert.match(findContradiction('j/x', known, 0 as Version, undefined) ?? '', /gone/);
});

test('an epoch is read as it was written; anything else counts as lost', () => {
  const epoch = {
    number: 3,
    id: 'a',
    deployment: 'b',
    floor: 12,
    phase: 'open',
    after: 2,
    by: 'spur-0',
    first: false,
    continuous: true,
  };
  assert.deepEqual(encodeEpoch(decodeEpoch(epoch) as Epoch), epoch);
  for (const field of Object.keys(epoch)) assert.equal(decodeEpoch({ ...epoch, [field]: {} }), null, field);
  assert.equal(decodeEpoch('"?"'), null);
});

test('floors rise whatever is remembered, and stay exact', () => {
  fc.assert(
    fc.property(
      fc.nat(2 ** 40),
      fc.nat(2 ** 40),
      fc.integer({ min: 1.6e12, max: 7e12 }),
      (last, seen, wall) => {
        const floor = nextTokenFloor(last, seen as FencingToken, wall);
        assert.ok(floor > last && floor > seen && Number.isSafeInteger(floor + 2 ** 30));
        assert.ok(nextTokenFloor(0, 0 as FencingToken, wall + 1) > floor || floor > wall * 1024);
      },
    ),
  );
});
