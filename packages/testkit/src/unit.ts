/**
 * The program behind `npm run unit`: runs the tests of all packages. Only the tests that are listed in `KNOWN-RED.txt`
 * may fail; their results are printed.
 *
 * @module
 */
import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import type { KnownFailure } from './known-failures.js';
import { evaluateRun, parseKnownFailures } from './known-failures.js';

const KNOWN_FAILURES_FILE = 'KNOWN-RED.txt';
const PACKAGES_DIRECTORY = 'packages';
const TEST_SUFFIX = '.test.ts';

function readKnownFailures(): KnownFailure[] {
  if (!existsSync(KNOWN_FAILURES_FILE)) return [];
  return parseKnownFailures(readFileSync(KNOWN_FAILURES_FILE, 'utf8'));
}

function findTestFiles(): string[] {
  return readdirSync(PACKAGES_DIRECTORY)
    .map((name) => join(PACKAGES_DIRECTORY, name, 'test'))
    .filter((directory) => existsSync(directory))
    .flatMap((directory) => readdirSync(directory).map((file) => join(directory, file)))
    .filter((file) => file.endsWith(TEST_SUFFIX));
}

const knownFailures = readKnownFailures();
const passed = new Set<string>();
const failed = new Set<string>();
const stream = run({ files: findTestFiles(), concurrency: true });
stream.on('test:pass', ({ name }) => passed.add(name));
stream.on('test:fail', ({ name }) => failed.add(name));
stream.once('end', () => {
  const { faults, reportLines } = evaluateRun(knownFailures, { passed, failed });
  for (const line of [...reportLines, ...faults]) process.stdout.write(`# ${line}\n`);
  process.exitCode = faults.length > 0 || passed.size === 0 ? 1 : 0;
});
stream.compose(tap).pipe(process.stdout);
