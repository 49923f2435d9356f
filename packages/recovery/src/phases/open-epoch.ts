/**
 * Fourth phase of a recovery: the epoch opens, by its initiator's commit, for all controllers that contributed.
 *
 * @module
 */
import { addMs } from '@spurbridge/net';
import type { Version } from '@spurbridge/wire';
import { EPOCH_KEY } from '../epoch/control-keys.js';
import type { Epoch } from '../epoch/epoch-record.js';
import { encodeEpoch } from '../epoch/epoch-record.js';
import type { OpenEpoch } from '../epoch/open-epoch.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import { loadEpoch } from './load-epoch.js';
import type { Markers } from './quorum.js';
import { isContinuous } from './quorum.js';
import { readEpochRecord } from './read-epoch.js';
import type { StoreRecoveryDependencies } from './recovery-dependencies.js';
import { POLL_INTERVAL_MS, STALL_TIMEOUT_MS, pauseBeforeRetry } from './recovery-dependencies.js';

/** Opens an epoch that this process initiated, and reads it. Returns null if the recovery has to restart. */
export async function openEpoch(
  dependencies: StoreRecoveryDependencies,
  gathering: Epoch,
  version: Version,
  markers: Markers,
): Promise<OpenEpoch | null> {
  const { underlyingStore, clock, log } = dependencies;
  const continuous = isContinuous(markers);
  const epoch: Epoch = { ...gathering, phase: 'open', continuous };
  const outcome = await underlyingStore.commit(
    [{ key: EPOCH_KEY, version }],
    [{ put: EPOCH_KEY, value: encodeEpoch(epoch) }],
    CONTROL_PRIORITY,
  );
  if (outcome.outcome !== 'committed') return pauseBeforeRetry(clock);
  log.info({ epoch: epoch.number, continuous, contributors: markers.size }, 'epoch opened');
  return loadEpoch(dependencies, epoch, true);
}

/** Waits until an epoch's initiator opens it, and reads it. Returns null if the recovery has to restart. */
export async function awaitOpening(
  dependencies: StoreRecoveryDependencies,
  epoch: Epoch,
): Promise<OpenEpoch | null> {
  const { underlyingStore, clock } = dependencies;
  const deadline = addMs(clock.now(), STALL_TIMEOUT_MS);
  while (clock.now() < deadline) {
    const record = await readEpochRecord(underlyingStore);
    if (record !== null) {
      if (record.epoch?.id !== epoch.id) return null;
      if (record.epoch.phase === 'open') return loadEpoch(dependencies, record.epoch, true);
    }
    await clock.sleep(POLL_INTERVAL_MS);
  }
  return null;
}
