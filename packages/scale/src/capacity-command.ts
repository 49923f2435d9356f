/**
 * The `capacity` command, which prints the tables of docs/CAPACITY.md from the kept runs.
 *
 * @module
 */
import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { Command } from 'commander';
import { capacityTables } from './capacity.js';
import type { ScaleResult } from './results.js';
import type { NamedResult } from './special-run-tables.js';

/** Directory of the kept runs, relative to the root of the repository. */
export const KEPT_RUNS_DIRECTORY = 'docs/capacity';
const RESULT_SUFFIX = '.json';

/** Reads the kept runs of a directory, in the order of their names. */
export function readKeptRuns(directory: string): NamedResult[] {
  return readdirSync(directory)
    .filter((file) => file.endsWith(RESULT_SUFFIX))
    .sort()
    .map((file) => ({
      name: file.slice(0, -RESULT_SUFFIX.length),
      result: JSON.parse(readFileSync(join(directory, file), 'utf8')) as ScaleResult,
    }));
}

/** Builds the `capacity` command, which prints the tables of docs/CAPACITY.md. */
export function capacityCommand(): Command {
  return new Command('capacity')
    .description('fits the slopes of the kept scale runs and prints the tables of docs/CAPACITY.md')
    .action(() => {
      process.stdout.write(`${capacityTables(readKeptRuns(KEPT_RUNS_DIRECTORY))}\n`);
    });
}
