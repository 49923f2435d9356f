/**
 * Entering an epoch that opened without this controller: job records that only its replica holds are written
 * immediately.
 *
 * @module
 */
import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { KeyValue } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { Epoch } from '../epoch/epoch-record.js';
import type { OpenEpoch } from '../epoch/open-epoch.js';
import type { EpochReplica, RecordRepair } from '../replica/merge.js';
import { mergeReplicas } from '../replica/merge.js';
import type { PendingRepair } from '../replica/repair-overlay.js';
import { Replica } from '../replica/replica.js';
import { commitWithRetry } from './commit-with-retry.js';
import { loadEpoch } from './load-epoch.js';
import type { StoreRecoveryDependencies } from './recovery-dependencies.js';
import { pauseBeforeRetry } from './recovery-dependencies.js';

/** Reads an open epoch, and writes the job records that it lacks until none is missing. Returns null on failure. */
export async function enterWithLateContribution(
  dependencies: StoreRecoveryDependencies,
  epoch: Epoch,
): Promise<OpenEpoch | null> {
  for (;;) {
    const openEpoch = await loadEpoch(dependencies, epoch, false);
    if (openEpoch === null) return null;
    const repairs = findJobRepairs(openEpoch, dependencies.localState().replicas);
    if (repairs.length === 0) return openEpoch;
    const versions = new Map(openEpoch.records.map((record) => [record.key, record.version]));
    for (const { key, text } of repairs) {
      const compares = [openEpoch.fence, { key, version: versions.get(key) ?? KEY_ABSENT }];
      const mutations = [{ put: key, value: JSON.parse(text) as unknown }];
      if (!(await commitWithRetry(dependencies, compares, mutations)))
        return pauseBeforeRetry(dependencies.clock);
    }
    dependencies.log.info(
      { epoch: epoch.number, records: repairs.length },
      'missing job records written to open epoch',
    );
  }
}

/**
 * Only job records, which users may rely on, are repaired. For tasks, heartbeats are a better source than an old
 * replica.
 */
function findJobRepairs(
  { epoch, records, pendingRepairs, revision }: OpenEpoch,
  replicas: readonly EpochReplica[],
): RecordRepair[] {
  if (replicas.length === 0) return [];
  const content = new Replica();
  content.replaceAll([...records, ...pendingRepairs.map(toKeyValue)], revision);
  const store: EpochReplica = {
    epoch: epoch.number,
    get: (key) => content.get(key),
    keys: () => content.keys(),
  };
  return mergeReplicas(store, replicas).filter(
    (repair) => repair.key.startsWith(JOB_KEY_PREFIX) && isUnknownOrEnded(repair, store),
  );
}

/**
 * Returns whether a late replica takes precedence: the epoch does not know the job, or has it as active while it has
 * ended in the replica.
 */
function isUnknownOrEnded(repair: RecordRepair, store: EpochReplica): boolean {
  return store.get(repair.key) === undefined || !repair.text.includes('"phase":"active"');
}

function toKeyValue({ key, text, replacedVersion }: PendingRepair): KeyValue {
  return { key, value: JSON.parse(text) as unknown, version: replacedVersion };
}
