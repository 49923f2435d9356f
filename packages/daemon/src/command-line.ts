/**
 * Functions shared by all programs: output, exit codes and the handling of unexpected errors.
 *
 * @module
 */
import type { Command } from 'commander';

/** Exit code of a command that failed. */
export const EXIT_FAILURE = 1;
/** Exit code of a command whose flags or settings are invalid. */
export const EXIT_INVALID_USAGE = 2;

/** Writes one line to the standard output. */
export function printLine(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** Writes one line to the standard error. */
export function printErrorLine(line: string): void {
  process.stderr.write(`${line}\n`);
}

/** Parses the command line and runs the command. An unexpected error is printed with its stack. */
export function runProgram(program: Command): void {
  program.parseAsync().catch((error: unknown) => {
    printErrorLine(error instanceof Error ? (error.stack ?? error.message) : String(error));
    process.exitCode = EXIT_FAILURE;
  });
}
