import { JOB_PREFIX } from '@spurbridge/model';
import type { Version } from '@spurbridge/wire';
import type { Seen } from './copy.js';
import { phaseOf, saysTheSame } from './copy.js';

/** One memory of the store: a node's copy, a page that a node wrote, or a snapshot. */
export interface Memory {
  /** Number of the epoch in which it was seen; versions of different epochs do not compare. */
  readonly epoch: number;
  get(key: string): Seen | undefined;
  keys(): Iterable<string>;
}

export interface Aged extends Seen {
  readonly epoch: number;
}

/**
 * Which of two memories of a key stands. A job that is over in either is over; of two different ends the earlier
 * one was told first. Otherwise the later epoch, then the higher version; at the same the first given.
 */
export function newer(key: string, a: Aged, b: Aged): Aged {
  const later = a.epoch !== b.epoch ? (a.epoch > b.epoch ? a : b) : b.version > a.version ? b : a;
  if (!key.startsWith(JOB_PREFIX) || a.text === b.text) return later;
  const [pa, pb] = [phaseOf(a.text), phaseOf(b.text)];
  if (pa === null || pb === null) return pa === null ? (pb === null ? later : b) : a;
  if (pa === pb) return later;
  if (pa === 'active' || pb === 'active') return pa === 'active' ? b : a;
  return later === a ? b : a;
}

/** A key whose value in the store is not what stands: what does, and the store's version of it. */
export interface Repair extends Seen {
  readonly key: string;
  readonly epoch: number;
  readonly over: Version;
}

/**
 * What of `memories` has to be put into `store`: all that is newer there, or missing. `store` is what was read after
 * the fence moved; an entry the same as in the store but for its version needs no repair.
 */
export function merge(store: Memory, memories: readonly Memory[]): Repair[] {
  const repairs: Repair[] = [];
  const done = new Set<string>();
  for (const memory of memories)
    for (const key of memory.keys()) {
      if (done.has(key)) continue;
      done.add(key);
      let best: Aged | null = null;
      for (const m of memories) {
        const s = m.get(key);
        if (s === undefined) continue;
        const aged = { ...s, epoch: m.epoch };
        best = best === null ? aged : newer(key, best, aged);
      }
      if (best === null) continue;
      const there = store.get(key);
      if (there !== undefined) {
        if (saysTheSame(key, there.text, best.text)) continue;
        const aged = { ...there, epoch: store.epoch };
        if (newer(key, best, aged) === aged) continue;
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
