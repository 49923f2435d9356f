import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { GOOD } from './good-settings.js';

test('the tariff program checks its flags and its file as it does its settings, naming the field', () => {
  const folder = mkdtempSync(join(tmpdir(), 'tariff-'));
  const file = (name: string, text: string): string => {
    writeFileSync(join(folder, name), text);
    return join(folder, name);
  };
  const config = file('settings.toml', GOOD);
  const check = (...flags: string[]): { code: number | null; says: string } => {
    const r = spawnSync(
      process.execPath,
      ['--import', 'tsx', 'packages/daemon/src/main-tariff.ts', '--check', '--config', config, ...flags],
      { env: { ...process.env, SPURBRIDGE_TARIFF: '', SPURBRIDGE_TARIFF_FEED: '' } },
    );
    return { code: r.status, says: r.stdout.toString() + r.stderr.toString() };
  };
  try {
    const good = check('--tariff', 'deploy/tariff-example.toml', '--tariff-feed', 'http://127.0.0.1:9/t');
    assert.deepEqual(good, { code: 0, says: 'settings of spur-0 are valid\n' });
    const bad = file(
      'bad.toml',
      'format = 1\nrevision = 1\ntimeZone = "Mars/Olympus"\nissuedAt = 2026-12-01T00:00:00Z\nbase = { price = 1 }\n',
    );
    const refused = check('--tariff', bad);
    assert.equal(refused.code, 2);
    assert.match(refused.says, /^tariff .*bad\.toml: timeZone: expected an IANA time zone/);
    assert.match(check('--tariff-feed', 'ftp://x').says, /^--tariff-feed: expected an http or https URL/);
    assert.match(check().says, /^--tariff or --tariff-feed: expected one of them/);
    assert.match(check('--tariff-carbon', '1.5').says, /--tariff-carbon.*a number from 0 to 1/);
  } finally {
    rmSync(folder, { recursive: true });
  }
});
