/**
 * Takes snapshots of a node's replica at an interval.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { RecoverableStore } from '@spurbridge/recovery';
import { snapshotName } from './directory.js';
import { encodeSnapshot } from './format.js';
import type { SnapshotRepository } from './repository.js';

/** The part of a logger that the snapshotter uses. */
export interface SnapshotLogger {
  info(fields: object, message: string): void;
  error(fields: object, message: string): void;
}

/** Dependencies of the snapshotter. */
export interface SnapshotterOptions {
  readonly store: RecoverableStore;
  readonly repository: SnapshotRepository;
  /** Name of this node, which becomes part of the file names. */
  readonly node: string;
  /** Time between two snapshots, in milliseconds. */
  readonly intervalMs: number;
  /** Number of snapshots of all nodes that the repository keeps. */
  readonly maxSnapshots: number;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly log: SnapshotLogger;
}

/**
 * Saves a snapshot at each interval for as long as the process runs. The replica is consistent as of its revision, so a
 * snapshot needs no request to the key-value store.
 */
export async function runSnapshotter(options: SnapshotterOptions): Promise<never> {
  for (;;) {
    await options.clock.sleep(options.intervalMs);
    try {
      await saveSnapshot(options);
    } catch (error) {
      // A full or missing disk must not stop the process, because the next attempt may succeed.
      options.log.error({ error: String(error) }, 'saving the snapshot failed');
    }
  }
}

/** Saves one snapshot and returns its name; null while the integrity of the key-value store is in doubt. */
async function saveSnapshot(options: SnapshotterOptions): Promise<string | null> {
  const { clock, log, node, repository, store, wallNow } = options;
  const replicaSnapshot = store.replicaSnapshot();
  if (replicaSnapshot === null) return null;
  const { epoch, revision, replica } = replicaSnapshot;
  const startedAt = clock.now();
  const origin = { deployment: epoch.deployment, epoch: epoch.number, revision, takenAt: wallNow() };
  const bytes = encodeSnapshot(origin, replica.entries());
  const name = snapshotName(origin, node);
  await repository.save(name, bytes, options.maxSnapshots);
  const durationMs = Math.round(clock.now() - startedAt);
  log.info({ name, records: replica.size, bytes: bytes.length, ms: durationMs }, 'snapshot saved');
  return name;
}
