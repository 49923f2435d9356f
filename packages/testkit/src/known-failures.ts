/**
 * Tests that may fail: the file `KNOWN-RED.txt`, and how a run is judged by it.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** A test that fails for a real fault not mended yet: one line of the file, "test | cause | issue N". */
export interface KnownFailure {
  readonly test: string;
  readonly cause: string;
  readonly issue: number;
}

/** At most this many tests may be listed at once. */
export const MAX_KNOWN_FAILURES = 3;

/** A line of the file is wrong. */
export class KnownFailuresFormatError extends SpurbridgeError {
  constructor(
    readonly line: number,
    readonly defect: string,
  ) {
    super('KNOWN_FAILURES_FORMAT', `KNOWN-RED.txt:${line}: ${defect}`);
  }
}

/** What came of every test, by its name; of several with one name, all must have passed. */
export interface TestResults {
  readonly passed: ReadonlySet<string>;
  readonly failed: ReadonlySet<string>;
}

/** How a run is judged. */
export interface RunVerdict {
  /** What makes the run fail. */
  readonly faults: string[];
  /** A line to be printed for each listed test. */
  readonly said: string[];
}

/**
 * Reads the file; blank lines and those that begin with # say nothing.
 *
 * @throws KnownFailuresFormatError naming the line and what is wrong with it
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const found: KnownFailure[] = [];
  for (const [index, line] of text.split('\n').entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue;
    const known = parseLine(line, index + 1);
    if (found.some(({ test }) => test === known.test))
      throw new KnownFailuresFormatError(index + 1, 'the test is listed twice');
    found.push(known);
    if (found.length > MAX_KNOWN_FAILURES)
      throw new KnownFailuresFormatError(index + 1, `more than ${MAX_KNOWN_FAILURES} tests are red`);
  }
  return found;
}

/** Every listed test must have been run, and no other may have failed. */
export function judgeRun(known: readonly KnownFailure[], { passed, failed }: TestResults): RunVerdict {
  const faults: string[] = [];
  const said: string[] = [];
  for (const { test, cause, issue } of known) {
    if (!passed.has(test) && !failed.has(test))
      faults.push(`KNOWN-RED.txt lists no test of this run: ${test}`);
    else
      said.push(`known red, ${failed.has(test) ? 'failed' : 'passed'}: ${test} (${cause}; issue ${issue})`);
  }
  for (const test of failed)
    if (!known.some((listed) => listed.test === test)) faults.push(`failed: ${test}`);
  return { faults, said };
}

function parseLine(text: string, line: number): KnownFailure {
  const [test = '', cause = '', issue = '', ...rest] = text.split('|').map((field) => field.trim());
  if (test === '') throw new KnownFailuresFormatError(line, 'the test is missing');
  if (cause === '') throw new KnownFailuresFormatError(line, 'the cause is missing');
  const number = /^issue (\d+)$/.exec(issue)?.[1];
  if (number === undefined) throw new KnownFailuresFormatError(line, 'the issue is missing ("issue N")');
  if (rest.length > 0) throw new KnownFailuresFormatError(line, 'there is more than test, cause and issue');
  return { test, cause, issue: Number(number) };
}
