import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { test } from 'node:test';
import { VALID_SETTINGS } from './good-settings.js';
import type { ProgramResult } from './run-program.js';
import { runProgram } from './run-program.js';

test('the tariff program validates its flags and its tariff file, and names the invalid field', () => {
  const directory = mkdtempSync(join(tmpdir(), 'tariff-'));
  const file = (name: string, text: string): string => {
    writeFileSync(join(directory, name), text);
    return join(directory, name);
  };
  const config = file('settings.toml', VALID_SETTINGS);
  const check = (...flags: string[]): ProgramResult =>
    runProgram('main-tariff', ['--check', '--config', config, ...flags], {
      SPURBRIDGE_TARIFF: '',
      SPURBRIDGE_TARIFF_FEED: '',
    });
  try {
    const valid = check('--tariff', 'deploy/tariff-example.toml', '--tariff-feed', 'http://127.0.0.1:9/t');
    assert.deepEqual(valid, { code: 0, output: 'settings of spur-0 are valid\n' });
    const invalidFile = file(
      'bad.toml',
      'format = 1\nrevision = 1\ntimeZone = "Mars/Olympus"\nissuedAt = 2026-12-01T00:00:00Z\nbase = { price = 1 }\n',
    );
    const rejected = check('--tariff', invalidFile);
    assert.equal(rejected.code, 2);
    assert.match(rejected.output, /^tariff .*bad\.toml: timeZone: expected an IANA time zone/);
    assert.match(check('--tariff-feed', 'ftp://x').output, /^--tariff-feed: expected an http or https URL/);
    assert.match(check().output, /^--tariff or --tariff-feed: expected at least one of them, got neither/);
    assert.match(check('--tariff-carbon', '1.5').output, /--tariff-carbon.*a number from 0 to 1/);
  } finally {
    rmSync(directory, { recursive: true });
  }
});
