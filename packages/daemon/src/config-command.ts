/**
 * The operators' command that shows and changes teams and objectives while jobs run (docs/configuration.md).
 *
 * @module
 */
import { readFileSync } from 'node:fs';
import { Command, Option } from 'commander';
import type { ChangeFlags, NodeFlags, SetFlags } from './config-actions.js';
import {
  applyAndWait,
  runAction,
  showConfiguration,
  showHistory,
  showStatus,
  teamChangeOf,
} from './config-actions.js';
import { appendAddress, parseAmount, parseDurationMs, parseVersion } from './config-arguments.js';
import { parseConfigFile } from './config-file.js';

const DEFAULT_ROLLOUT_TIMEOUT_MS = 5000;
const UNKNOWN_AUTHOR = 'unknown';

/** Addresses from the environment, used if `--node` is not given. */
const DEFAULT_NODES: readonly string[] = (process.env['SPURBRIDGE_NODES'] ?? '')
  .split(',')
  .filter((address) => address !== '');

function nodeOption(): Option {
  return new Option('--node <address>', 'address of a controller node, IPv4:port; may be repeated')
    .argParser((text: string, previous: readonly string[]) =>
      // The first address replaces the default ones, further ones are appended.
      appendAddress(text, previous === DEFAULT_NODES ? [] : previous),
    )
    .default(DEFAULT_NODES, 'SPURBRIDGE_NODES, separated by commas');
}

function subcommand(name: string, description: string): Command {
  return new Command(name).description(description).addOption(nodeOption());
}

function changeSubcommand(name: string, description: string): Command {
  return subcommand(name, description)
    .option('--author <name>', 'author recorded in the history', process.env['USER'] ?? UNKNOWN_AUTHOR)
    .option(
      '--within <time>',
      'how long to wait until the change is in force on all nodes',
      parseDurationMs,
      DEFAULT_ROLLOUT_TIMEOUT_MS,
    )
    .option('--base <version>', 'version that the change is based on; by default the newest', parseVersion)
    .option('--dry-run', 'print the changes without committing them');
}

function showCommand(): Command {
  return subcommand('show', 'prints the newest version as JSON').action((flags: NodeFlags) =>
    runAction(() => showConfiguration(flags)),
  );
}

function setCommand(): Command {
  return changeSubcommand('set', 'changes or adds one team')
    .argument('<team>')
    .option('--cpus <amount>', 'guaranteed CPUs', parseAmount)
    .option('--cpus-max <amount>', 'limit of CPUs, or none for no limit', parseAmount)
    .option('--gpus <amount>', 'guaranteed accelerators', parseAmount)
    .option('--gpus-max <amount>', 'limit of accelerators, or none for no limit', parseAmount)
    .option('--retired', 'the team may submit no new jobs')
    .option('--no-retired', 'the team may submit new jobs again')
    .action((team: string, flags: SetFlags) =>
      runAction(() => applyAndWait([teamChangeOf(team, flags)], flags)),
    );
}

function applyCommand(): Command {
  return changeSubcommand('apply', 'commits all changes of a file together, or none of them')
    .argument('<file>')
    .action((path: string, flags: ChangeFlags) =>
      runAction(() => applyAndWait(parseConfigFile(readFileSync(path, 'utf8')), flags)),
    );
}

function historyCommand(): Command {
  return subcommand('history', 'prints who changed what, oldest change first').action((flags: NodeFlags) =>
    runAction(() => showHistory(flags)),
  );
}

function statusCommand(): Command {
  return subcommand('status', 'prints the version in force on each node').action((flags: NodeFlags) =>
    runAction(() => showStatus(flags)),
  );
}

/** Creates the command with its subcommands `show`, `set`, `apply`, `history` and `status`. */
export function configCommand(): Command {
  return new Command('config')
    .description('shows and changes the configuration of a running deployment')
    .addCommand(showCommand())
    .addCommand(setCommand())
    .addCommand(applyCommand())
    .addCommand(historyCommand())
    .addCommand(statusCommand());
}
