import assert from 'node:assert/strict';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import fc from 'fast-check';
import type { Revision, Version } from '@spurbridge/wire';
import {
  SnapshotFormatError,
  FileSystemSnapshotDirectory,
  SnapshotRepository,
  decodeSnapshot,
  encodeSnapshot,
  snapshotName,
} from '../src/index.js';

const origin = (revision: number, deployment = 'ours') => ({
  deployment,
  epoch: 2,
  revision: revision as Revision,
  takenAt: 1_700_000_000_000,
});
const entries = [['j/wk-1', { version: 4 as Version, text: '{"phase":"active"}' }]] as const;

test('decodeSnapshot reads back an encoded snapshot and rejects every damaged or missing byte', () => {
  fc.assert(
    fc.property(
      fc.dictionary(fc.string({ minLength: 1 }), fc.record({ version: fc.nat(), text: fc.json() })),
      fc.nat(),
      fc.integer({ min: 1, max: 255 }),
      (records, position, mask) => {
        const expected = Object.entries(records).map(
          ([key, { version, text }]) => [key, { version: version as Version, text }] as const,
        );
        const bytes = encodeSnapshot(origin(9), expected);
        const decoded = decodeSnapshot(bytes);
        assert.deepEqual(
          new Map([...decoded.keys()].map((key) => [key, decoded.get(key)])),
          new Map(expected),
        );
        const damaged = Buffer.from(bytes);
        const at = bytes.indexOf('\n') + 1 + (position % (bytes.length - bytes.indexOf('\n') - 1));
        damaged[at] = (damaged[at] ?? 0) ^ mask;
        assert.throws(() => decodeSnapshot(damaged), SnapshotFormatError);
        assert.throws(() => decodeSnapshot(bytes.subarray(0, bytes.length - 1)), SnapshotFormatError);
      },
    ),
  );
});

test('decodeSnapshot rejects another format, a later version or a missing field, and names the field', () => {
  const withHeaderFields = (fields: Record<string, unknown>): Buffer => {
    const bytes = encodeSnapshot(origin(9), entries);
    const end = bytes.indexOf('\n');
    const header = { ...(JSON.parse(bytes.subarray(0, end).toString()) as object), ...fields };
    return Buffer.concat([Buffer.from(JSON.stringify(header)), bytes.subarray(end)]);
  };
  assert.throws(() => decodeSnapshot(Buffer.from('hello')), /not a snapshot/);
  assert.throws(() => decodeSnapshot(withHeaderFields({ format: 'other' })), /format/);
  assert.throws(() => decodeSnapshot(withHeaderFields({ version: 2 })), /version/);
  assert.throws(() => decodeSnapshot(withHeaderFields({ deployment: null })), /deployment/);
  assert.throws(() => decodeSnapshot(withHeaderFields({ records: 7 })), /records: expected 7/);
});

test('a repository returns the newest valid snapshot of the deployment and limits the number of snapshots', async () => {
  const path = await mkdtemp(join(tmpdir(), 'snapshots-'));
  try {
    const rejected: string[] = [];
    const repository = new SnapshotRepository(new FileSystemSnapshotDirectory(path), (name, reason) =>
      rejected.push(`${name}: ${reason}`),
    );
    assert.equal(await repository.latest(null), null);
    for (const revision of [5, 40, 300])
      await repository.save(
        snapshotName(origin(revision), 'spur-0'),
        encodeSnapshot(origin(revision), entries),
        9,
      );
    await repository.save(
      snapshotName(origin(4000), 'x'),
      encodeSnapshot(origin(4000, 'theirs'), entries),
      9,
    );
    await writeFile(join(path, snapshotName(origin(5000), 'y')), 'cut short');
    assert.equal((await repository.latest('ours'))?.revision, 300);
    assert.match(rejected.join('\n'), /no header[^]*deployment theirs, not ours/);
    assert.equal((await repository.inspect(true)).filter((inspection) => 'wrong' in inspection).length, 1);
    await repository.save(snapshotName(origin(6000), 'z'), encodeSnapshot(origin(6000), entries), 2);
    assert.equal((await repository.inspect(false)).length, 2);
    assert.equal((await repository.latest('ours'))?.revision, 6000);
  } finally {
    await rm(path, { recursive: true });
  }
});
