import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { encodeSnapshot, snapshotName } from '@spurbridge/snapshot';
import type { Revision, Version } from '@spurbridge/wire';
import { GOOD } from './good-settings.js';

function run(program: string, ...args: string[]): { code: number | null; says: string } {
  const r = spawnSync(process.execPath, ['--import', 'tsx', `packages/daemon/src/${program}.ts`, ...args], {
    env: { ...process.env, SPURBRIDGE_SNAPSHOT_DIR: '' },
  });
  return { code: r.status, says: r.stdout.toString() + r.stderr.toString() };
}

test('programs of snapshots name what is wrong, and tell good snapshots from bad ones', () => {
  const folder = mkdtempSync(join(tmpdir(), 'shelf-'));
  try {
    const config = join(folder, 'settings.toml');
    writeFileSync(config, GOOD);
    const check = (...flags: string[]): { code: number | null; says: string } =>
      run('main-snapshots', '--check', '--config', config, ...flags);
    assert.deepEqual(check('--snapshot-dir', folder), { code: 0, says: 'settings of spur-0 are valid\n' });
    assert.equal(check().code, 2);
    assert.match(check().says, /^--snapshot-dir: expected a directory/);
    assert.match(check('--snapshot-dir', folder, '--snapshot-every-s', '0').says, /a number from 1 to 86400/);

    const head = { deployment: 'ours', epoch: 1, revision: 7 as Revision, takenAt: 1_700_000_000_000 };
    const file = join(folder, snapshotName(head, 'spur-0'));
    const bytes = encodeSnapshot(head, [['j/wk-1', { version: 3 as Version, text: '{}' }]]);
    writeFileSync(file, bytes);
    assert.deepEqual([run('main-snapshot-tool', 'verify', '--dir', folder).code], [0]);
    writeFileSync(
      join(folder, snapshotName({ epoch: 1, revision: 9 as Revision }, 'x')),
      bytes.subarray(0, bytes.length - 2),
    );
    const verified = run('main-snapshot-tool', 'verify', '--dir', folder);
    assert.equal(verified.code, 1);
    assert.match(verified.says, /1 records.*whole\n.*unusable: the checksum[^]*1 usable, 1 unusable/);
    const missing = run('main-snapshot-tool', 'restore', join(folder, 'none'), '--config', config);
    assert.deepEqual([missing.code, /^none: /.test(missing.says)], [2, true]);
    // Nothing listens where the settings say that the state service is.
    const unanswered = run('main-snapshot-tool', 'write', '--config', config, '--dir', folder);
    assert.deepEqual(unanswered, { code: 1, says: 'the state service does not answer\n' });
  } finally {
    rmSync(folder, { recursive: true });
  }
});
