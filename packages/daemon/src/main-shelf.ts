import { readFile } from 'node:fs/promises';
import { basename } from 'node:path';
import type { WallClockMs } from '@spurbridge/model';
import { monotonicClock } from '@spurbridge/net';
import type { RestoreDifference, SnapshotToolOptions } from '@spurbridge/snapshot';
import {
  SnapshotFormatError,
  FileSystemSnapshotDirectory,
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
import { SettingsError, readSettings } from './settings.js';

const SHOWN = 20;
const PATIENCE_MS = 30_000;

function print(line: string): void {
  process.stdout.write(`${line}\n`);
}

/** 1: what was asked for did not come about; 2: the call itself is wrong. */
function failed(e: unknown): void {
  if (!(e instanceof SnapshotFormatError || e instanceof SnapshotToolError || e instanceof SettingsError))
    throw e;
  process.stderr.write(`${e.message}\n`);
  process.exitCode = e instanceof SettingsError ? 2 : 1;
}

function toolsOf(config: string): SnapshotToolOptions {
  const settings = readSettings(config);
  return {
    raw: new HttpKeyValueStore(settings.storeAddress, settings.storeLimits, monotonicClock),
    clock: monotonicClock,
    wallNow: () => Date.now() as WallClockMs,
    valueKb: settings.storeLimits.valueKb,
    controllerCount: settings.peers.length + 1,
    log: {
      info: (fields, message) => {
        print(`${message}: ${JSON.stringify(fields)}`);
      },
    },
  };
}

function show(d: RestoreDifference, done: boolean): void {
  const verb = done ? 'was' : 'would be';
  for (const [what, keys] of [
    ['added', d.addedKeys],
    ['replaced', d.replacedKeys],
  ] as const) {
    print(`${keys.length} records ${verb} ${what}${keys.length === 0 ? '' : ':'}`);
    for (const key of keys.slice(0, SHOWN)) print(`  ${key}`);
    if (keys.length > SHOWN) print(`  and ${keys.length - SHOWN} more`);
  }
  print(`${d.keptCount} records stay as they are`);
}

async function list(directory: string, whole: boolean): Promise<void> {
  const shelf = new SnapshotRepository(new FileSystemSnapshotDirectory(directory), () => undefined);
  const verdicts = await shelf.inspect(whole);
  let bad = 0;
  for (const v of verdicts)
    if ('wrong' in v) {
      bad += 1;
      print(`${v.name}  unusable: ${v.wrong}`);
    } else {
      const at = new Date(v.header.takenAt).toISOString();
      const ratio = (v.header.plainBytes / v.bytes).toFixed(1);
      print(
        `${v.name}  ${at}  ${v.header.records} records  ${v.bytes} bytes, 1:${ratio}${whole ? '  whole' : ''}`,
      );
    }
  print(`${verdicts.length - bad} usable, ${bad} unusable`);
  if (whole && bad > 0) process.exitCode = 1;
}

const program = new Command('spurbridge-shelf')
  .description('Snapshots of the state service: docs/state-loss-operators.md')
  .version(manifest.version);
program
  .command('write')
  .description('take a snapshot of the state service now')
  .requiredOption('--config <file>', "the platform's settings file (TOML)")
  .requiredOption('--dir <directory>', 'where to keep it')
  .action(async (f: { config: string; dir: string }) => {
    try {
      const taken = await takeSnapshot(toolsOf(f.config));
      const name = snapshotName(taken, 'command');
      await new FileSystemSnapshotDirectory(f.dir).write(name, taken.bytes);
      print(`${name}  ${taken.bytes.length} bytes`);
    } catch (e) {
      failed(e);
    }
  });
program
  .command('list')
  .description('snapshots by name, newest last')
  .requiredOption('--dir <directory>', 'where they are kept')
  .action((f: { dir: string }) => list(f.dir, false));
program
  .command('verify')
  .description('read every snapshot whole; exits with 1 if one is unusable')
  .requiredOption('--dir <directory>', 'where they are kept')
  .action((f: { dir: string }) => list(f.dir, true));
program
  .command('restore <file>')
  .description('put back what the snapshot has and the state service lacks')
  .requiredOption('--config <file>', "the platform's settings file (TOML)")
  .option('--dry-run', 'only say what would change')
  .option(
    '--deployment <id>',
    'take a snapshot of this deployment, although the state service is another by now',
  )
  .action(async (file: string, f: { config: string; dryRun?: boolean; deployment?: string }) => {
    try {
      let bytes: Buffer;
      try {
        bytes = await readFile(file);
      } catch (e) {
        throw new SettingsError(`${basename(file)}: ${e instanceof Error ? e.message : String(e)}`);
      }
      const snapshot = decodeSnapshot(bytes);
      const tools = toolsOf(f.config);
      const accepted = f.deployment ?? null;
      if (f.dryRun === true) show(await previewRestore(tools, snapshot, accepted), false);
      else show(await restoreSnapshot(tools, snapshot, PATIENCE_MS, accepted), true);
    } catch (e) {
      failed(e);
    }
  });
program.parseAsync().catch((e: unknown) => {
  process.stderr.write(`${e instanceof Error ? (e.stack ?? e.message) : String(e)}\n`);
  process.exitCode = 1;
});
