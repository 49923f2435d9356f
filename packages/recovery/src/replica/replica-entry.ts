/**
 * The entry of a key in a replica, and the comparison of two values of a key.
 *
 * @module
 */
import { isDeepStrictEqual } from 'node:util';
import { JOB_KEY_PREFIX } from '@spurbridge/model';
import type { Version } from '@spurbridge/wire';

/** A key's version and value as they were last read. */
export interface ReplicaEntry {
  readonly version: Version;
  /** The value as JSON text, which takes far less memory than the object. */
  readonly text: string;
}

/**
 * Compares a response with the replica's entry at the time the request was sent.
 *
 * @param known - The replica's entry at that time; undefined if the key was not known.
 * @param version - The version in the response.
 * @param value - The value in the response; undefined if the key is absent, which is only a contradiction for records
 * that are never deleted.
 * @returns Why an intact store cannot return this response, or null if it can.
 */
export function findContradiction(
  key: string,
  known: ReplicaEntry | undefined,
  version: Version,
  value: unknown,
): string | null {
  if (known === undefined) return null;
  if (value === undefined) return isNeverDeleted(key, known) ? `${key} is missing` : null;
  if (version < known.version)
    return `${key} has version ${version}, but version ${known.version} was read earlier`;
  if (version === known.version && !isSameValue(key, known.text, JSON.stringify(value)))
    return `${key} has a different value at version ${version}`;
  return null;
}

/**
 * Returns whether a record is never deleted. That applies to jobs submitted by users; jobs of a task graph are deleted
 * with the graph.
 */
export function isNeverDeleted(key: string, entry: ReplicaEntry): boolean {
  return key.startsWith(JOB_KEY_PREFIX) && !entry.text.includes('"graph":"');
}

/** Returns the phase of a job from the JSON of its record, or null if that cannot be read. */
export function jobPhaseOf(text: string): string | null {
  try {
    return jobPhaseOfValue(JSON.parse(text));
  } catch {
    // The text is not JSON.
    return null;
  }
}

/** Returns the phase of a job from the value of its record, or null if it has none. */
export function jobPhaseOfValue(value: unknown): string | null {
  const phase = typeof value === 'object' && value !== null ? (value as { phase?: unknown }).phase : null;
  return typeof phase === 'string' ? phase : null;
}

/**
 * Returns whether two JSON texts hold the same value of a key, regardless of the order of fields. Records of an ended
 * job only need the same phase, because one of them may be compacted.
 */
export function isSameValue(key: string, firstJson: string, secondJson: string): boolean {
  if (firstJson === secondJson) return true;
  if (key.startsWith(JOB_KEY_PREFIX)) {
    const phase = jobPhaseOf(firstJson);
    if (phase !== null && phase !== 'active') return phase === jobPhaseOf(secondJson);
  }
  return isDeepStrictEqual(JSON.parse(firstJson), JSON.parse(secondJson));
}
