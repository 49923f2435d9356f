/**
 * Takes snapshots of the key-value store on an operator's command, and restores them.
 *
 * @module
 */
import type { EpochNumber, EpochReplica } from '@spurbridge/recovery';
import { StoreRecovery, isControlKey, mergeReplicas } from '@spurbridge/recovery';
import type { FencingToken, NodeId, Revision } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { SnapshotToolError } from './errors.js';
import type { Snapshot } from './format.js';
import { encodeSnapshot } from './format.js';
import type { SnapshotToolOptions, StoreContents } from './store-reader.js';
import { readStoreContents } from './store-reader.js';

const RESTORE_NODE = 'restore' as NodeId;
const NO_TOKEN = 0 as FencingToken;

/** A snapshot that was taken from the key-value store. */
export interface TakenSnapshot {
  /** The snapshot file. */
  readonly bytes: Buffer;
  readonly epoch: number;
  readonly revision: Revision;
}

/** The changes that restoring a snapshot makes. */
export interface RestoreDifference {
  /** Keys that the key-value store lacks. */
  readonly addedKeys: readonly string[];
  /** Keys whose records in the key-value store are older than those of the snapshot. */
  readonly replacedKeys: readonly string[];
  /** Number of records in the key-value store that stay as they are. */
  readonly keptCount: number;
}

/**
 * Takes a snapshot of the key-value store as it is now.
 *
 * @throws {@link SnapshotToolError} if the store does not respond or has no epoch
 */
export async function takeSnapshot(options: SnapshotToolOptions): Promise<TakenSnapshot> {
  const { replica, epoch, deployment } = await readStoreContents(options);
  if (deployment === null)
    throw new SnapshotToolError('the state service has no epoch: no controller has used it yet');
  const origin = { deployment, epoch, revision: replica.revision, takenAt: options.wallNow() };
  return { bytes: encodeSnapshot(origin, replica.entries()), epoch, revision: replica.revision };
}

/**
 * Rejects a snapshot of another deployment unless the operator has accepted that deployment. A store that was emptied
 * while no controller held a replica starts as a new deployment, and only an operator can know that a snapshot belongs
 * to the deployment before it.
 */
function checkDeployment(
  contents: StoreContents,
  snapshot: Snapshot,
  acceptedDeployment: string | null,
): void {
  const { deployment } = snapshot;
  const isSame = contents.deployment === null || contents.deployment === deployment;
  if (isSame || acceptedDeployment === deployment) return;
  throw new SnapshotToolError(
    `the snapshot belongs to deployment ${deployment}, but the state service to ${contents.deployment}; ` +
      `use --deployment ${deployment} if the state service held this deployment before a data loss`,
  );
}

function compareWithSnapshot({ replica, epoch }: StoreContents, snapshot: Snapshot): RestoreDifference {
  const current: EpochReplica = { epoch, get: (key) => replica.get(key), keys: () => replica.keys() };
  const repairs = mergeReplicas(current, [snapshot]).filter((repair) => !isControlKey(repair.key));
  const added = repairs.filter((repair) => repair.replacedVersion === KEY_ABSENT);
  const replaced = repairs.filter((repair) => repair.replacedVersion !== KEY_ABSENT);
  return {
    addedKeys: added.map((repair) => repair.key),
    replacedKeys: replaced.map((repair) => repair.key),
    keptCount: replica.size - replaced.length,
  };
}

/**
 * Reports what {@link restoreSnapshot} would change; nothing is written.
 *
 * @param acceptedDeployment - id of another deployment whose snapshots are accepted, or null
 * @throws {@link SnapshotToolError} if the store does not respond or the snapshot is of another deployment
 */
export async function previewRestore(
  options: SnapshotToolOptions,
  snapshot: Snapshot,
  acceptedDeployment: string | null = null,
): Promise<RestoreDifference> {
  const contents = await readStoreContents(options);
  checkDeployment(contents, snapshot, acceptedDeployment);
  return compareWithSnapshot(contents, snapshot);
}

/**
 * Restores a snapshot by beginning a new epoch, as after a data loss: running controllers contribute their
 * replicas, and records newer than the snapshot are kept. The new epoch opens as a discontinuous one, so that
 * the next leader queries all machines for their tasks before it relies on the records.
 *
 * @param timeoutMs - how long the new epoch may take to open
 * @param acceptedDeployment - id of another deployment whose snapshots are accepted, or null
 * @throws {@link SnapshotToolError} if the store does not respond, the snapshot is of another deployment, or no
 * epoch opened in time
 */
export async function restoreSnapshot(
  options: SnapshotToolOptions,
  snapshot: Snapshot,
  timeoutMs: number,
  acceptedDeployment: string | null = null,
): Promise<RestoreDifference> {
  const contents = await readStoreContents(options);
  checkDeployment(contents, snapshot, acceptedDeployment);
  const difference = compareWithSnapshot(contents, snapshot);
  const recovery = createRecovery(options, contents, snapshot);
  const deadline = options.clock.now() + timeoutMs;
  while (options.clock.now() < deadline) {
    const openEpoch = await recovery.attempt();
    if (openEpoch !== null) return difference;
  }
  throw new SnapshotToolError(`no epoch opened within ${timeoutMs} ms: check the controllers and try again`);
}

/** A recovery in which this command takes part with the snapshot as its replica. */
function createRecovery(
  options: SnapshotToolOptions,
  contents: StoreContents,
  snapshot: Snapshot,
): StoreRecovery {
  const { underlyingStore, clock, wallNow, valueKb, log } = options;
  return new StoreRecovery({
    underlyingStore,
    clock,
    wallNow,
    valueKb,
    log,
    node: RESTORE_NODE,
    // This command takes part in the recovery in addition to all controllers.
    nodes: options.controllerCount + 1,
    localState: () => ({
      replicaEpoch: contents.epoch as EpochNumber,
      highestKnownEpoch: contents.epoch,
      deployment: contents.deployment ?? snapshot.deployment,
      tokenFloor: contents.tokenFloor,
      lastLedToken: NO_TOKEN,
      highestSeenToken: NO_TOKEN,
      continuous: false,
      highestLeaseId: 0,
      replicas: [snapshot],
    }),
    reachablePeers: () => ({ peers: [], highestEpoch: 0 }),
    onEpochObserved: () => undefined,
    onEpochJoined: () => undefined,
  });
}
