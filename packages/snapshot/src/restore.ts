import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import type { EpochNumber, EpochReplica } from '@spurbridge/recovery';
import {
  Replica,
  StoreRecovery,
  decodeEpoch,
  isControlKey,
  isTombstone,
  mergeReplicas,
} from '@spurbridge/recovery';
import type { KeyValueStore } from '@spurbridge/store';
import type { NodeId, Revision, FencingToken } from '@spurbridge/wire';
import type { Snapshot } from './format.js';
import { encodeSnapshot } from './format.js';

/** Watching on after a list of many pages ends once nothing more is shown for this long. */
const SETTLE_MS = 200;
const ROUNDS = 20;

export interface SnapshotToolOptions {
  readonly raw: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  readonly valueKb: number;
  /** Number of controllers, which take part when the fence moves. */
  readonly controllerCount: number;
  readonly log: { info(fields: object, message: string): void };
}

export class SnapshotToolError extends Error {}

interface StoreNow {
  readonly copy: Replica;
  readonly epoch: number;
  readonly deployment: string | null;
  readonly floor: number;
}

/** Reads a whole state service that is being written to, consistently as of one revision. */
async function readNow(t: SnapshotToolOptions): Promise<StoreNow> {
  const listed = await t.raw.list('', 1);
  if (listed.outcome !== 'listed') throw new SnapshotToolError('the state service does not answer');
  const copy = new Replica();
  copy.replaceAll(
    listed.items.filter((i) => !isTombstone(i.value)),
    listed.revision,
  );
  // Pages were read one after the other: what changed meanwhile makes them one state.
  for (let n = 0; copy.revision < listed.latest && n < ROUNDS; n += 1) {
    const seen = await t.raw.watch('', copy.revision, SETTLE_MS);
    if (seen.outcome === 'events') copy.applyWatchEvents(seen.events, seen.revision);
    else await t.clock.sleep(SETTLE_MS);
  }
  if (copy.revision < listed.latest)
    throw new SnapshotToolError('the state service does not answer its watch');
  const epoch = decodeEpoch(listed.items.find((i) => i.key === 'epoch')?.value);
  return {
    copy,
    epoch: epoch?.number ?? 0,
    deployment: epoch?.deployment ?? null,
    floor: epoch?.tokenFloor ?? 0,
  };
}

/** Takes a snapshot of the state service as it is now. */
export async function takeSnapshot(
  t: SnapshotToolOptions,
): Promise<{ readonly bytes: Buffer; readonly epoch: number; readonly revision: Revision }> {
  const { copy, epoch, deployment } = await readNow(t);
  if (deployment === null)
    throw new SnapshotToolError('the state service has no epoch: no controller has run on it');
  const head = { deployment, epoch, revision: copy.revision, takenAt: t.wallNow() };
  return { bytes: encodeSnapshot(head, copy.entries()), epoch, revision: copy.revision };
}

/** What putting a snapshot back would change. */
export interface RestoreDifference {
  readonly addedKeys: readonly string[];
  readonly replacedKeys: readonly string[];
  /** Records of the state service that the snapshot does not have, or older: they stay. */
  readonly keptCount: number;
}

async function differences(
  t: SnapshotToolOptions,
  s: Snapshot,
  accepted: string | null,
): Promise<{ now: StoreNow; difference: RestoreDifference }> {
  const now = await readNow(t);
  // A state service that was emptied, with nobody left to remember, began as a deployment of its own: only a person
  // can tell that the snapshot is of the one before.
  if (now.deployment !== null && now.deployment !== s.deployment && accepted !== s.deployment)
    throw new SnapshotToolError(
      `the snapshot is of deployment ${s.deployment}, the state service of ${now.deployment}: refused ` +
        `(--deployment ${s.deployment} if it is the same one before all was lost)`,
    );
  const store: EpochReplica = { epoch: now.epoch, get: (k) => now.copy.get(k), keys: () => now.copy.keys() };
  const due = mergeReplicas(store, [s]).filter((r) => !isControlKey(r.key));
  const missing = due.filter((r) => r.replacedVersion === 0).map((r) => r.key);
  const changed = due.filter((r) => r.replacedVersion !== 0).map((r) => r.key);
  return {
    now,
    difference: { addedKeys: missing, replacedKeys: changed, keptCount: now.copy.size - changed.length },
  };
}

/** What `restore` would do; nothing is written. */
export async function previewRestore(
  t: SnapshotToolOptions,
  s: Snapshot,
  accepted: string | null = null,
): Promise<RestoreDifference> {
  return (await differences(t, s, accepted)).difference;
}

/**
 * Puts a snapshot back by moving the fence, as after a loss: controllers that run take part with what they remember, and
 * whatever is newer than the snapshot stays. It opens as an epoch in which machines are asked first.
 */
export async function restoreSnapshot(
  t: SnapshotToolOptions,
  s: Snapshot,
  patienceMs: number,
  accepted: string | null = null,
): Promise<RestoreDifference> {
  const { now, difference } = await differences(t, s, accepted);
  const gathering = new StoreRecovery({
    ...t,
    node: 'restore' as NodeId,
    // It gives no orders itself: with all controllers it is one more.
    nodes: t.controllerCount + 1,
    localState: () => ({
      replicaEpoch: now.epoch as EpochNumber,
      highestKnownEpoch: now.epoch,
      deployment: now.deployment ?? s.deployment,
      tokenFloor: now.floor,
      lastLedToken: 0 as FencingToken,
      highestSeenToken: 0 as FencingToken,
      continuous: false,
      highestLeaseId: 0,
      replicas: [s],
    }),
    reachablePeers: () => ({ peers: [], ahead: 0 }),
    onEpochObserved: () => undefined,
    onEpochJoined: () => undefined,
  });
  const until = t.clock.now() + patienceMs;
  while (t.clock.now() < until) if ((await gathering.attempt()) !== null) return difference;
  throw new SnapshotToolError('no epoch opened in time: look at the controllers, then try again');
}
