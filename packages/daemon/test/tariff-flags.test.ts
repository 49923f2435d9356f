import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { GOOD } from './good-settings.js';
import type { ProgramResult } from './run-program.js';
import { runProgram } from './run-program.js';

test('the tariff program checks its flags and its file as it does its settings, naming the field', () => {
  const directory = mkdtempSync(join(tmpdir(), 'tariff-'));
  const file = (name: string, text: string): string => {
    writeFileSync(join(directory, name), text);
    return join(directory, name);
  };
  const config = file('settings.toml', GOOD);
  const check = (...flags: string[]): ProgramResult =>
    runProgram('main-tariff', ['--check', '--config', config, ...flags], {
      SPURBRIDGE_TARIFF: '',
      SPURBRIDGE_TARIFF_FEED: '',
    });
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
    rmSync(directory, { recursive: true });
  }
});
