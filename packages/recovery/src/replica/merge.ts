import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { Version } from '@spurbridge/wire';
import type { ReplicaEntry } from './replica.js';
import { jobPhaseOf, isSameValue } from './replica.js';

/** One memory of the store: a node's copy, a page that a node wrote, or a snapshot. */
export interface EpochReplica {
  /** Number of the epoch in which it was seen; versions of different epochs do not compare. */
  readonly epoch: number;
  get(key: string): ReplicaEntry | undefined;
  keys(): Iterable<string>;
}

export interface EpochEntry extends ReplicaEntry {
  readonly epoch: number;
}

/**
 * Which of two memories of a key stands. A job that is over in either is over; of two different ends the earlier
 * one was told first. Otherwise the later epoch, then the higher version; at the same the first given.
 */
export function selectNewerEntry(key: string, a: EpochEntry, b: EpochEntry): EpochEntry {
  const later = a.epoch !== b.epoch ? (a.epoch > b.epoch ? a : b) : b.version > a.version ? b : a;
  if (!key.startsWith(JOB_KEY_PREFIX) || a.text === b.text) return later;
  const [pa, pb] = [jobPhaseOf(a.text), jobPhaseOf(b.text)];
  if (pa === null || pb === null) return pa === null ? (pb === null ? later : b) : a;
  if (pa === pb) return later;
  if (pa === 'active' || pb === 'active') return pa === 'active' ? b : a;
  return later === a ? b : a;
}

/** A key whose value in the store is not what stands: what does, and the store's version of it. */
export interface RecordRepair extends ReplicaEntry {
  readonly key: string;
  readonly epoch: number;
  readonly over: Version;
}

/**
 * What of `memories` has to be put into `store`: all that is newer there, or missing. `store` is what was read after
 * the fence moved; an entry the same as in the store but for its version needs no repair.
 */
export function mergeReplicas(store: EpochReplica, memories: readonly EpochReplica[]): RecordRepair[] {
  const repairs: RecordRepair[] = [];
  const done = new Set<string>();
  for (const memory of memories)
    for (const key of memory.keys()) {
      if (done.has(key)) continue;
      done.add(key);
      let best: EpochEntry | null = null;
      for (const m of memories) {
        const s = m.get(key);
        if (s === undefined) continue;
        const aged = { ...s, epoch: m.epoch };
        best = best === null ? aged : selectNewerEntry(key, best, aged);
      }
      if (best === null) continue;
      const there = store.get(key);
      if (there !== undefined) {
        if (isSameValue(key, there.text, best.text)) continue;
        const aged = { ...there, epoch: store.epoch };
        if (selectNewerEntry(key, best, aged) === aged) continue;
      }
      repairs.push({
        key,
        version: best.version,
        text: best.text,
        epoch: best.epoch,
        over: there?.version ?? (0 as Version),
      });
    }
  return repairs;
}
