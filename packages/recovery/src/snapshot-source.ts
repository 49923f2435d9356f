/**
 * Snapshots as a source of records that remains available after all controllers have failed.
 *
 * @module
 */
import type { KeyValue, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { OpenEpoch } from './epoch/open-epoch.js';
import type { EpochReplica } from './replica/merge.js';
import { findContradiction } from './replica/replica-entry.js';

/** The records of a snapshot, as of one revision of an epoch. */
export type SnapshotReplica = EpochReplica & { readonly revision: number; readonly deployment: string };

/** Source of the snapshots that operators keep. */
export interface SnapshotSource {
  /** Returns the newest undamaged snapshot of a deployment, or of any if that is null; null without one. */
  latest(deployment: string | null): Promise<SnapshotReplica | null>;
}

/** Returns evidence that the store's content is older than a snapshot of it, or null without any. */
export function findMissingFromSnapshot(
  snapshot: SnapshotReplica,
  { epoch, records, pendingRepairs, revision }: OpenEpoch,
): string | null {
  if (snapshot.epoch > epoch.number || (snapshot.epoch === epoch.number && snapshot.revision > revision))
    return `a snapshot is newer than the store: epoch ${snapshot.epoch}, revision ${snapshot.revision}`;
  const current = new Map<string, KeyValue>(records.map((record) => [record.key, record]));
  for (const { key, text } of pendingRepairs)
    current.set(key, { key, value: JSON.parse(text) as unknown, version: snapshot.revision as Version });
  for (const key of snapshot.keys()) {
    const entry = snapshot.get(key);
    const record = current.get(key);
    // Versions of different epochs cannot be compared, but a missing job is evidence in any epoch.
    if (entry === undefined || (record !== undefined && snapshot.epoch < epoch.number)) continue;
    const contradiction = findContradiction(key, entry, record?.version ?? KEY_ABSENT, record?.value);
    if (contradiction !== null) return `compared with a snapshot: ${contradiction}`;
  }
  return null;
}
