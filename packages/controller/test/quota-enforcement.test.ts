import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConfigurationVersion } from '@spurbridge/configuration';
import type { Job, Team, WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { JobId, MachineId, AgentEpoch, Version } from '@spurbridge/wire';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';
import { ClusterState } from '../src/index.js';
import { SchedulingLoop } from '../src/placement/scheduling-loop.js';
import { PlanningBackoff } from '../src/placement/planning-backoff.js';
import { MachineQueues } from '../src/placement/machine-queues.js';
import type { LeaderContext } from '../src/leadership/leader-term.js';
import { LeaderTerm } from '../src/leadership/leader-term.js';

const MACHINE = 'n-000001' as MachineId;
const AGENT_EPOCH = 1 as AgentEpoch;
const silentLogger = { debug: () => undefined, info: () => undefined, error: () => undefined };

/** Queues tasks of one CPU on a machine, runs one scheduling pass with this quota, and starts the tasks that fit. */
async function scheduleQueuedTasks(queuedCount: number, cpusMax: number): Promise<Job> {
  const clock = { now: () => 50_000 as MonotonicMs, sleep: () => Promise.resolve() };
  const team: Team = { name: 'red', cpus: 0, cpusMax, gpus: 0, gpusMax: Infinity };
  const configuration = { version: 3 as ConfigurationVersion, teams: [team], objectives: [] };
  const usedVersions: number[] = [];
  const context = {
    clock,
    log: silentLogger,
    settings: { workers: { reportS: 4, leaseS: 22, cancelS: 42 } },
    configuration: () => configuration,
    onPlanned: (version: ConfigurationVersion) => {
      usedVersions.push(version);
      term.end();
    },
    leadership: { holdsValidLease: () => true },
    machineTypes: () => TYPES,
  } as unknown as LeaderContext;
  const term: LeaderTerm = new LeaderTerm(context);
  const cluster = new ClusterState({
    clock,
    log: silentLogger,
    machineTypes: () => TYPES,
    ageMs: () => 0,
    previousLeaderRenewsUntil: 0 as MonotonicMs,
  });
  const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: queuedCount, cpus: 1, memoryGb: 1 });
  const record = { spec, phase: 'active' as const, submittedAt: 0 as WallClockMs, chunkSize: 100 };
  const job = cluster.applyJobRecord(record, 1 as Version);
  assert.ok(job !== null);
  const machine = cluster.registerMachine(MACHINE, 'm16', 'a', true);
  machine.agentEpoch = AGENT_EPOCH;
  for (let task = 0; task < queuedCount; task += 1) {
    const placement = cluster.placeTask(job, task, MACHINE, AGENT_EPOCH, null);
    cluster.markDurable([{ job, task, attempt: placement.attempt }]);
    assert.equal(placement.state, 'queued');
  }
  const loop = new SchedulingLoop(term, cluster, new RuntimeEstimator(), new PlanningBackoff(term, cluster), {
    isSchedulable: () => true,
    mayPlaceTasks: () => true,
    unconfirmedUsage: () => ({ cpus: 0, gpus: 0 }),
    isReconnectionWave: () => false,
    onUnplacedDemand: () => undefined,
  });
  loop.requestPass();
  await loop.run();
  assert.deepEqual(usedVersions, [3]);
  const queues = new MachineQueues(term, cluster);
  queues.startFitting(MACHINE);
  return job;
}

const startingCount = (job: Job): number =>
  [...job.placements.values()].filter(({ state }) => state === 'starting').length;

test('only as many queued tasks start as a lowered CPU limit of their team allows', async () => {
  assert.equal(startingCount(await scheduleQueuedTasks(4, 2)), 2);
  assert.equal(startingCount(await scheduleQueuedTasks(4, 0)), 0);
  assert.equal(startingCount(await scheduleQueuedTasks(4, 4)), 4);
});
