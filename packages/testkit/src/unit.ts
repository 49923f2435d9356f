import { existsSync, readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { tap } from 'node:test/reporters';
import { judgeRun, parseKnownFailures } from './known-failures.js';

/** Runs all tests; those listed in `KNOWN-RED.txt` are run and printed, and only they may fail. */
const KNOWN_RED = 'KNOWN-RED.txt';

const red = existsSync(KNOWN_RED) ? parseKnownFailures(readFileSync(KNOWN_RED, 'utf8')) : [];
const files = readdirSync('packages')
  .map((p) => join('packages', p, 'test'))
  .filter((d) => existsSync(d))
  .flatMap((d) => readdirSync(d).map((f) => join(d, f)))
  .filter((f) => f.endsWith('.test.ts'));
const passed = new Set<string>();
const failed = new Set<string>();
const stream = run({ files, concurrency: true });
stream.on('test:pass', ({ name }) => passed.add(name));
stream.on('test:fail', ({ name }) => failed.add(name));
stream.once('end', () => {
  const { faults, said } = judgeRun(red, { passed, failed });
  for (const line of [...said, ...faults]) process.stdout.write(`# ${line}\n`);
  process.exitCode = faults.length > 0 || passed.size === 0 ? 1 : 0;
});
stream.compose(tap).pipe(process.stdout);
