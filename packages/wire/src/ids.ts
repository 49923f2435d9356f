/**
 * Identifiers, versions and tokens. Each is a branded type of its own, so that the compiler prevents using one in place
 * of another.
 *
 * @module
 */

/** A string or number type that the compiler distinguishes from all others of the same base type. */
export type Brand<T, B extends string> = T & { readonly __brand: B };

/** Id of a job, chosen by its user. */
export type JobId = Brand<string, 'JobId'>;
/** Name of a machine, given by the cloud in the order of creation. */
export type MachineId = Brand<string, 'MachineId'>;
/** Name of a controller node, as the settings give it. */
export type NodeId = Brand<string, 'NodeId'>;
/**
 * Rises with every change of leader, and may rise within the term of one leader. A worker rejects commands that carry a lower token than the highest it has seen.
 */
export type FencingToken = Brand<number, 'FencingToken'>;
/** Counts how often the lease of a worker agent has expired, from 1: tasks of an earlier epoch no longer exist. */
export type AgentEpoch = Brand<number, 'AgentEpoch'>;
/** Distinguishes the starts of a task; all tasks of a gang share the attempt. */
export type Attempt = Brand<number, 'Attempt'>;
/** Revision of the last change of one key in the key-value store. */
export type Version = Brand<number, 'Version'>;
/** Counts all changes in the key-value store. */
export type Revision = Brand<number, 'Revision'>;
/** Id of a lease that the key-value store has granted. */
export type LeaseId = Brand<number, 'LeaseId'>;

/** The version of a key that does not exist. */
export const KEY_ABSENT = 0 as Version;

const JOB_ID = /^wk-[A-Za-z0-9._-]{1,64}$/;

/** Whether the text has the form of a job id. */
export function isJobId(text: string): text is JobId {
  return JOB_ID.test(text);
}
