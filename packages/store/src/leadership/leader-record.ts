/**
 * The record that names the leader. It is attached to the leader's lease and removed when the lease ends.
 *
 * @module
 */
import type { NodeId } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';

/** Key of the leader's record. */
export const LEADER_KEY = 'leader';

/** The node and process that lead. */
export interface LeaderRecord {
  readonly node: NodeId;
  /** Identifies the node's process and changes with every restart. Null if the record has no incarnation. */
  readonly incarnation: string | null;
}

/** Parses a leader's record; throws a `ValidationError` if it is malformed. */
export function parseLeaderRecord(value: unknown): LeaderRecord {
  const fields = read.asObject(value, LEADER_KEY);
  const { incarnation } = fields;
  return {
    node: read.string(fields, 'node') as NodeId,
    incarnation: typeof incarnation === 'string' ? incarnation : null,
  };
}

/** The value of a leader's record. */
export function formatLeaderRecord(record: LeaderRecord): Record<string, unknown> {
  return { node: record.node, incarnation: record.incarnation };
}
