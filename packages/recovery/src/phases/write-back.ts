/**
 * Last phase of a recovery: repairs that the contribution pages hold are written to their own keys, and the pages deleted.
 *
 * @module
 */
import type { Clock } from '@spurbridge/net';
import type { CommitOutcome, KeyValueStore } from '@spurbridge/store';
import { isControlKey } from '../epoch/control-keys.js';
import type { EpochStore } from '../epoch-store/epoch-store.js';
import { BACKGROUND_PRIORITY } from '../request-priorities.js';
import { isMarkerKey } from './contribution-codec.js';
import type { RecoveryLog } from './recovery-dependencies.js';
import { writeBackPriority } from './write-back-priority.js';

const WRITE_BACK_INTERVAL_MS = 250;
/** The lowest priority is sufficient, because a record that is needed sooner is written by the commit that needs it. */
const WRITE_BACK_PRIORITY = BACKGROUND_PRIORITY;

/** The dependencies of the write-back phase. */
export interface WriteBackDependencies {
  readonly store: Pick<KeyValueStore, 'commit' | 'read'>;
  readonly clock: Clock;
  readonly log: RecoveryLog;
  /** Number of mutations in one commit. */
  readonly batchSize: number;
  /** Returns the store of the epoch that is trusted now; null without one. */
  readonly currentEpochStore: () => EpochStore | null;
}

/**
 * Writes pending repairs back, and then deletes the keys that the recovery no longer needs, while `isWanted` returns
 * true.
 */
export async function writeBack(dependencies: WriteBackDependencies, isWanted: () => boolean): Promise<void> {
  const { clock, log, batchSize, currentEpochStore } = dependencies;
  const startedAt = clock.now();
  let recordCount = 0;
  while (isWanted()) {
    await clock.sleep(WRITE_BACK_INTERVAL_MS);
    const epochStore = currentEpochStore();
    if (epochStore === null || !isWanted()) continue;
    const { epoch, overlay } = epochStore;
    const batch = overlay.nextBatch(batchSize, writeBackPriority);
    if (batch.length === 0) {
      if (epochStore.obsoleteKeys.length > 0) await deleteObsoleteKeys(dependencies, epochStore);
      continue;
    }
    const outcome = await dependencies.store.commit(
      batch.map(({ key, version }) => ({ key, version })),
      batch.map(({ key, value }) => ({ put: key, value })),
      WRITE_BACK_PRIORITY,
    );
    const isCommitted = outcome.outcome === 'committed';
    if (isCommitted) recordCount += batch.length;
    await readConflictingKeys(dependencies, outcome);
    if (isCommitted && overlay.size === 0) {
      const ms = Math.round(clock.now() - startedAt);
      log.info({ epoch: epoch.number, records: recordCount, ms }, 'all written back');
    }
  }
}

/**
 * Reads keys that were written meanwhile, or whose old records reappeared in the store; reading a key decides whether
 * its repair still applies.
 */
async function readConflictingKeys({ store }: WriteBackDependencies, outcome: CommitOutcome): Promise<void> {
  if (outcome.outcome !== 'conflict') return;
  for (const key of outcome.failed) await store.read(key, WRITE_BACK_PRIORITY);
}

async function deleteObsoleteKeys(
  { store, batchSize }: WriteBackDependencies,
  epochStore: EpochStore,
): Promise<void> {
  const batch = [...epochStore.obsoleteKeys]
    .sort((first, second) => deletionPriority(first) - deletionPriority(second))
    .slice(0, batchSize);
  const outcome = await store.commit(
    [],
    batch.map((key) => ({ delete: key })),
    WRITE_BACK_PRIORITY,
  );
  if (outcome.outcome === 'committed')
    epochStore.obsoleteKeys = epochStore.obsoleteKeys.filter((key) => !batch.includes(key));
}

/** Markers and pages are deleted first: deleting a tombstone before its page would restore the record. */
function deletionPriority(key: string): number {
  if (isMarkerKey(key)) return 0;
  return isControlKey(key) ? 1 : 2;
}
