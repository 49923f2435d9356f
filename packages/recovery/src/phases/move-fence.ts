/**
 * First phase of a recovery: the fence of the store moves to a new epoch, so that commits of earlier epochs fail.
 *
 * @module
 */
import { randomUUID } from 'node:crypto';
import type { MonotonicMs } from '@spurbridge/net';
import { LEADER_KEY } from '@spurbridge/store';
import type { KeyValue } from '@spurbridge/wire';
import { EPOCH_KEY, FENCE_PREFIX, fenceKey } from '../epoch/control-keys.js';
import type { Epoch, EpochNumber, VersionedEpoch } from '../epoch/epoch-record.js';
import { encodeEpoch } from '../epoch/epoch-record.js';
import { nextTokenFloor } from '../epoch/fencing-tokens.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import type { LocalRecoveryState, StoreRecoveryDependencies } from './recovery-dependencies.js';

/** Maximum number of fences of earlier epochs that one transaction deletes. */
const MAX_DELETED_FENCES = 4;

/** Moves the fence, and records which epochs this process has initiated. */
export class FenceMover {
  /**
   * Times at which this process moved the fence, by epoch id. An epoch that names this controller as its initiator but
   * is missing here was initiated by an earlier process of this controller.
   */
  private readonly initiatedAt = new Map<string, MonotonicMs>();

  constructor(private readonly dependencies: StoreRecoveryDependencies) {}

  /** Returns whether this process initiated the epoch. */
  hasInitiated(epoch: Epoch): boolean {
    return this.initiatedAt.has(epoch.id);
  }

  /** Returns the milliseconds since this process moved the fence to the epoch; Infinity if it did not. */
  msSinceInitiated(epoch: Epoch): number {
    const initiatedAt = this.initiatedAt.get(epoch.id);
    return initiatedAt === undefined ? Infinity : this.dependencies.clock.now() - initiatedAt;
  }

  /** Moves the fence to a new epoch, to which the controllers contribute their replicas. */
  beginRecovery(found: VersionedEpoch, localState: LocalRecoveryState): Promise<void> {
    return this.moveTo(found, () => this.recoveryEpoch(found.epoch, localState));
  }

  /** Creates the first epoch of a new store. It is open from the start. */
  initializeStore(found: VersionedEpoch, localState: LocalRecoveryState): Promise<void> {
    return this.moveTo(found, () => this.initialEpoch(found.epoch, localState));
  }

  private async moveTo(found: VersionedEpoch, createEpoch: () => Epoch): Promise<void> {
    const { underlyingStore, clock, log } = this.dependencies;
    const fences = await underlyingStore.list(FENCE_PREFIX, CONTROL_PRIORITY);
    if (fences.outcome !== 'listed') return;
    const epoch = createEpoch();
    this.initiatedAt.set(epoch.id, clock.now());
    const outcome = await underlyingStore.commit(
      [{ key: EPOCH_KEY, version: found.version }],
      [
        { put: EPOCH_KEY, value: encodeEpoch(epoch) },
        ...fences.items.slice(0, MAX_DELETED_FENCES).map((fence: KeyValue) => ({ delete: fence.key })),
        { delete: LEADER_KEY },
        { put: fenceKey(epoch.id), value: {} },
      ],
      CONTROL_PRIORITY,
    );
    if (outcome.outcome !== 'committed') return;
    const { number, isInitial, tokenFloor, baseEpoch } = epoch;
    log.info(
      { epoch: number, first: isInitial, floor: tokenFloor, after: baseEpoch },
      'fence moved to a new epoch',
    );
  }

  private recoveryEpoch(found: Epoch | null, localState: LocalRecoveryState): Epoch {
    const lastFloor = Math.max(localState.tokenFloor, found?.tokenFloor ?? 0);
    return {
      ...this.identify(found, localState),
      tokenFloor: nextTokenFloor(lastFloor, localState.highestSeenToken, this.dependencies.wallNow()),
      phase: 'gathering',
      baseEpoch: baseEpochOf(found, localState),
      initiator: this.dependencies.node,
      isInitial: false,
      continuous: false,
    };
  }

  private initialEpoch(found: Epoch | null, localState: LocalRecoveryState): Epoch {
    return {
      ...this.identify(found, localState),
      tokenFloor: 0,
      phase: 'open',
      baseEpoch: baseEpochOf(found, localState),
      initiator: this.dependencies.node,
      isInitial: true,
      continuous: true,
    };
  }

  private identify(
    found: Epoch | null,
    localState: LocalRecoveryState,
  ): Pick<Epoch, 'number' | 'id' | 'deployment'> {
    const newId = this.dependencies.newId ?? randomUUID;
    const { highestKnownEpoch, replicaEpoch } = localState;
    const number = Math.max(highestKnownEpoch, replicaEpoch, found?.number ?? 0) + 1;
    return {
      number: number as EpochNumber,
      id: newId(),
      deployment: localState.deployment ?? found?.deployment ?? newId(),
    };
  }
}

/** Returns the number of the epoch that the store's records belong to. */
function baseEpochOf(found: Epoch | null, localState: LocalRecoveryState): number {
  if (found === null) return localState.replicaEpoch;
  // A recovery that never opened its epoch has not written any records, so they still belong to the epoch before it.
  return found.phase === 'open' ? found.number : found.baseEpoch;
}
