import { readFileSync } from 'node:fs';
import type { ConfigurationChange, FieldChange, RolloutResult, TeamChange } from '@spurbridge/configuration';
import { ConfigurationClient, StaleVersionError, NoNodeAvailableError } from '@spurbridge/configuration';
import { ValidationError } from '@spurbridge/wire';
import { Command, InvalidArgumentError, Option } from 'commander';
import { parseConfigFile } from './config-file.js';

/** How the command ends. */
export const EXIT_CODE = { inForce: 0, unreachable: 1, refused: 2, lagging: 3, stale: 4 } as const;

interface Common {
  readonly node: readonly string[];
  readonly author: string;
  readonly within: number;
  readonly dryRun?: boolean;
  readonly base?: number;
}

function seconds(text: string): number {
  const match = /^(\d+(?:\.\d+)?)s?$/.exec(text);
  if (match === null) throw new InvalidArgumentError('expected seconds, such as 5s');
  return Number(match[1]) * 1000;
}

function amount(text: string): number {
  const value = Number(text);
  if (text === 'none') return Infinity;
  if (text === '' || !Number.isFinite(value) || value < 0)
    throw new InvalidArgumentError('expected an amount of at least 0, or none for a limit');
  return value;
}

function whole(text: string): number {
  if (!/^\d{1,9}$/.test(text)) throw new InvalidArgumentError('expected a whole number');
  return Number(text);
}

function address(text: string, before: readonly string[]): string[] {
  if (!/^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$/.test(text)) throw new InvalidArgumentError('expected IPv4:port');
  return [...before, text];
}

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

function printDifferences(found: readonly FieldChange[]): void {
  for (const d of found) print(`${d.path}: ${d.from} -> ${d.to}`);
}

function printInForce(version: number, { laggingNodes: lagging, elapsedMs: afterMs }: RolloutResult): void {
  if (lagging.length === 0)
    print(`version ${version} is in force everywhere, after ${Math.round(afterMs)} ms`);
  for (const n of lagging)
    print(`${n.node} lags: version ${n.version ?? 'unknown'}, last confirmed ${Math.round(n.ageMs)} ms ago`);
}

function change(changes: readonly ConfigurationChange[], o: Common): Promise<number> {
  return withClient(o, async (client) => {
    const made = await client.apply(changes, o.author, o.dryRun === true, o.base);
    printDifferences(made.differences);
    if (o.dryRun === true) {
      print(`nothing was changed: version ${made.version} holds`);
      return EXIT_CODE.inForce;
    }
    const inForce = await client.waitForRollout(made.version, o.within);
    printInForce(made.version, inForce);
    return inForce.laggingNodes.length === 0 ? EXIT_CODE.inForce : EXIT_CODE.lagging;
  });
}

async function withClient(o: Common, run: (client: ConfigurationClient) => Promise<number>): Promise<number> {
  if (o.node.length === 0) throw new ValidationError('--node', 'at least one node');
  const client = new ConfigurationClient(o.node);
  try {
    return await run(client);
  } finally {
    client.close();
  }
}

async function showStatus(client: ConfigurationClient): Promise<number> {
  const nodes = await client.status();
  const newest = (await client.show()).version;
  for (const n of nodes)
    print(
      `${n.node}: version ${n.version ?? 'unknown'}, confirmed ${Math.round(n.ageMs)} ms ago${n.leads ? ', leads' : ''}`,
    );
  return nodes.every((n) => n.version === newest) ? EXIT_CODE.inForce : EXIT_CODE.lagging;
}

/** Runs what was asked for and turns its failure into a line and an exit code. */
async function guarded(run: () => Promise<number>): Promise<void> {
  try {
    process.exitCode = await run();
  } catch (e) {
    if (!(e instanceof Error)) throw e;
    process.stderr.write(`${e.message}\n`);
    if (e instanceof StaleVersionError) process.exitCode = EXIT_CODE.stale;
    else if (e instanceof NoNodeAvailableError) process.exitCode = EXIT_CODE.unreachable;
    else process.exitCode = EXIT_CODE.refused;
  }
}

/** Nodes that the variable names, for operators who always ask the same. */
const USUAL_NODES: readonly string[] = (process.env['SPURBRIDGE_NODES'] ?? '')
  .split(',')
  .filter((x) => x !== '');

function command(name: string, what: string): Command {
  const node = new Option('--node <address>', 'a controller node, IPv4:port; may be given several times')
    .argParser((text: string, before: readonly string[]) =>
      address(text, before === USUAL_NODES ? [] : before),
    )
    .default(USUAL_NODES, 'SPURBRIDGE_NODES, separated by commas');
  return new Command(name).description(what).addOption(node);
}

function changing(name: string, what: string): Command {
  return command(name, what)
    .option('--author <name>', 'who changes it', process.env['USER'] ?? 'unknown')
    .option('--within <time>', 'wait so long until it is in force everywhere', seconds, 5000)
    .option('--base <version>', 'the version that it changes; by default the newest', whole)
    .option('--dry-run', 'say what would change, and change nothing');
}

interface SetFlags extends Common {
  readonly cpus?: number;
  readonly cpusMax?: number;
  readonly gpus?: number;
  readonly gpusMax?: number;
  readonly retired?: boolean;
}

function teamChange(team: string, o: SetFlags): TeamChange {
  return {
    team,
    ...(o.cpus === undefined ? {} : { cpus: o.cpus }),
    ...(o.cpusMax === undefined ? {} : { cpusMax: o.cpusMax }),
    ...(o.gpus === undefined ? {} : { gpus: o.gpus }),
    ...(o.gpusMax === undefined ? {} : { gpusMax: o.gpusMax }),
    ...(o.retired === undefined ? {} : { isRetired: o.retired }),
  };
}

/** `config`: shows and changes teams and objectives while jobs run (docs/configuration.md). */
export function configCommand(): Command {
  return new Command('config')
    .description('shows and changes the configuration of a running deployment')
    .addCommand(
      command('show', 'the newest version, as JSON').action((o: Common) =>
        guarded(() =>
          withClient(o, async (client) => {
            print(JSON.stringify(await client.show(), null, 1));
            return EXIT_CODE.inForce;
          }),
        ),
      ),
    )
    .addCommand(
      changing('set', 'changes one team, or adds it')
        .argument('<team>')
        .option('--cpus <amount>', 'guaranteed CPUs', amount)
        .option('--cpus-max <amount>', 'limit of CPUs, or none', amount)
        .option('--gpus <amount>', 'guaranteed accelerators', amount)
        .option('--gpus-max <amount>', 'limit of accelerators, or none', amount)
        .option('--retired', 'it takes no new jobs')
        .option('--no-retired', 'it takes new jobs again')
        .action((team: string, o: SetFlags) => guarded(() => change([teamChange(team, o)], o))),
    )
    .addCommand(
      changing('apply', 'makes all changes of a file at once, or none')
        .argument('<file>')
        .action((file: string, o: Common) =>
          guarded(() => change(parseConfigFile(readFileSync(file, 'utf8')), o)),
        ),
    )
    .addCommand(
      command('history', 'who changed what, oldest first').action((o: Common) =>
        guarded(() =>
          withClient(o, async (client) => {
            for (const e of await client.history()) {
              print(`version ${e.version}, ${new Date(e.at).toISOString()}, ${e.author}`);
              printDifferences(e.differences);
              if (e.more > 0) print(`and ${e.more} more`);
            }
            return EXIT_CODE.inForce;
          }),
        ),
      ),
    )
    .addCommand(
      command('status', 'the version in force on each node').action((o: Common) =>
        guarded(() => withClient(o, showStatus)),
      ),
    );
}
