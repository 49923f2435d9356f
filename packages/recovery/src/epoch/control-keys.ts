/**
 * Keys that describe the key-value store itself, or its leader, as opposed to the records of jobs and machines.
 *
 * @module
 */
import { LEADER_KEY } from '@spurbridge/store';

/** Key of the epoch record. */
export const EPOCH_KEY = 'epoch';

/** Prefix of fence keys; the name of a fence ends with the id of its epoch. */
export const FENCE_PREFIX = 'e/';

/** Prefix of all contributions to recoveries: pages and markers. */
export const CONTRIBUTION_PREFIX = 'm/';

/** Returns the key of the fence of the epoch with this id. */
export function fenceKey(epochId: string): string {
  return FENCE_PREFIX + epochId;
}

/** Returns whether a key is a control key. Control keys are never part of a replica. */
export function isControlKey(key: string): boolean {
  return (
    key === EPOCH_KEY ||
    key === LEADER_KEY ||
    key.startsWith(FENCE_PREFIX) ||
    key.startsWith(CONTRIBUTION_PREFIX)
  );
}
