/**
 * A leader's term and cluster state on a manual clock, for tests of single components.
 *
 * @module
 */
import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import type { Job, WallClockMs } from '@spurbridge/model';
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { TYPES } from '@spurbridge/testkit';
import type { AgentEpoch, FencingToken, Heartbeat, JobSpec, MachineId, Version } from '@spurbridge/wire';
import type { LeaderContext, Logger } from '../src/index.js';
import { ClusterState, LeaderTerm } from '../src/index.js';

/** The machine whose worker sends the heartbeats. */
export const MACHINE = 'n-000001' as MachineId;
/** The fencing token of the leader. */
export const FENCING_TOKEN = 5 as FencingToken;
/** The agent epoch of the worker. */
export const AGENT_EPOCH = 1 as AgentEpoch;

export const silentLogger: Logger = {
  debug: () => undefined,
  info: () => undefined,
  error: () => undefined,
};

export interface LeaderFixture {
  readonly time: { now: number };
  readonly clock: Clock;
  readonly term: LeaderTerm;
  readonly cluster: ClusterState;
}

/** Creates a term with the given parts of its context. */
export function createLeaderFixture(context: object): LeaderFixture {
  const time = { now: 1000 };
  const clock = { now: () => time.now as MonotonicMs, sleep: () => nextTurn() };
  const term = new LeaderTerm({ clock, log: silentLogger, ...context } as unknown as LeaderContext);
  const cluster = new ClusterState({
    clock,
    log: silentLogger,
    machineTypes: () => TYPES,
    ageMs: () => 0,
    previousLeaderRenewsUntil: 0 as MonotonicMs,
  });
  return { time, clock, term, cluster };
}

/** Makes a job known to the cluster. */
export function addJob(cluster: ClusterState, spec: JobSpec): Job {
  const job = cluster.applyJobRecord(
    { spec, phase: 'active', submittedAt: 0 as WallClockMs, chunkSize: 256 },
    3 as Version,
  );
  assert.ok(job !== null);
  return job;
}

/** Places the first task of a job on the machine; its intent is durable. */
export function placeFirstTask(cluster: ClusterState, job: Job): void {
  const { attempt } = cluster.placeTask(job, 0, MACHINE, AGENT_EPOCH, null);
  cluster.markDurable([{ job, task: 0, attempt }]);
}

/** A heartbeat of the machine's worker. */
export function makeHeartbeat(
  sequence: number,
  tasks: Heartbeat['tasks'] = [],
  fencingToken = FENCING_TOKEN,
): Heartbeat {
  return {
    machine: MACHINE,
    address: 'n-000001:1',
    type: 's4',
    zone: 'a',
    spot: false,
    agentEpoch: AGENT_EPOCH,
    sequence,
    fencingToken,
    preemptionNoticeS: null,
    tasks,
  };
}
