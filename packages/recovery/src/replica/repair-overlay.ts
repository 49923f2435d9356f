import type { Compare, KeyValue, Version } from '@spurbridge/wire';

/** An entry of a page: stands in for its key while that has the version `over`. */
export interface PendingRepair {
  readonly key: string;
  readonly over: Version;
  readonly text: string;
}

interface Entry extends PendingRepair {
  over: Version;
  /** Names the entry in conditions: negative, so that no version of the store is like it. */
  readonly virtual: Version;
}

/**
 * Whether an entry still stands where the store has `version` of its key. What is older than the fence was not written
 * since: a store that fills up again shows old records where the key was absent before.
 */
export function standsOver(over: Version, version: Version, fencedAt: Version): boolean {
  return version === over || version < fencedAt;
}

/** Entries of pages that stand in for their keys until those are written again. */
export class RepairOverlay {
  private readonly entries = new Map<string, Entry>();

  constructor(
    pending: readonly PendingRepair[],
    private readonly fencedAt: Version,
  ) {
    pending.forEach((p, i) => this.entries.set(p.key, { ...p, virtual: -(i + 1) as Version }));
  }

  get size(): number {
    return this.entries.size;
  }

  has(key: string): boolean {
    return this.entries.has(key);
  }

  /** What stands in for a key that the store has at this version; null where the store's own stands. */
  standIn(key: string, version: Version): KeyValue | null {
    const e = this.entries.get(key);
    if (e === undefined) return null;
    if (!standsOver(e.over, version, this.fencedAt)) {
      this.entries.delete(key);
      return null;
    }
    e.over = version;
    return itemOf(e);
  }

  absentBelow(prefix: string): KeyValue[] {
    return [...this.entries.values()].filter((e) => e.key.startsWith(prefix) && e.over === 0).map(itemOf);
  }

  /** The store's version for a condition that was read here; null where it cannot hold any more. */
  real(c: Compare): Version | null {
    const e = this.entries.get(c.key);
    if (c.version < 0) return e?.virtual === c.version ? e.over : null;
    return e === undefined ? c.version : null;
  }

  /** The key was written after the fence moved. */
  changed(key: string, version: Version): void {
    if (version > this.fencedAt) this.entries.delete(key);
  }

  /** Some entries, those of the lowest rank first. */
  first(most: number, rank: (key: string) => number): KeyValue[] {
    return [...this.entries.values()]
      .sort((a, b) => rank(a.key) - rank(b.key))
      .slice(0, most)
      .map(itemOf);
  }
}

function itemOf(e: Entry): KeyValue {
  return { key: e.key, value: JSON.parse(e.text) as unknown, version: e.virtual };
}
