/**
 * The epoch record, which identifies the current epoch: the period since the key-value store last lost data
 * (docs/state-loss.md).
 *
 * @module
 */
import type { Brand, NodeId, Version } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';
import { EPOCH_KEY } from './control-keys.js';

/** Number of an epoch; `NO_EPOCH` stands for none. */
export type EpochNumber = Brand<number, 'EpochNumber'>;

/** The epoch number that means that there is no epoch. */
export const NO_EPOCH = 0 as EpochNumber;

const EPOCH_PHASES = ['gathering', 'open'] as const;

/** Phase of an epoch: controllers contribute their replicas to it (`gathering`), or work in it (`open`). */
export type EpochPhase = (typeof EPOCH_PHASES)[number];

/** A period in which the key-value store has lost no data, as the record `epoch` describes it. */
export interface Epoch {
  readonly number: EpochNumber;
  /** Random. It is part of the name of the fence, so a fence of an earlier epoch never becomes valid again. */
  readonly id: string;
  /** Random, generated when the store is initialized; distinguishes deployments. */
  readonly deployment: string;
  /** Added to the revision of an election to make the leader's fencing token. */
  readonly tokenFloor: number;
  readonly phase: EpochPhase;
  /** Number of the epoch that the store's own records belong to: replicas of a later epoch take precedence over them. */
  readonly baseEpoch: number;
  /** The controller that moved the fence and will open the epoch. */
  readonly initiator: NodeId;
  /** Whether this is the first epoch of the deployment, with no records before it. */
  readonly isInitial: boolean;
  /** Once open: whether the merged replicas contain every intended placement that a leader may have acted on. */
  readonly continuous: boolean;
}

/** The epoch record as it was read, with the version that a transaction compares to replace it. */
export interface VersionedEpoch {
  /** Null if the record is absent or cannot be decoded: either way the epoch is lost. */
  readonly epoch: Epoch | null;
  readonly version: Version;
}

/** Encodes an epoch as the value of its record. */
export function encodeEpoch(epoch: Epoch): Record<string, unknown> {
  return {
    number: epoch.number,
    id: epoch.id,
    deployment: epoch.deployment,
    floor: epoch.tokenFloor,
    phase: epoch.phase,
    after: epoch.baseEpoch,
    by: epoch.initiator,
    first: epoch.isInitial,
    continuous: epoch.continuous,
  };
}

/** Decodes the value of an epoch record. Returns null for a malformed value: the record then counts as lost. */
export function decodeEpoch(value: unknown): Epoch | null {
  try {
    const record = read.asObject(value, EPOCH_KEY);
    return {
      number: read.count(record, 'number', 1) as EpochNumber,
      id: read.name(record, 'id'),
      deployment: read.name(record, 'deployment'),
      tokenFloor: read.count(record, 'floor'),
      phase: read.oneOf(record, 'phase', EPOCH_PHASES),
      baseEpoch: read.count(record, 'after'),
      initiator: read.string(record, 'by') as NodeId,
      isInitial: read.boolean(record, 'first'),
      continuous: read.boolean(record, 'continuous'),
    };
  } catch {
    // A record that cannot be decoded does not identify the current epoch, regardless of the error.
    return null;
  }
}
