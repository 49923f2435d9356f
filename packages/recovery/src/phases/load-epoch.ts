/**
 * Fifth phase of a recovery: a controller reads the whole content of an open epoch.
 *
 * @module
 */
import type { KeyValue, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { CONTRIBUTION_PREFIX, fenceKey, isControlKey } from '../epoch/control-keys.js';
import type { Epoch } from '../epoch/epoch-record.js';
import type { OpenEpoch } from '../epoch/open-epoch.js';
import { isTombstone } from '../epoch/tombstone.js';
import type { PendingRepair } from '../replica/repair-overlay.js';
import { isRepairApplicable } from '../replica/repair-overlay.js';
import { CONTROL_PRIORITY } from '../request-priorities.js';
import { decodeContributions, mergeContributions } from './contributed-replicas.js';
import type { RecoveryLog, StoreRecoveryDependencies } from './recovery-dependencies.js';
import { pauseBeforeRetry } from './recovery-dependencies.js';

/**
 * Reads an open epoch. Returns null, after a pause, if the store has not responded or the fence has moved.
 *
 * @param tookPartInRecovery - Whether this controller contributed to the recovery that opened the epoch.
 */
export async function loadEpoch(
  { underlyingStore, clock, log }: StoreRecoveryDependencies,
  epoch: Epoch,
  tookPartInRecovery: boolean,
): Promise<OpenEpoch | null> {
  const listed = await underlyingStore.list('', CONTROL_PRIORITY);
  if (listed.outcome !== 'listed') return pauseBeforeRetry(clock);
  const { items, revision, latest } = listed;
  const fence = items.find((item) => item.key === fenceKey(epoch.id));
  if (fence === undefined) return pauseBeforeRetry(clock);
  const pendingRepairs = findPendingRepairs(epoch, items, fence.version, log);
  const repairedKeys = new Set(pendingRepairs.map((repair) => repair.key));
  return {
    epoch,
    fence: { key: fence.key, version: fence.version },
    records: items.filter(
      ({ key, value }) => !isControlKey(key) && !repairedKeys.has(key) && !isTombstone(value),
    ),
    pendingRepairs,
    obsoleteKeys: items.filter(isObsolete).map((item) => item.key),
    revision,
    latestRevision: latest,
    tookPartInRecovery,
  };
}

function findPendingRepairs(
  epoch: Epoch,
  items: readonly KeyValue[],
  fenceVersion: Version,
  log: RecoveryLog,
): PendingRepair[] {
  const versions = new Map(items.map((item) => [item.key, item.version]));
  const contributions = decodeContributions(items, log).filter(({ epochId }) => epochId === epoch.id);
  const pending: PendingRepair[] = [];
  for (const { key, text, replacedVersion } of mergeContributions(contributions).values()) {
    const version = versions.get(key) ?? KEY_ABSENT;
    if (isRepairApplicable(replacedVersion, version, fenceVersion))
      pending.push({ key, replacedVersion: version, text });
  }
  return pending;
}

function isObsolete({ key, value }: KeyValue): boolean {
  return key.startsWith(CONTRIBUTION_PREFIX) || isTombstone(value);
}
