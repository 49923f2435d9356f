/**
 * Runs a program from its sources, for tests of command lines.
 *
 * @module
 */
import { spawnSync } from 'node:child_process';

/** Exit code and output of a program. */
export interface ProgramResult {
  readonly code: number | null;
  /** The standard output, followed by the standard error. */
  readonly output: string;
}

/**
 * Runs a program until it exits.
 *
 * @param program - name of its main module, without the extension
 * @param environment - variables that are added to those of this process
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
  return { code: result.status, output: result.stdout.toString() + result.stderr.toString() };
}
