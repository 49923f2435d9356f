import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import { decodeJob, encodeJob } from '@spurbridge/model';
import type { WallMs } from '@spurbridge/model';
import { jobSpec } from '@spurbridge/testkit';
import type { Item, JobId, NodeId, Revision, Token, Version } from '@spurbridge/wire';
import type { Memory } from '../src/index.js';
import {
  Copy,
  decodeEpoch,
  encodeEpoch,
  encodePages,
  markerKey,
  merge,
  nextFloor,
  pagesOf,
  readContributions,
} from '../src/index.js';
import type { Epoch } from '../src/index.js';
import { contradiction } from '../src/copy.js';

const idOf = (n: number): JobId => `wk-${String(n).padStart(6, '0')}` as JobId;
const record = (n: number, phase: 'active' | 'done' | 'cancelled') =>
  encodeJob({ spec: jobSpec({ id: idOf(n) }), phase, at: 5 as WallMs, chunkSize: 256 });

function memoryOf(epoch: number, items: readonly Item[]): Memory & { readonly copy: Copy } {
  const copy = new Copy();
  copy.replace(items, 0 as Revision);
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
): Item[] =>
  rs.map((r) => ({ key: `j/${idOf(r.n)}`, value: record(r.n, r.phase), version: r.version as Version }));

const phaseIn = (m: Memory, key: string): string | null => {
  const seen = m.get(key);
  return seen === undefined ? null : decodeJob(JSON.parse(seen.text)).phase;
};

test('a merge keeps every job that anybody knows, and what is over stays over', () => {
  fc.assert(
    fc.property(items, fc.array(items, { minLength: 1, maxLength: 3 }), (inStore, inCopies) => {
      const store = memoryOf(1, itemsOf(inStore));
      const copies = inCopies.map((c) => memoryOf(1, itemsOf(c)));
      for (const r of merge(store, copies)) store.copy.put(r.key, JSON.parse(r.text), 1000 as Version);
      for (const m of copies)
        for (const key of m.keys()) {
          const now = phaseIn(store, key);
          assert.notEqual(now, null, key);
          if (phaseIn(m, key) !== 'active') assert.notEqual(now, 'active', key);
        }
      // Done again it changes nothing: an interrupted rebuild ends the same.
      assert.deepEqual(
        merge(store, copies).filter((r) => phaseIn(store, r.key) === 'active'),
        [],
      );
    }),
  );
});

test('a copy of a later epoch beats the store, whatever the versions', () => {
  const store = memoryOf(1, [{ key: 't/wk-1/0', value: { tries: 9 }, version: 900 as Version }]);
  const copy = memoryOf(2, [{ key: 't/wk-1/0', value: { tries: 2 }, version: 7 as Version }]);
  assert.equal(merge(store, [copy])[0]?.text, '{"tries":2}');
  assert.deepEqual(merge(copy, [store]), []);
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
        led: 3 as Token,
        seen: 4 as Token,
        continuous: true,
        lease: 5,
      };
      const stored: Item[] = pages.map((text, i) => ({
        key: `${pagesOf('x', node)}${i}`,
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
  const copy = new Copy();
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
  assert.equal(contradiction('t/x/0', known, 7 as Version, { b: 2, a: 1 }), null);
  assert.equal(contradiction('t/x/0', known, 8 as Version, { a: 9 }), null);
  assert.equal(contradiction('t/x/0', known, 0 as Version, undefined), null);
  assert.match(contradiction('t/x/0', known, 6 as Version, { a: 1, b: 2 }) ?? '', /was at 7/);
  assert.match(contradiction('t/x/0', known, 7 as Version, '?') ?? '', /another value/);
  assert.match(contradiction('j/x', known, 0 as Version, undefined) ?? '', /gone/);
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
        const floor = nextFloor(last, seen as Token, wall);
        assert.ok(floor > last && floor > seen && Number.isSafeInteger(floor + 2 ** 30));
        assert.ok(nextFloor(0, 0 as Token, wall + 1) > floor || floor > wall * 1024);
      },
    ),
  );
});
