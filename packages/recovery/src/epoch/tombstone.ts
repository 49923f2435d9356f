/**
 * Tombstones: values that mark a key as deleted while a contribution page still holds an entry for it.
 *
 * @module
 */

const TOMBSTONE_FIELD = 'gone';

/** Value that is written in place of a deletion, so that the entry of the page does not apply to the key again. */
export const TOMBSTONE_VALUE = { [TOMBSTONE_FIELD]: true };

/** Returns whether a value is a tombstone. */
export function isTombstone(value: unknown): boolean {
  return (
    typeof value === 'object' &&
    value !== null &&
    (value as Record<string, unknown>)[TOMBSTONE_FIELD] === true
  );
}
