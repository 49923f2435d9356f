/**
 * The operators' command that takes, lists, verifies and restores snapshots of the key-value store.
 *
 * @module
 */
import { readFile } from 'node:fs/promises';
import { basename } from 'node:path';
import type { WallClockMs } from '@spurbridge/model';
import { monotonicClock } from '@spurbridge/net';
import type { SnapshotToolOptions } from '@spurbridge/snapshot';
import {
  FileSystemSnapshotDirectory,
  SnapshotFormatError,
  SnapshotRepository,
  SnapshotToolError,
  decodeSnapshot,
  previewRestore,
  restoreSnapshot,
  snapshotName,
  takeSnapshot,
} from '@spurbridge/snapshot';
import { HttpKeyValueStore } from '@spurbridge/store';
import { Command } from 'commander';
import manifest from '../package.json' with { type: 'json' };
import { EXIT_FAILURE, EXIT_INVALID_USAGE, printErrorLine, printLine } from './command-line.js';
import { SettingsError, messageOf } from './errors.js';
import { readSettings } from './settings.js';
import { printInspections, printRestoreDifference } from './snapshot-tool-output.js';

const RESTORE_TIMEOUT_MS = 30_000;
/** Used in place of a node's name in the file names of snapshots that this command takes. */
const COMMAND_NODE_NAME = 'command';

interface DirectoryFlags {
  readonly dir: string;
}

interface WriteFlags extends DirectoryFlags {
  readonly config: string;
}

interface RestoreFlags {
  readonly config: string;
  readonly dryRun?: boolean;
  readonly deployment?: string;
}

/** Runs a command; prints an expected error as one line and sets the exit code. */
async function reportErrors(run: () => Promise<void>): Promise<void> {
  try {
    await run();
  } catch (error) {
    const isInvalidUsage = error instanceof SettingsError;
    const isFailure = error instanceof SnapshotFormatError || error instanceof SnapshotToolError;
    if (!isInvalidUsage && !isFailure) throw error;
    printErrorLine(error.message);
    process.exitCode = isInvalidUsage ? EXIT_INVALID_USAGE : EXIT_FAILURE;
  }
}

function toolOptions(settingsPath: string): SnapshotToolOptions {
  const settings = readSettings(settingsPath);
  return {
    underlyingStore: new HttpKeyValueStore(settings.storeAddress, settings.storeLimits, monotonicClock),
    clock: monotonicClock,
    wallNow: () => Date.now() as WallClockMs,
    valueKb: settings.storeLimits.valueKb,
    controllerCount: settings.peers.length + 1,
    log: {
      info: (fields, message) => {
        printLine(`${message}: ${JSON.stringify(fields)}`);
      },
    },
  };
}

async function writeSnapshot(flags: WriteFlags): Promise<void> {
  const taken = await takeSnapshot(toolOptions(flags.config));
  const name = snapshotName(taken, COMMAND_NODE_NAME);
  await new FileSystemSnapshotDirectory(flags.dir).write(name, taken.bytes);
  printLine(`${name}  ${taken.bytes.length} bytes`);
}

async function inspectSnapshots(flags: DirectoryFlags, verifyContents: boolean): Promise<void> {
  const directory = new FileSystemSnapshotDirectory(flags.dir);
  const repository = new SnapshotRepository(directory, () => undefined);
  const inspections = await repository.inspect(verifyContents);
  const unusableCount = printInspections(inspections, verifyContents);
  if (verifyContents && unusableCount > 0) process.exitCode = EXIT_FAILURE;
}

async function readSnapshotFile(path: string): Promise<Buffer> {
  try {
    return await readFile(path);
  } catch (error) {
    throw new SettingsError(`${basename(path)}: ${messageOf(error)}`, { cause: error });
  }
}

async function restoreFile(path: string, flags: RestoreFlags): Promise<void> {
  const snapshot = decodeSnapshot(await readSnapshotFile(path));
  const options = toolOptions(flags.config);
  const acceptedDeployment = flags.deployment ?? null;
  if (flags.dryRun === true)
    printRestoreDifference(await previewRestore(options, snapshot, acceptedDeployment), 'would be');
  else
    printRestoreDifference(
      await restoreSnapshot(options, snapshot, RESTORE_TIMEOUT_MS, acceptedDeployment),
      'was',
    );
}

function writeCommand(): Command {
  return new Command('write')
    .description('take a snapshot of the state service now')
    .requiredOption('--config <file>', "the platform's settings file (TOML)")
    .requiredOption('--dir <directory>', 'directory to write it to')
    .action((flags: WriteFlags) => reportErrors(() => writeSnapshot(flags)));
}

function listCommand(): Command {
  return new Command('list')
    .description('list the snapshots by name, newest last')
    .requiredOption('--dir <directory>', 'directory that stores the snapshots')
    .action((flags: DirectoryFlags) => inspectSnapshots(flags, false));
}

function verifyCommand(): Command {
  return new Command('verify')
    .description('read and verify every snapshot; exit with 1 if one is unusable')
    .requiredOption('--dir <directory>', 'directory that stores the snapshots')
    .action((flags: DirectoryFlags) => inspectSnapshots(flags, true));
}

function restoreCommand(): Command {
  return new Command('restore')
    .argument('<file>')
    .description('restore the records that the state service lacks or has in an older version')
    .requiredOption('--config <file>', "the platform's settings file (TOML)")
    .option('--dry-run', 'print what would change without restoring it')
    .option(
      '--deployment <id>',
      'accept a snapshot of this deployment although the state service belongs to another one',
    )
    .action((path: string, flags: RestoreFlags) => reportErrors(() => restoreFile(path, flags)));
}

/** Creates the command with its subcommands `write`, `list`, `verify` and `restore`. */
export function snapshotToolCommand(): Command {
  return new Command('spurbridge-snapshot-tool')
    .description('Snapshots of the state service: docs/state-loss-operators.md')
    .version(manifest.version)
    .addCommand(writeCommand())
    .addCommand(listCommand())
    .addCommand(verifyCommand())
    .addCommand(restoreCommand());
}
