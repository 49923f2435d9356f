import type { WallClockMs } from '@spurbridge/model';
import { monotonicClock } from '@spurbridge/net';
import { FileSystemSnapshotDirectory, SnapshotRepository, runSnapshotter } from '@spurbridge/snapshot';
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

function shelfOf(flags: unknown, log: { info(fields: object, message: string): void }): SnapshotRepository {
  return new SnapshotRepository(
    new FileSystemSnapshotDirectory(directoryOf(flags as SnapshotFlags)),
    (name, reason) => {
      log.info({ name, reason }, 'snapshot refused');
    },
  );
}

/** The usual program, which also keeps snapshots in a directory and looks there when the state service lost data. */
runDaemon({
  addOptions: (program) => {
    program
      .addOption(
        new Option('--snapshot-dir <directory>', 'where snapshots are kept').env('SPURBRIDGE_SNAPSHOT_DIR'),
      )
      .addOption(numberFlag('snapshot-every-s', 'seconds between two snapshots', EVERY_S, 1, 86_400))
      .addOption(numberFlag('snapshot-keep', 'snapshots kept, of all nodes', MOST, 1, 100_000));
  },
  createLeaderComponents: (flags) => {
    directoryOf(flags as unknown as SnapshotFlags);
    return [];
  },
  openSnapshotRepository: (flags, log) => shelfOf(flags, log),
  startBackgroundTask: (flags, { settings, store, log }) => {
    const f = flags as unknown as SnapshotFlags;
    runSnapshotter({
      store: store,
      repository: shelfOf(flags, log),
      node: settings.node,
      intervalMs: f.snapshotEveryS * 1000,
      maxSnapshots: Math.round(f.snapshotKeep),
      clock: monotonicClock,
      wallNow: () => Date.now() as WallClockMs,
      log,
    }).catch((e: unknown) => {
      log.error({ error: String(e) }, 'snapshots ended');
    });
  },
});
