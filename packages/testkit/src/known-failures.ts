/**
 * Known failures: parses the tests listed in `KNOWN-RED.txt` and evaluates a test run against this list.
 *
 * @module
 */
import { SpurbridgeError } from '@spurbridge/wire';

/** A test that fails because of a known fault: one line of the file, "test | cause | issue N". */
export interface KnownFailure {
  readonly test: string;
  readonly cause: string;
  readonly issue: number;
}

/** The maximum number of listed tests. */
export const MAX_KNOWN_FAILURES = 3;

/** A line of the file is malformed. */
export class KnownFailuresFormatError extends SpurbridgeError {
  constructor(
    readonly line: number,
    readonly defect: string,
  ) {
    super('KNOWN_FAILURES_FORMAT', `KNOWN-RED.txt:${line}: ${defect}`);
  }
}

/** The outcome of every test by name; if several tests share a name, all must have passed. */
export interface TestResults {
  readonly passed: ReadonlySet<string>;
  readonly failed: ReadonlySet<string>;
}

/** The verdict on a test run. */
export interface RunVerdict {
  /** The reasons why the run fails. */
  readonly faults: string[];
  /** A line to be printed for each listed test. */
  readonly reportLines: string[];
}

/**
 * Parses the file; blank lines and lines that begin with # are ignored.
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
      throw new KnownFailuresFormatError(
        index + 1,
        `expected at most ${MAX_KNOWN_FAILURES} listed tests, this is number ${found.length}`,
      );
  }
  return found;
}

/** Every listed test must have been run, and no other test may have failed. */
export function evaluateRun(known: readonly KnownFailure[], { passed, failed }: TestResults): RunVerdict {
  const faults: string[] = [];
  const reportLines: string[] = [];
  for (const { test, cause, issue } of known) {
    if (!passed.has(test) && !failed.has(test))
      faults.push(`test listed in KNOWN-RED.txt was not run: ${test}`);
    else
      reportLines.push(
        `known red, ${failed.has(test) ? 'failed' : 'passed'}: ${test} (${cause}; issue ${issue})`,
      );
  }
  for (const test of failed)
    if (!known.some((listed) => listed.test === test)) faults.push(`failed: ${test}`);
  return { faults, reportLines };
}

function parseLine(text: string, line: number): KnownFailure {
  const [test = '', cause = '', issue = '', ...rest] = text.split('|').map((field) => field.trim());
  if (test === '') throw new KnownFailuresFormatError(line, 'the test is missing');
  if (cause === '') throw new KnownFailuresFormatError(line, 'the cause is missing');
  const number = /^issue (\d+)$/.exec(issue)?.[1];
  if (number === undefined) throw new KnownFailuresFormatError(line, 'the issue is missing ("issue N")');
  if (rest.length > 0)
    throw new KnownFailuresFormatError(
      line,
      `expected 3 fields (test, cause, issue), got ${3 + rest.length}`,
    );
  return { test, cause, issue: Number(number) };
}
