/**
 * Runs a program from its sources, as tests of command lines need it.
 *
 * @module
 */
import { spawnSync } from 'node:child_process';

/** How a program ended, and all that it printed. */
export interface ProgramResult {
  readonly code: number | null;
  /** The standard output, followed by the standard error. */
  readonly says: string;
}

/**
 * Runs a program to its end.
 *
 * @param program - name of its main module, without the extension
 * @param environment - variables besides those of this process
 */
export function runProgram(
  program: string,
  programArguments: readonly string[],
  environment: Readonly<Record<string, string>>,
): ProgramResult {
  const result = spawnSync(
    process.execPath,
    ['--import', 'tsx', `packages/daemon/src/${program}.ts`, ...programArguments],
    { env: { ...process.env, ...environment } },
  );
  return { code: result.status, says: result.stdout.toString() + result.stderr.toString() };
}
