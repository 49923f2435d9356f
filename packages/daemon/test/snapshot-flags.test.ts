import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { encodeSnapshot, snapshotName } from '@spurbridge/snapshot';
import type { Revision, Version } from '@spurbridge/wire';
import { VALID_SETTINGS } from './good-settings.js';
import type { ProgramResult } from './run-program.js';
import { runProgram } from './run-program.js';

function run(program: string, ...programArguments: string[]): ProgramResult {
  return runProgram(program, programArguments, { SPURBRIDGE_SNAPSHOT_DIR: '' });
}

test('the snapshot programs name invalid flags and files, and distinguish usable from unusable snapshots', () => {
  const directory = mkdtempSync(join(tmpdir(), 'snapshots-'));
  try {
    const config = join(directory, 'settings.toml');
    writeFileSync(config, VALID_SETTINGS);
    const check = (...flags: string[]): ProgramResult =>
      run('main-snapshots', '--check', '--config', config, ...flags);
    assert.deepEqual(check('--snapshot-dir', directory), {
      code: 0,
      output: 'settings of spur-0 are valid\n',
    });
    assert.equal(check().code, 2);
    assert.match(check().output, /^--snapshot-dir: expected a directory/);
    assert.match(
      check('--snapshot-dir', directory, '--snapshot-every-s', '0').output,
      /a number from 1 to 86400/,
    );

    const origin = { deployment: 'ours', epoch: 1, revision: 7 as Revision, takenAt: 1_700_000_000_000 };
    const file = join(directory, snapshotName(origin, 'spur-0'));
    const bytes = encodeSnapshot(origin, [['j/wk-1', { version: 3 as Version, text: '{}' }]]);
    writeFileSync(file, bytes);
    assert.deepEqual([run('main-snapshot-tool', 'verify', '--dir', directory).code], [0]);
    writeFileSync(
      join(directory, snapshotName({ epoch: 1, revision: 9 as Revision }, 'x')),
      bytes.subarray(0, bytes.length - 2),
    );
    const verified = run('main-snapshot-tool', 'verify', '--dir', directory);
    assert.equal(verified.code, 1);
    assert.match(verified.output, /1 records.*whole\n.*unusable: the checksum[^]*1 usable, 1 unusable/);
    const missing = run('main-snapshot-tool', 'restore', join(directory, 'none'), '--config', config);
    assert.deepEqual([missing.code, /^none: /.test(missing.output)], [2, true]);
    // No process listens at the state service's address in the settings.
    const unreachable = run('main-snapshot-tool', 'write', '--config', config, '--dir', directory);
    assert.deepEqual(unreachable, { code: 1, output: 'the state service does not answer\n' });
  } finally {
    rmSync(directory, { recursive: true });
  }
});
