/**
 * Repairs that are durable in contribution pages, but not yet written back to their own keys.
 *
 * @module
 */
import type { Compare, KeyValue, Version } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';

/** A value from a contribution page. It replaces the key's own value while that has the replaced version. */
export interface PendingRepair {
  readonly key: string;
  readonly replacedVersion: Version;
  /** The value as JSON text. */
  readonly text: string;
}

interface OverlayEntry extends PendingRepair {
  replacedVersion: Version;
  /** Version that readers see. It is negative, so it never equals a version of the store. */
  readonly virtualVersion: Version;
}

/**
 * Returns whether a repair still applies if the store has `version` of its key. A version from before the fence does
 * not prove a new write: a store that is being restored may return old records of keys that had been absent.
 */
export function isRepairApplicable(
  replacedVersion: Version,
  version: Version,
  fenceVersion: Version,
): boolean {
  return version === replacedVersion || version < fenceVersion;
}

/** Pending repairs, which are used instead of the values of their keys until those keys are written again. */
export class RepairOverlay {
  private readonly entriesByKey = new Map<string, OverlayEntry>();

  /** @param fenceVersion - Version of the fence of the epoch; everything the epoch writes has a later one. */
  constructor(
    repairs: readonly PendingRepair[],
    private readonly fenceVersion: Version,
  ) {
    repairs.forEach((repair, index) => {
      this.entriesByKey.set(repair.key, { ...repair, virtualVersion: -(index + 1) as Version });
    });
  }

  /** Number of repairs that are not written back yet. */
  get size(): number {
    return this.entriesByKey.size;
  }

  /** Returns whether a key has a pending repair. */
  has(key: string): boolean {
    return this.entriesByKey.has(key);
  }

  /**
   * Returns the repaired value of a key that the store has at `version`, or null if the store's own value applies. A
   * repair that no longer applies is dropped.
   */
  substitute(key: string, version: Version): KeyValue | null {
    const entry = this.entriesByKey.get(key);
    if (entry === undefined) return null;
    if (!isRepairApplicable(entry.replacedVersion, version, this.fenceVersion)) {
      this.entriesByKey.delete(key);
      return null;
    }
    entry.replacedVersion = version;
    return toKeyValue(entry);
  }

  /** Returns the repairs of keys with this prefix that are absent from the store. */
  substitutesOfAbsentKeys(prefix: string): KeyValue[] {
    return [...this.entriesByKey.values()]
      .filter((entry) => entry.key.startsWith(prefix) && entry.replacedVersion === KEY_ABSENT)
      .map(toKeyValue);
  }

  /**
   * Translates a comparison with a version that readers saw to the store's version; null if it can no longer succeed.
   */
  storeVersionOf(compare: Compare): Version | null {
    const entry = this.entriesByKey.get(compare.key);
    if (compare.version >= 0) return entry === undefined ? compare.version : null;
    return entry?.virtualVersion === compare.version ? entry.replacedVersion : null;
  }

  /** Drops the repair of a key that was written, or deleted, after the fence had moved. */
  dropIfWritten(key: string, version: Version): void {
    if (version > this.fenceVersion) this.entriesByKey.delete(key);
  }

  /** Returns up to `limit` repairs, those with the lowest priority number first. */
  nextBatch(limit: number, priorityOf: (key: string) => number): KeyValue[] {
    return [...this.entriesByKey.values()]
      .sort((first, second) => priorityOf(first.key) - priorityOf(second.key))
      .slice(0, limit)
      .map(toKeyValue);
  }
}

function toKeyValue(entry: OverlayEntry): KeyValue {
  return { key: entry.key, value: JSON.parse(entry.text) as unknown, version: entry.virtualVersion };
}
