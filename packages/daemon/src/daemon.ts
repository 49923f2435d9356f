/**
 * The command line of a controller node.
 *
 * @module
 */
import type { LeaderComponentFactory, Settings } from '@spurbridge/controller';
import { Command, Option } from 'commander';
import manifest from '../package.json' with { type: 'json' };
import { EXIT_INVALID_USAGE, printErrorLine, printLine, runProgram } from './command-line.js';
import { SettingsError } from './errors.js';
import type { DaemonExtension } from './extension.js';
import { LOG_LEVELS, logLevelOf } from './logging.js';
import { runNode } from './node-process.js';
import { readSettings } from './settings.js';

interface DaemonFlags {
  readonly config: string;
  readonly check?: boolean;
  readonly logLevel?: string;
}

/** Valid settings, and the leader components that the extension created. */
interface ValidatedInput {
  readonly settings: Settings;
  readonly leaderComponents: readonly LeaderComponentFactory[];
}

function createProgram(): Command {
  return new Command('spurbridge')
    .description('Cluster scheduler: one controller node')
    .version(manifest.version)
    .requiredOption('--config <file>', "the platform's settings file (TOML)")
    .option('--check', 'check the settings and exit')
    .addOption(new Option('--log-level <level>', 'least severe level to log').choices([...LOG_LEVELS]));
}

/** Reads the settings file and validates the extension's flags. Prints an error and returns null if they are invalid. */
function readInput<Flags>(
  flags: DaemonFlags & Flags,
  extension: DaemonExtension<Flags> | null,
): ValidatedInput | null {
  try {
    const settings = readSettings(flags.config);
    extension?.validate?.(flags);
    return { settings, leaderComponents: extension?.createLeaderComponents?.(flags) ?? [] };
  } catch (error) {
    if (!(error instanceof SettingsError)) throw error;
    printErrorLine(error.message);
    process.exitCode = EXIT_INVALID_USAGE;
    return null;
  }
}

/**
 * Reads the command line and the settings file, then runs the node until the process is killed. With
 * `--check`, it only reports whether they are valid.
 *
 * @param extension - what the program adds to a controller node, or null
 */
export function runDaemon<Flags>(extension: DaemonExtension<Flags> | null): void {
  const program = createProgram();
  extension?.addOptions(program);
  program.action(async (flags: DaemonFlags & Flags) => {
    const input = readInput(flags, extension);
    if (input === null) return;
    if (flags.check === true) {
      printLine(`settings of ${input.settings.node} are valid`);
      return;
    }
    const logLevel = flags.logLevel ?? logLevelOf(process.env['LOG_LEVEL']);
    await runNode({ ...input, logLevel, extension, flags });
  });
  runProgram(program);
}
