import { KEY_ABSENT } from '@spurbridge/wire';
import type { KeyValue, Version } from '@spurbridge/wire';
import { findContradiction } from './replica/replica.js';
import type { OpenEpoch } from './phases/store-recovery.js';
import type { EpochReplica } from './replica/merge.js';

export type SnapshotReplica = EpochReplica & { readonly revision: number; readonly deployment: string };

/** Snapshots that outlive all nodes, where the operators keep some. */
export interface SnapshotSource {
  /** The newest that is whole and of this deployment (null: not known yet), as a memory; null without one. */
  latest(deployment: string | null): Promise<SnapshotReplica | null>;
}

/** Why the store that was read lacks what a snapshot of it has, or null. */
export function findMissingFromSnapshot(s: SnapshotReplica, o: OpenEpoch): string | null {
  const { number } = o.epoch;
  if (s.epoch > number || (s.epoch === number && s.revision > o.revision))
    return `a snapshot is later: epoch ${s.epoch}, revision ${s.revision}`;
  const here = new Map<string, KeyValue>(o.items.map((i) => [i.key, i]));
  for (const p of o.pending)
    here.set(p.key, { key: p.key, value: JSON.parse(p.text) as unknown, version: s.revision as Version });
  for (const key of s.keys()) {
    const seen = s.get(key);
    const item = here.get(key);
    // Versions of an earlier epoch do not compare, but that a job is known does.
    if (seen === undefined || (item !== undefined && s.epoch < number)) continue;
    const why = findContradiction(key, seen, item?.version ?? KEY_ABSENT, item?.value);
    if (why !== null) return `${why} in a snapshot`;
  }
  return null;
}
