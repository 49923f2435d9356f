import type { Brand, NodeId, FencingToken, Version } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';

/** Number of one uninterrupted life of the state service; 0 stands for none. */
export type EpochNumber = Brand<number, 'EpochNumber'>;

export const NO_EPOCH = 0 as EpochNumber;
export const EPOCH_KEY = 'epoch';
export const FENCE_PREFIX = 'e/';
export const CONTRIBUTION_PREFIX = 'm/';
const LEADER_KEY = 'leader';
/** More revisions than a state service makes in a millisecond, and in a second: what floors rise by. */
const FLOOR_STEP_MS = 2 ** 10;
const FLOOR_STEP = 2 ** 20;

/** The record `epoch`: which life of the state service this is. */
export interface Epoch {
  readonly number: EpochNumber;
  /** Random; the name of the fence holds it, so an earlier fence never comes again. */
  readonly id: string;
  /** Random, given at the very first start: tells deployments apart. */
  readonly deployment: string;
  /** Added to a revision to make a token. */
  readonly floor: number;
  readonly phase: 'gathering' | 'open';
  /** Number of the epoch that the store's own records belong to: copies of a later one beat them. */
  readonly after: number;
  /** Who moved the fence, and opens. */
  readonly by: NodeId;
  /** The very first: nothing was recorded before it. */
  readonly first: boolean;
  /** Once open: whether the copies that were merged hold every intent that may have been acted on. */
  readonly continuous: boolean;
}

export function fenceKey(id: string): string {
  return FENCE_PREFIX + id;
}

/** Keys that are about the store itself, or about who leads: no part of any copy. */
export function isControlKey(key: string): boolean {
  return (
    key === EPOCH_KEY ||
    key === LEADER_KEY ||
    key.startsWith(FENCE_PREFIX) ||
    key.startsWith(CONTRIBUTION_PREFIX)
  );
}

export function encodeEpoch(e: Epoch): Record<string, unknown> {
  return { ...e };
}

/** Null where the value is not an epoch's: the record counts as lost. */
export function decodeEpoch(value: unknown): Epoch | null {
  try {
    const o = read.asObject(value, EPOCH_KEY);
    return {
      number: read.count(o, 'number', 1) as EpochNumber,
      id: read.name(o, 'id'),
      deployment: read.name(o, 'deployment'),
      floor: read.count(o, 'floor'),
      phase: read.oneOf(o, 'phase', ['gathering', 'open']),
      after: read.count(o, 'after'),
      by: read.string(o, 'by') as NodeId,
      first: read.boolean(o, 'first'),
      continuous: read.boolean(o, 'continuous'),
    };
  } catch {
    return null;
  }
}

/** Token of a leader elected at this revision of the epoch. */
export function fencingTokenAt(floor: number, version: Version): FencingToken {
  return (floor + version) as FencingToken;
}

/**
 * The floor of the next epoch: above the last one that is known and every token that anybody was seen to use, and above
 * all that may have been used without anybody remembering, by the time of day in milliseconds.
 */
export function nextTokenFloor(last: number, seen: FencingToken, wallMs: number): number {
  // By the second, two epochs shortly after one another had the same floor, and gave a token twice.
  return Math.max(Math.max(last, seen) + FLOOR_STEP, Math.floor(wallMs) * FLOOR_STEP_MS);
}
