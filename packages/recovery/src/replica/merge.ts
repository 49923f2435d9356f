/**
 * Merging of replicas: which value of a key takes precedence, and which values the key-value store lacks.
 *
 * @module
 */
import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import type { ReplicaEntry } from './replica-entry.js';
import { isSameValue, jobPhaseOf } from './replica-entry.js';

/** Records of one epoch from any source: a controller's replica, a contribution to a recovery, or a snapshot. */
export interface EpochReplica {
  /** Number of the epoch in which the records were read; versions of different epochs do not compare. */
  readonly epoch: number;
  /** Returns the entry of a key, or undefined if the source does not have it. */
  get(key: string): ReplicaEntry | undefined;
  /** Iterates over all keys of the source. */
  keys(): Iterable<string>;
}

/** An entry with the number of the epoch in which it was read. */
export interface EpochEntry extends ReplicaEntry {
  readonly epoch: number;
}

/** The value of a record that is missing or out of date in the store. */
export interface RecordRepair extends EpochEntry {
  readonly key: string;
  /** Version of the store's own value that the repair replaces; `KEY_ABSENT` if the store has none. */
  readonly replacedVersion: Version;
}

/** A replica without any records. */
export const EMPTY_REPLICA: EpochReplica = { epoch: 0, get: () => undefined, keys: () => [] };

/**
 * Returns which of two entries of a key takes precedence. A job that has ended in either has ended; of two different
 * final phases the earlier one wins, because users received that one first. Otherwise the later epoch wins, then the
 * higher version, then the first entry.
 */
function selectNewerEntry(key: string, first: EpochEntry, second: EpochEntry): EpochEntry {
  const later = selectLaterEntry(first, second);
  if (!key.startsWith(JOB_KEY_PREFIX) || first.text === second.text) return later;
  const firstPhase = jobPhaseOf(first.text);
  const secondPhase = jobPhaseOf(second.text);
  if (firstPhase === secondPhase) return later;
  if (firstPhase === null) return second;
  if (secondPhase === null) return first;
  if (firstPhase === 'active') return second;
  if (secondPhase === 'active') return first;
  return later === first ? second : first;
}

function selectLaterEntry(first: EpochEntry, second: EpochEntry): EpochEntry {
  if (first.epoch !== second.epoch) return first.epoch > second.epoch ? first : second;
  return second.version > first.version ? second : first;
}

/**
 * Returns the repairs that bring `store` up to date with all records in `replicas` that are newer there or missing in
 * the store. An entry with the same value needs no repair, regardless of its version.
 *
 * @param store - The store's records as they were read after the fence had moved.
 */
export function mergeReplicas(store: EpochReplica, replicas: readonly EpochReplica[]): RecordRepair[] {
  const repairs: RecordRepair[] = [];
  const mergedKeys = new Set<string>();
  for (const replica of replicas)
    for (const key of replica.keys()) {
      if (mergedKeys.has(key)) continue;
      mergedKeys.add(key);
      const repair = findRepair(key, store, replicas);
      if (repair !== null) repairs.push(repair);
    }
  return repairs;
}

function findRepair(
  key: string,
  store: EpochReplica,
  replicas: readonly EpochReplica[],
): RecordRepair | null {
  const newest = selectNewestEntry(key, replicas);
  if (newest === null) return null;
  const stored = store.get(key);
  if (stored !== undefined) {
    if (isSameValue(key, stored.text, newest.text)) return null;
    const storedEntry = { ...stored, epoch: store.epoch };
    if (selectNewerEntry(key, newest, storedEntry) === storedEntry) return null;
  }
  return {
    key,
    version: newest.version,
    text: newest.text,
    epoch: newest.epoch,
    replacedVersion: stored?.version ?? KEY_ABSENT,
  };
}

function selectNewestEntry(key: string, replicas: readonly EpochReplica[]): EpochEntry | null {
  let newest: EpochEntry | null = null;
  for (const replica of replicas) {
    const entry = replica.get(key);
    if (entry === undefined) continue;
    const candidate = { ...entry, epoch: replica.epoch };
    newest = newest === null ? candidate : selectNewerEntry(key, newest, candidate);
  }
  return newest;
}
