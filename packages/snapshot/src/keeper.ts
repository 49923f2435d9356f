import type { WallMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { GuardedStore } from '@spurbridge/recovery';
import { encodeSnapshot } from './format.js';
import type { Shelf } from './shelf.js';
import { snapshotName } from './shelf.js';

export interface KeeperParts {
  readonly guard: GuardedStore;
  readonly shelf: Shelf;
  readonly node: string;
  readonly everyMs: number;
  /** Snapshots of all nodes kept in the directory. */
  readonly most: number;
  readonly clock: Clock;
  readonly wallNow: () => WallMs;
  readonly log: { info(fields: object, message: string): void; error(fields: object, message: string): void };
}

/**
 * Takes a snapshot of the node's copy once in a while: consistent at its revision, and without a request to the state
 * service, since the copy is there already.
 */
export async function keepSnapshots(p: KeeperParts): Promise<never> {
  for (;;) {
    await p.clock.sleep(p.everyMs);
    try {
      await keepOne(p);
    } catch (e) {
      // A full or missing disk must not end the node: the next try may do better.
      p.log.error({ error: String(e) }, 'snapshot could not be kept');
    }
  }
}

/** Takes one now; null while the state service is not trusted. Returns its name. */
export async function keepOne(p: KeeperParts): Promise<string | null> {
  const remembered = p.guard.remembered();
  if (remembered === null) return null;
  const { epoch, revision, copy } = remembered;
  const began = p.clock.now();
  const head = { deployment: epoch.deployment, epoch: epoch.number, revision, takenAt: p.wallNow() };
  const bytes = encodeSnapshot(head, copy.entries());
  const name = snapshotName(head, p.node);
  await p.shelf.keep(name, bytes, p.most);
  p.log.info(
    { name, records: copy.size, bytes: bytes.length, ms: Math.round(p.clock.now() - began) },
    'snapshot kept',
  );
  return name;
}
