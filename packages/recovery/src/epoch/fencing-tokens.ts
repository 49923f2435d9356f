/**
 * Fencing tokens of leaders, which rise across losses of the key-value store.
 *
 * @module
 */
import type { FencingToken, Version } from '@spurbridge/wire';

/**
 * Minimum rise of the token floor per millisecond; more than the number of revisions that a store can create in that
 * time.
 */
const TOKENS_PER_MS = 2 ** 10;

/** Minimum rise of the token floor per epoch; more than the number of revisions that a store can create in a second. */
const TOKENS_PER_EPOCH = 2 ** 20;

/** Returns the fencing token of a leader whose record, or a later commit of its term, has this version in an epoch. */
export function fencingTokenAt(tokenFloor: number, version: Version): FencingToken {
  return (tokenFloor + version) as FencingToken;
}

/**
 * Returns the token floor of the next epoch. It lies above the last known floor and every token that was seen. It also
 * rises with the wall-clock time, so that it lies above tokens that were issued but never seen.
 */
export function nextTokenFloor(lastFloor: number, highestSeenToken: FencingToken, wallMs: number): number {
  // The unit is milliseconds: with seconds, two epochs that began within one second had the same floor, and a token was
  // issued twice.
  const timeFloor = Math.floor(wallMs) * TOKENS_PER_MS;
  return Math.max(Math.max(lastFloor, highestSeenToken) + TOKENS_PER_EPOCH, timeFloor);
}
