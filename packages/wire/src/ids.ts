/** Ids, versions and tokens are small types of their own, so that none is taken for another. */
export type Brand<T, B extends string> = T & { readonly __brand: B };

export type JobId = Brand<string, 'JobId'>;
export type MachineId = Brand<string, 'MachineId'>;
export type NodeId = Brand<string, 'NodeId'>;
export type FencingToken = Brand<number, 'Token'>;
export type AgentEpoch = Brand<number, 'Session'>;
export type Attempt = Brand<number, 'Attempt'>;
/** State service revision of one key's last change. */
export type Version = Brand<number, 'Version'>;
/** State service revision counter. */
export type Revision = Brand<number, 'Revision'>;
export type LeaseId = Brand<number, 'LeaseId'>;

export const KEY_ABSENT = 0 as Version;

const JOB_ID = /^wk-[A-Za-z0-9._-]{1,64}$/;

export function isJobId(text: string): text is JobId {
  return JOB_ID.test(text);
}
