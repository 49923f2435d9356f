/**
 * Contributions of a recovery as replicas, to be merged.
 *
 * @module
 */
import type { KeyValue } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { EpochReplica, RecordRepair } from '../replica/merge.js';
import { EMPTY_REPLICA, mergeReplicas } from '../replica/merge.js';
import type { Contribution } from './contribution-codec.js';
import { readContributions } from './contribution-codec.js';
import type { RecoveryLog } from './recovery-dependencies.js';

/** Decodes all complete contributions among the given keys, and logs those that are damaged. */
export function decodeContributions(keyValues: Iterable<KeyValue>, log: RecoveryLog): Contribution[] {
  return readContributions(keyValues, (description) => {
    log.info({ what: description }, 'contribution cannot be decoded');
  });
}

/** Groups repairs into one replica for each epoch in which they were read. */
export function toReplicas(repairs: readonly RecordRepair[]): EpochReplica[] {
  const repairsByEpoch = new Map<number, Map<string, RecordRepair>>();
  for (const repair of repairs) {
    const repairsOfEpoch = repairsByEpoch.get(repair.epoch) ?? new Map<string, RecordRepair>();
    repairsByEpoch.set(repair.epoch, repairsOfEpoch.set(repair.key, repair));
  }
  return [...repairsByEpoch].map(([epoch, repairsOfEpoch]) => ({
    epoch,
    get: (key) => repairsOfEpoch.get(key),
    keys: () => repairsOfEpoch.keys(),
  }));
}

/** Merges contributions to one epoch. Returns the repair that takes precedence for each key. */
export function mergeContributions(contributions: readonly Contribution[]): Map<string, RecordRepair> {
  const replicas = contributions.flatMap((contribution) => toReplicas(contribution.repairs));
  const replacedVersions = new Map(
    contributions.flatMap(({ repairs }) =>
      repairs.map((repair) => [repair.key, repair.replacedVersion] as const),
    ),
  );
  const merged = new Map<string, RecordRepair>();
  for (const repair of mergeReplicas(EMPTY_REPLICA, replicas)) {
    const replacedVersion = replacedVersions.get(repair.key) ?? KEY_ABSENT;
    merged.set(repair.key, { ...repair, replacedVersion });
  }
  return merged;
}
