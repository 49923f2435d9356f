import { readFileSync, readdirSync } from 'node:fs';
import { join } from 'node:path';
import { Command } from 'commander';
import type { NamedResult } from './capacity.js';
import { capacityTables } from './capacity.js';
import type { ScaleResult } from './results.js';

export const KEPT_RUNS = 'docs/capacity';
const SUFFIX = '.json';

/** The kept runs, by name. */
export function keptRuns(folder: string): NamedResult[] {
  return readdirSync(folder)
    .filter((file) => file.endsWith(SUFFIX))
    .sort()
    .map((file) => ({
      name: file.slice(0, -SUFFIX.length),
      result: JSON.parse(readFileSync(join(folder, file), 'utf8')) as ScaleResult,
    }));
}

/** `capacity`: prints the tables of docs/CAPACITY.md. */
export function capacityCommand(): Command {
  return new Command('capacity')
    .description('fits the slopes of the kept scale runs and prints the tables of docs/CAPACITY.md')
    .action(() => {
      process.stdout.write(`${capacityTables(keptRuns(KEPT_RUNS))}\n`);
    });
}
