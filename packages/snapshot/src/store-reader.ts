/**
 * Reads the whole key-value store while it is being written to.
 *
 * @module
 */
import type { WallClockMs } from '@spurbridge/model';
import type { Clock } from '@spurbridge/net';
import { EPOCH_KEY, Replica, decodeEpoch, isTombstone } from '@spurbridge/recovery';
import type { KeyValueStore } from '@spurbridge/store';
import { SnapshotToolError } from './errors.js';

/** Listing all keys has a lower priority than the requests that controllers need to serve users. */
const LIST_PRIORITY = 1;
/** Duration of one watch request, and the pause after a failed one, in milliseconds. */
const WATCH_TIMEOUT_MS = 200;
const MAX_WATCH_ROUNDS = 20;

/** Dependencies of an operator's snapshot command. */
export interface SnapshotToolOptions {
  /** The key-value store itself, without the checks of a controller. */
  readonly underlyingStore: KeyValueStore;
  readonly clock: Clock;
  readonly wallNow: () => WallClockMs;
  /** Size limit of a value, in KiB. */
  readonly valueKb: number;
  /** Number of controllers of the deployment, all of which take part in a recovery. */
  readonly controllerCount: number;
  readonly log: { info(fields: object, message: string): void };
}

/** The contents of the key-value store as of one revision. */
export interface StoreContents {
  readonly replica: Replica;
  /** Number of the epoch; 0 if there is none. */
  readonly epoch: number;
  /** Id of the deployment; null if the store has no epoch yet. */
  readonly deployment: string | null;
  /** Floor of fencing tokens in the epoch. */
  readonly tokenFloor: number;
}

/**
 * Reads all records as of one revision.
 *
 * @throws {@link SnapshotToolError} if the store does not respond
 */
export async function readStoreContents(options: SnapshotToolOptions): Promise<StoreContents> {
  const listed = await options.underlyingStore.list('', LIST_PRIORITY);
  if (listed.outcome !== 'listed') throw new SnapshotToolError('the state service does not answer');
  const replica = new Replica();
  replica.replaceAll(
    listed.items.filter((item) => !isTombstone(item.value)),
    listed.revision,
  );
  await catchUp(options, replica, listed.latest);
  const epoch = decodeEpoch(listed.items.find((item) => item.key === EPOCH_KEY)?.value);
  return {
    replica,
    epoch: epoch?.number ?? 0,
    deployment: epoch?.deployment ?? null,
    tokenFloor: epoch?.tokenFloor ?? 0,
  };
}

/**
 * The list is read page by page while others write: applying the changes since its start makes it consistent
 * as of one revision.
 */
async function catchUp(options: SnapshotToolOptions, replica: Replica, revision: number): Promise<void> {
  for (let round = 0; replica.revision < revision && round < MAX_WATCH_ROUNDS; round += 1) {
    const watched = await options.underlyingStore.watch('', replica.revision, WATCH_TIMEOUT_MS);
    if (watched.outcome === 'events') replica.applyWatchEvents(watched.events, watched.revision);
    else await options.clock.sleep(WATCH_TIMEOUT_MS);
  }
  if (replica.revision < revision)
    throw new SnapshotToolError('the state service does not respond to watch requests');
}
