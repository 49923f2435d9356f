/**
 * Translation of a transaction from what readers see, with pending repairs, to the records that the store has.
 *
 * @module
 */
import type { Compare, Mutation } from '@spurbridge/wire';
import { KEY_ABSENT } from '@spurbridge/wire';
import { TOMBSTONE_VALUE } from '../epoch/tombstone.js';
import { isNeverDeleted } from '../replica/replica-entry.js';
import type { RepairOverlay } from '../replica/repair-overlay.js';
import type { Replica } from '../replica/replica.js';

/** Comparisons in the store's own versions. */
export interface TranslatedCompares {
  readonly compares: readonly Compare[];
  /** Keys whose comparison fails regardless of the store's content. */
  readonly failedKeys: readonly string[];
}

/** Mutations as they are sent to the store. */
export interface TranslatedMutations {
  readonly mutations: readonly Mutation[];
  /** Keys that get a tombstone instead of being deleted. */
  readonly tombstoneKeys: readonly string[];
}

/** Translates the versions that readers saw, those of pending repairs among them, to the store's own. */
export function translateCompares(
  compares: readonly Compare[],
  overlay: RepairOverlay,
  replica: Replica,
): TranslatedCompares {
  const translated: Compare[] = [];
  const failedKeys: string[] = [];
  for (const compare of compares) {
    const version = overlay.storeVersionOf(compare);
    // A record that was read before must not count as one that never existed, even if the store now omits it.
    const known = compare.version === KEY_ABSENT ? replica.get(compare.key) : undefined;
    const isLost = known !== undefined && isNeverDeleted(compare.key, known);
    if (version === null || isLost) failedKeys.push(compare.key);
    else translated.push({ key: compare.key, version });
  }
  return { compares: translated, failedKeys };
}

/**
 * Replaces deletions of keys that have a pending repair by tombstones; after a plain deletion, the repair in the page
 * would apply again.
 */
export function translateMutations(
  mutations: readonly Mutation[],
  overlay: RepairOverlay,
): TranslatedMutations {
  const tombstoneKeys: string[] = [];
  const translated = mutations.map((mutation): Mutation => {
    if ('put' in mutation || !overlay.has(mutation.delete)) return mutation;
    tombstoneKeys.push(mutation.delete);
    // The tombstone is kept until the pages are deleted.
    return { put: mutation.delete, value: TOMBSTONE_VALUE };
  });
  return { mutations: translated, tombstoneKeys };
}
