/**
 * Losses of the key-value store's data, and accompanying faults.
 *
 * @module
 */
import type { StoreCheckpoint } from './key-value-store.js';
import { SimKeyValueStore } from './key-value-store.js';
import { leaderOrFirst } from './leadership.js';
import { FAULTS_END_MS } from './random-faults.js';
import { AMPLE_STORE_LIMITS } from './world-options.js';
import type { World } from './world.js';
import { partitionZone } from './zone-partition.js';

/** The kinds of data loss. */
export const DATA_LOSSES = [
  'rolled back 20 s',
  'rolled back 2 s',
  'emptied',
  'tasks gone',
  'some jobs gone',
  'unreadable',
  'count set back',
  'fills up again',
] as const;

/** A kind of data loss. */
export type DataLoss = (typeof DATA_LOSSES)[number];

/** The faults that may accompany a loss. */
export const ACCOMPANYING_FAULTS = [
  'nothing',
  'leader crashes',
  'takeover in the middle',
  'twice',
  'during the rebuild',
  'a zone cut off',
] as const;

/** A fault that accompanies a loss. */
export type AccompanyingFault = (typeof ACCOMPANYING_FAULTS)[number];

const LONG_ROLLBACK_MS = 20_000;
const SHORT_ROLLBACK_MS = 2000;
/** One record in this many is lost or unreadable. */
const LOST_ONE_IN = 3;
const ROLLED_BACK_REVISION = 3;
const RESTORED_KEYS_AT_ONCE = 3;
const RESTORE_INTERVAL_MS = 200;
const JOB_PREFIX = 'j/';
const TASK_PREFIX = 't/';

/** When each accompanying fault occurs relative to the loss, in milliseconds. */
const CRASH_AFTER_LOSS_MS = 1;
const FAILOVER_BEFORE_LOSS_MS = 500;
const SECOND_LOSS_AFTER_MS = 9000;
const LOSS_DURING_RECOVERY_MS = 350;
const PARTITION_BEFORE_LOSS_MS = 4000;
const PARTITIONED_ZONE = 'b';

/** Schedules a loss of data at this time, in milliseconds since the start of the simulation. */
export function injectDataLoss(world: World, loss: DataLoss, atMs: number): void {
  let checkpoint: StoreCheckpoint | null = null;
  const rollbackMs = loss === 'rolled back 2 s' ? SHORT_ROLLBACK_MS : LONG_ROLLBACK_MS;
  if (loss.startsWith('rolled back') || loss === 'fills up again')
    runAt(world, atMs - rollbackMs, () => {
      checkpoint = world.store.checkpoint();
    });
  runAt(world, atMs, () => {
    loseData(world, loss, checkpoint);
  });
}

/** Schedules an accompanying fault of a loss at this time. */
export function injectAccompanyingFault(
  world: World,
  fault: AccompanyingFault,
  loss: DataLoss,
  atMs: number,
): void {
  switch (fault) {
    case 'nothing':
      return;
    case 'leader crashes':
      return crashLeaderAt(world, atMs + CRASH_AFTER_LOSS_MS);
    case 'takeover in the middle':
      return crashLeaderAt(world, atMs - FAILOVER_BEFORE_LOSS_MS);
    case 'twice':
      return injectDataLoss(world, loss, atMs + SECOND_LOSS_AFTER_MS);
    case 'during the rebuild':
      return runAt(world, atMs + LOSS_DURING_RECOVERY_MS, () => {
        world.store.clear();
      });
    case 'a zone cut off':
      return partitionZone(world, PARTITIONED_ZONE, atMs - PARTITION_BEFORE_LOSS_MS, FAULTS_END_MS);
  }
}

/** From now on a node reads a separate store, restored from the checkpoint. */
export function forkStore(world: World, index: number, checkpoint: StoreCheckpoint): SimKeyValueStore {
  const fork = new SimKeyValueStore(world.time, AMPLE_STORE_LIMITS);
  fork.restore(checkpoint);
  const node = world.nodes[index];
  if (node !== undefined) node.store.backend = fork;
  return fork;
}

function runAt(world: World, atMs: number, run: () => void): void {
  world.time.after(atMs - world.time.now, run);
}

function crashLeaderAt(world: World, atMs: number): void {
  runAt(world, atMs, () => {
    world.crash(leaderOrFirst(world));
  });
}

function loseData(world: World, loss: DataLoss, checkpoint: StoreCheckpoint | null): void {
  const { store } = world;
  const isLost = (): boolean => world.random(LOST_ONE_IN) === 0;
  switch (loss) {
    case 'emptied':
      store.clear();
      return;
    case 'tasks gone':
      store.dropKeys((key) => key.startsWith(TASK_PREFIX));
      return;
    case 'some jobs gone':
      store.dropKeys((key) => key.startsWith(JOB_PREFIX) && isLost());
      return;
    case 'unreadable':
      store.corruptValues(isLost);
      return;
    case 'count set back':
      store.rollBackRevision(ROLLED_BACK_REVISION);
      return;
    case 'fills up again':
      if (checkpoint !== null) store.restoreGradually(checkpoint, RESTORED_KEYS_AT_ONCE, RESTORE_INTERVAL_MS);
      return;
    case 'rolled back 20 s':
    case 'rolled back 2 s':
      if (checkpoint !== null) store.restore(checkpoint);
  }
}
