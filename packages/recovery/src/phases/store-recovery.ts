/**
 * Recovery of the key-value store: the phases that lead from a store that is not trusted to an open epoch
 * (docs/state-loss.md).
 *
 * 1. `move-fence.ts`: a new epoch begins, and commits of earlier epochs fail from then on.
 * 2. `contribute.ts`: each controller writes the records of its replica that the store lacks.
 * 3. `quorum.ts`: the initiator waits for the others, and until no controller relies on an earlier lease.
 * 4. `open-epoch.ts`: the initiator opens the epoch.
 * 5. `load-epoch.ts`: each controller reads the whole epoch and begins to work in it.
 * 6. `write-back.ts`: contributed records are written to their own keys.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import type { Version } from '@spurbridge/wire';
import type { Epoch, VersionedEpoch } from '../epoch/epoch-record.js';
import type { OpenEpoch } from '../epoch/open-epoch.js';
import { awaitInitiator, contribute } from './contribute.js';
import { enterWithLateContribution } from './late-contribution.js';
import { loadEpoch } from './load-epoch.js';
import { FenceMover } from './move-fence.js';
import { awaitOpening, openEpoch } from './open-epoch.js';
import { collectMarkers, skipEarlierLeaseIds } from './quorum.js';
import { readEpochRecord } from './read-epoch.js';
import type { LocalRecoveryState, StoreRecoveryDependencies } from './recovery-dependencies.js';
import { STALL_TIMEOUT_MS, pauseBeforeRetry } from './recovery-dependencies.js';

/** Pause between moving the fence and reading the new epoch. */
const FENCE_MOVED_PAUSE_MS = 20;

/** An epoch to which other controllers contribute, and since when this one has observed it. */
interface ObservedEpoch {
  readonly id: string;
  readonly since: MonotonicMs;
}

/** Carries out recoveries in successive attempts. */
export class StoreRecovery {
  private readonly fenceMover: FenceMover;
  private observed: ObservedEpoch | null = null;

  constructor(private readonly dependencies: StoreRecoveryDependencies) {
    this.fenceMover = new FenceMover(dependencies);
  }

  /** Returns whether this process initiated the epoch. */
  hasInitiated(epoch: Epoch): boolean {
    return this.fenceMover.hasInitiated(epoch);
  }

  /**
   * Makes one attempt. Returns an epoch that is open and later than that of the replica, or null if another attempt is
   * needed.
   */
  async attempt(): Promise<OpenEpoch | null> {
    const { underlyingStore, clock, onEpochObserved, onEpochJoined } = this.dependencies;
    const record = await readEpochRecord(underlyingStore);
    if (record === null) return pauseBeforeRetry(clock);
    const { epoch } = record;
    const localState = this.dependencies.localState();
    if (epoch !== null) onEpochObserved(epoch.number);
    const isLater = isLaterThanKnown(epoch, localState);
    if (!isLater || this.isStalled(epoch)) {
      if (!isLater && this.isPeerAhead(epoch, localState)) return pauseBeforeRetry(clock);
      await this.fenceMover.beginRecovery(record, localState);
      return pauseBeforeRetry(clock, FENCE_MOVED_PAUSE_MS);
    }
    onEpochJoined(epoch.number);
    if (epoch.phase === 'open') return enterWithLateContribution(this.dependencies, epoch);
    return this.takePart(epoch, record.version);
  }

  /** Creates the first epoch of a new store, unless one exists by now. */
  async initializeStore(): Promise<void> {
    const record = await this.readEpochRecord();
    if (record?.epoch === null) await this.fenceMover.initializeStore(record, this.dependencies.localState());
  }

  /** Reads the epoch record. Returns null if the store has not responded. */
  readEpochRecord(): Promise<VersionedEpoch | null> {
    return readEpochRecord(this.dependencies.underlyingStore);
  }

  /**
   * Reads an open epoch that this controller has not helped to recover. Returns null if the store has not responded.
   */
  loadOpenEpoch(epoch: Epoch): Promise<OpenEpoch | null> {
    return loadEpoch(this.dependencies, epoch, false);
  }

  private async takePart(epoch: Epoch, version: Version): Promise<OpenEpoch | null> {
    const { clock, node } = this.dependencies;
    const isInitiator = epoch.initiator === node;
    if (!isInitiator) await awaitInitiator(this.dependencies, epoch);
    if (!(await contribute(this.dependencies, epoch))) return pauseBeforeRetry(clock);
    if (!isInitiator) return awaitOpening(this.dependencies, epoch);
    const markers = await collectMarkers(this.dependencies, this.fenceMover, epoch);
    if (markers === null || !(await skipEarlierLeaseIds(this.dependencies, markers)))
      return pauseBeforeRetry(clock);
    return openEpoch(this.dependencies, epoch, version, markers);
  }

  /**
   * Returns whether a reachable peer works in a later epoch. Then this controller sees the older of two stores, and
   * must not change it.
   */
  private isPeerAhead(epoch: Epoch | null, { replicaEpoch }: LocalRecoveryState): boolean {
    return this.dependencies.reachablePeers().highestEpoch > Math.max(replicaEpoch, epoch?.number ?? 0);
  }

  /** Returns whether the epoch's initiator has stopped making progress. */
  private isStalled(epoch: Epoch): boolean {
    const { clock, node } = this.dependencies;
    if (epoch.phase === 'open') return false;
    if (epoch.initiator === node) return !this.fenceMover.hasInitiated(epoch);
    const now = clock.now();
    if (this.observed?.id !== epoch.id) this.observed = { id: epoch.id, since: now };
    return now - this.observed.since > STALL_TIMEOUT_MS;
  }
}

function isLaterThanKnown(
  epoch: Epoch | null,
  { replicaEpoch, highestKnownEpoch }: LocalRecoveryState,
): epoch is Epoch {
  return epoch !== null && epoch.number > replicaEpoch && epoch.number >= highestKnownEpoch;
}
