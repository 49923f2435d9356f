import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { RecoverableStore } from '@spurbridge/recovery';
import { encodeSnapshot } from './format.js';
import type { SnapshotRepository } from './repository.js';
import { snapshotName } from './repository.js';

export interface SnapshotterOptions {
  readonly store: RecoverableStore;
  readonly repository: SnapshotRepository;
  readonly node: string;
  readonly intervalMs: number;
  /** Snapshots of all nodes kept in the directory. */
  readonly maxSnapshots: number;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly log: { info(fields: object, message: string): void; error(fields: object, message: string): void };
}

/**
 * Takes a snapshot of the node's copy once in a while: consistent at its revision, and without a request to the state
 * service, since the copy is there already.
 */
export async function runSnapshotter(p: SnapshotterOptions): Promise<never> {
  for (;;) {
    await p.clock.sleep(p.intervalMs);
    try {
      await saveSnapshot(p);
    } catch (e) {
      // A full or missing disk must not end the node: the next try may do better.
      p.log.error({ error: String(e) }, 'snapshot could not be kept');
    }
  }
}

/** Takes one now; null while the state service is not trusted. Returns its name. */
export async function saveSnapshot(p: SnapshotterOptions): Promise<string | null> {
  const remembered = p.store.replicaSnapshot();
  if (remembered === null) return null;
  const { epoch, revision, copy } = remembered;
  const began = p.clock.now();
  const head = { deployment: epoch.deployment, epoch: epoch.number, revision, takenAt: p.wallNow() };
  const bytes = encodeSnapshot(head, copy.entries());
  const name = snapshotName(head, p.node);
  await p.repository.save(name, bytes, p.maxSnapshots);
  p.log.info(
    { name, records: copy.size, bytes: bytes.length, ms: Math.round(p.clock.now() - began) },
    'snapshot kept',
  );
  return name;
}
