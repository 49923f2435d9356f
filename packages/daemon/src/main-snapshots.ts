import type { WallMs } from '@spurbridge/model';
import { steadyClock } from '@spurbridge/net';
import { Directory, Shelf, keepSnapshots } from '@spurbridge/snapshot';
import { Option } from 'commander';
import { runDaemon } from './daemon.js';
import { numberFlag } from './flags.js';
import { SettingsError } from './settings.js';

const EVERY_S = 30;
const MOST = 20;

interface SnapshotFlags {
  readonly snapshotDir?: string;
  readonly snapshotEveryS: number;
  readonly snapshotKeep: number;
}

function directoryOf(f: SnapshotFlags): string {
  if (f.snapshotDir === undefined || f.snapshotDir === '')
    throw new SettingsError('--snapshot-dir: expected a directory');
  return f.snapshotDir;
}

function shelfOf(flags: unknown, log: { info(fields: object, message: string): void }): Shelf {
  return new Shelf(new Directory(directoryOf(flags as SnapshotFlags)), (name, reason) => {
    log.info({ name, reason }, 'snapshot refused');
  });
}

/** The usual program, which also keeps snapshots in a directory and looks there when the state service lost data. */
runDaemon({
  flags: (program) => {
    program
      .addOption(
        new Option('--snapshot-dir <directory>', 'where snapshots are kept').env('SPURBRIDGE_SNAPSHOT_DIR'),
      )
      .addOption(numberFlag('snapshot-every-s', 'seconds between two snapshots', EVERY_S, 1, 86_400))
      .addOption(numberFlag('snapshot-keep', 'snapshots kept, of all nodes', MOST, 1, 100_000));
  },
  rooms: (flags) => {
    directoryOf(flags as unknown as SnapshotFlags);
    return [];
  },
  shelf: (flags, log) => shelfOf(flags, log),
  beside: (flags, { settings, store, log }) => {
    const f = flags as unknown as SnapshotFlags;
    keepSnapshots({
      guard: store,
      shelf: shelfOf(flags, log),
      node: settings.node,
      everyMs: f.snapshotEveryS * 1000,
      most: Math.round(f.snapshotKeep),
      clock: steadyClock,
      wallNow: () => Date.now() as WallMs,
      log,
    }).catch((e: unknown) => {
      log.error({ error: String(e) }, 'snapshots ended');
    });
  },
});
