/** A test that fails for a real fault not mended yet: one line of `KNOWN-RED.txt`, "test | cause | issue N". */
export interface KnownFailure {
  readonly test: string;
  readonly cause: string;
  readonly issue: number;
}

/** So many may be red at once. */
export const MAX_KNOWN_FAILURES = 3;

/**
 * Reads the file; blank lines and those that begin with # say nothing.
 *
 * @throws Error naming the line and the field that is wrong
 */
export function parseKnownFailures(text: string): KnownFailure[] {
  const found: KnownFailure[] = [];
  for (const [i, line] of text.split('\n').entries()) {
    if (line.trim() === '' || line.startsWith('#')) continue;
    const [test = '', cause = '', issue = '', ...rest] = line.split('|').map((f) => f.trim());
    const wrong = (field: string): Error => new Error(`KNOWN-RED.txt:${i + 1}: ${field}`);
    if (test === '') throw wrong('the test is missing');
    if (cause === '') throw wrong('the cause is missing');
    const number = /^issue (\d+)$/.exec(issue)?.[1];
    if (number === undefined) throw wrong('the issue is missing ("issue N")');
    if (rest.length > 0) throw wrong('there is more than test, cause and issue');
    if (found.some((k) => k.test === test)) throw wrong('the test is listed twice');
    found.push({ test, cause, issue: Number(number) });
    if (found.length > MAX_KNOWN_FAILURES) throw wrong(`more than ${MAX_KNOWN_FAILURES} tests are red`);
  }
  return found;
}

/** What came of every test, by its name; of several with one name, all must have passed. */
export interface TestResults {
  readonly passed: ReadonlySet<string>;
  readonly failed: ReadonlySet<string>;
}

/** What makes the run fail beside what is listed, and a line to be printed for each that is. */
export function judgeRun(
  red: readonly KnownFailure[],
  { passed, failed }: TestResults,
): { readonly faults: string[]; readonly said: string[] } {
  const faults: string[] = [];
  const said: string[] = [];
  for (const { test, cause, issue } of red) {
    if (!passed.has(test) && !failed.has(test))
      faults.push(`KNOWN-RED.txt lists no test of this run: ${test}`);
    else
      said.push(`known red, ${failed.has(test) ? 'failed' : 'passed'}: ${test} (${cause}; issue ${issue})`);
  }
  for (const test of failed) if (!red.some((k) => k.test === test)) faults.push(`failed: ${test}`);
  return { faults, said };
}
