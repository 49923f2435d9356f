/**
 * Selection of the keys that an audit compares with the key-value store.
 *
 * @module
 */
import type { Compare, Revision } from '@spurbridge/wire';
import type { Replica } from '../replica/replica.js';

/**
 * Selects keys for audits: the most recently written ones, then all others in turn. Also tracks keys that may be lost.
 */
export class AuditSelector {
  private readonly recentlyWritten = new Set<string>();
  private rotation: Iterator<string> | null = null;
  /** Keys that were absent from a response, with the revision of the response. The watch had not reached it yet. */
  private readonly absentKeys = new Map<string, Revision>();

  /** @param maxCompares - Maximum number of keys that one audit compares. */
  constructor(private readonly maxCompares: number) {}

  /** Records that a key was written, so that one of the next audits compares it. */
  noteWrite(key: string): void {
    // Deleting and adding the key moves it to the end: the latest writes are audited first.
    this.recentlyWritten.delete(key);
    this.recentlyWritten.add(key);
  }

  /**
   * Returns the comparisons of the next audit. Keys for which `isReplaced` returns true have a pending repair in place
   * of the store's value, and are skipped.
   */
  selectCompares(replica: Replica, isReplaced: (key: string) => boolean): Compare[] {
    const selected = new Map<string, Compare>();
    const select = (key: string): void => {
      const entry = replica.get(key);
      if (entry !== undefined && !isReplaced(key)) selected.set(key, { key, version: entry.version });
    };
    for (const key of [...this.recentlyWritten].reverse()) {
      if (selected.size >= this.maxCompares) break;
      select(key);
    }
    this.recentlyWritten.clear();
    for (let count = 0; count < this.maxCompares && selected.size < this.maxCompares; count += 1) {
      this.rotation ??= replica.keys();
      const next = this.rotation.next();
      if (next.done === true) {
        this.rotation = null;
        break;
      }
      select(next.value);
    }
    return [...selected.values()];
  }

  /** Records that a known key was absent at a revision. The watch will reveal whether it was deleted. */
  noteAbsent(key: string, revision: Revision): void {
    if (!this.absentKeys.has(key)) this.absentKeys.set(key, revision);
  }

  /** Returns a key that was absent although the watch, now past that revision, showed no deletion; null if there is none. */
  findLostKey(replica: Replica): string | null {
    for (const [key, revision] of this.absentKeys) {
      if (replica.revision < revision) continue;
      this.absentKeys.delete(key);
      // A later version belongs to another record. Without this check, a key that was deleted and written again between
      // two audits counted as lost.
      const entry = replica.get(key);
      if (entry !== undefined && entry.version <= revision) return key;
    }
    return null;
  }
}
