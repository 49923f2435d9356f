/**
 * The actions of the configuration command, each of which returns an exit code.
 *
 * @module
 */
import type { ConfigurationChange, TeamChange } from '@spurbridge/configuration';
import { ConfigurationClient, NoNodeAvailableError, StaleVersionError } from '@spurbridge/configuration';
import { ValidationError } from '@spurbridge/wire';
import { printErrorLine, printLine } from './command-line.js';
import { printFieldChanges, printHistoryEntry, printNodeVersions, printRollout } from './config-output.js';

/** Exit codes of the command (docs/configuration.md). */
const EXIT_CODE = { inForce: 0, unreachable: 1, refused: 2, lagging: 3, stale: 4 } as const;

const JSON_INDENT = 1;

/** Flags of all subcommands. */
export interface NodeFlags {
  /** Addresses of controller nodes. */
  readonly node: readonly string[];
}

/** Flags of the subcommands that change the configuration. */
export interface ChangeFlags extends NodeFlags {
  readonly author: string;
  /** How long to wait until the change is in force everywhere, in milliseconds. */
  readonly within: number;
  readonly dryRun?: boolean;
  /** The version that the change is based on; by default the newest. */
  readonly base?: number;
}

/** Flags of `set`. */
export interface SetFlags extends ChangeFlags {
  readonly cpus?: number;
  readonly cpusMax?: number;
  readonly gpus?: number;
  readonly gpusMax?: number;
  readonly retired?: boolean;
}

function exitCodeOf(error: Error): number {
  if (error instanceof StaleVersionError) return EXIT_CODE.stale;
  if (error instanceof NoNodeAvailableError) return EXIT_CODE.unreachable;
  return EXIT_CODE.refused;
}

/** Runs an action and sets the exit code. An error is printed as one line and mapped to its exit code. */
export async function runAction(action: () => Promise<number>): Promise<void> {
  try {
    process.exitCode = await action();
  } catch (error) {
    if (!(error instanceof Error)) throw error;
    printErrorLine(error.message);
    process.exitCode = exitCodeOf(error);
  }
}

async function withClient(
  { node }: NodeFlags,
  action: (client: ConfigurationClient) => Promise<number>,
): Promise<number> {
  if (node.length === 0) throw new ValidationError('--node', 'at least one node address');
  const client = new ConfigurationClient(node);
  try {
    return await action(client);
  } finally {
    client.close();
  }
}

/** Commits changes and waits until they are in force everywhere, or only reports them with `--dry-run`. */
export function applyAndWait(changes: readonly ConfigurationChange[], flags: ChangeFlags): Promise<number> {
  const isDryRun = flags.dryRun === true;
  return withClient(flags, async (client) => {
    const applied = await client.apply(changes, flags.author, isDryRun, flags.base);
    printFieldChanges(applied.differences);
    if (isDryRun) {
      printLine(`nothing was changed: version ${applied.version} holds`);
      return EXIT_CODE.inForce;
    }
    const rollout = await client.waitForRollout(applied.version, flags.within);
    printRollout(applied.version, rollout);
    return rollout.laggingNodes.length === 0 ? EXIT_CODE.inForce : EXIT_CODE.lagging;
  });
}

/** The change that the flags of `set` describe. */
export function teamChangeOf(team: string, flags: SetFlags): TeamChange {
  return {
    team,
    ...(flags.cpus === undefined ? {} : { cpus: flags.cpus }),
    ...(flags.cpusMax === undefined ? {} : { cpusMax: flags.cpusMax }),
    ...(flags.gpus === undefined ? {} : { gpus: flags.gpus }),
    ...(flags.gpusMax === undefined ? {} : { gpusMax: flags.gpusMax }),
    ...(flags.retired === undefined ? {} : { isRetired: flags.retired }),
  };
}

/** Prints the newest configuration as JSON. */
export function showConfiguration(flags: NodeFlags): Promise<number> {
  return withClient(flags, async (client) => {
    printLine(JSON.stringify(await client.show(), null, JSON_INDENT));
    return EXIT_CODE.inForce;
  });
}

/** Prints the history of changes. */
export function showHistory(flags: NodeFlags): Promise<number> {
  return withClient(flags, async (client) => {
    for (const entry of await client.history()) printHistoryEntry(entry);
    return EXIT_CODE.inForce;
  });
}

/** Prints the version on each node; the exit code shows whether all nodes have the newest one. */
export function showStatus(flags: NodeFlags): Promise<number> {
  return withClient(flags, async (client) => {
    const nodes = await client.status();
    const newestVersion = (await client.show()).version;
    printNodeVersions(nodes);
    const isCurrent = nodes.every((node) => node.version === newestVersion);
    return isCurrent ? EXIT_CODE.inForce : EXIT_CODE.lagging;
  });
}
