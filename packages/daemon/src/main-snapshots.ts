/**
 * The controller node that also saves snapshots in a directory, and recovers the key-value store from them
 * (`target/snapshots.js`).
 *
 * @module
 */
import type { Logger } from '@spurbridge/controller';
import type { WallClockMs } from '@spurbridge/model';
import { monotonicClock } from '@spurbridge/net';
import { FileSystemSnapshotDirectory, SnapshotRepository, runSnapshotter } from '@spurbridge/snapshot';
import { Option } from 'commander';
import { runDaemon } from './daemon.js';
import { SettingsError } from './errors.js';
import { numberOption } from './number-option.js';

const MS_PER_S = 1000;

const INTERVAL_OPTION = numberOption({
  name: 'snapshot-every-s',
  description: 'interval between two snapshots, in seconds',
  defaultValue: 30,
  min: 1,
  max: 86_400,
});

const MAX_SNAPSHOTS_OPTION = numberOption({
  name: 'snapshot-keep',
  description: 'number of snapshots to keep, of all nodes together',
  defaultValue: 20,
  min: 1,
  max: 100_000,
});

interface SnapshotFlags {
  readonly snapshotDir?: string;
  readonly snapshotEveryS: number;
  readonly snapshotKeep: number;
}

function directoryPath({ snapshotDir }: SnapshotFlags): string {
  if (snapshotDir === undefined || snapshotDir === '')
    throw new SettingsError('--snapshot-dir: expected a directory');
  return snapshotDir;
}

function openRepository(flags: SnapshotFlags, log: Logger): SnapshotRepository {
  const directory = new FileSystemSnapshotDirectory(directoryPath(flags));
  return new SnapshotRepository(directory, (name, reason) => {
    log.info({ name, reason }, 'snapshot refused');
  });
}

runDaemon<SnapshotFlags>({
  addOptions: (program) => {
    program
      .addOption(
        new Option('--snapshot-dir <directory>', 'directory that stores the snapshots').env(
          'SPURBRIDGE_SNAPSHOT_DIR',
        ),
      )
      .addOption(INTERVAL_OPTION)
      .addOption(MAX_SNAPSHOTS_OPTION);
  },
  validate: (flags) => {
    directoryPath(flags);
  },
  openSnapshotRepository: openRepository,
  startBackgroundTask: (flags, { settings, store, log }) => {
    runSnapshotter({
      store,
      repository: openRepository(flags, log),
      node: settings.node,
      intervalMs: flags.snapshotEveryS * MS_PER_S,
      maxSnapshots: Math.round(flags.snapshotKeep),
      clock: monotonicClock,
      wallNow: () => Date.now() as WallClockMs,
      log,
    }).catch((error: unknown) => {
      log.error({ error: String(error) }, 'periodic snapshots stopped');
    });
  },
});
