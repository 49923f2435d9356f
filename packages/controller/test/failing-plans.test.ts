import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConfigurationVersion } from '@spurbridge/configuration';
import type { MonotonicMs } from '@spurbridge/net';
import { TEAMS, TYPES, jobId, jobSpec } from '@spurbridge/testkit';
import type { JobSpec } from '@spurbridge/wire';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';
import { SchedulingLoop } from '../src/placement/scheduling-loop.js';
import { PlanningBackoff } from '../src/placement/planning-backoff.js';
import type { LeaderFixture } from './leader-fixture.js';
import { AGENT_EPOCH, MACHINE, addJob, createLeaderFixture } from './leader-fixture.js';

const PASS_INTERVAL_MS = 500;
const ORDINARY = jobSpec({ id: jobId(900), tasks: 1 });

/** A job on which every plan fails, because one of its fields cannot be read. */
function failingSpec(number: number, field: keyof JobSpec): JobSpec {
  const spec = { ...jobSpec({ id: jobId(number), tasks: 1 }) };
  Object.defineProperty(spec, field, {
    enumerable: true,
    get: () => {
      throw new RangeError('unreadable');
    },
  });
  return spec;
}

interface Fixture extends LeaderFixture {
  readonly failedJobs: string[];
  /** Runs this many passes, half a second apart. */
  run(passes: number): Promise<void>;
}

function createFixture(): Fixture {
  const failedJobs: string[] = [];
  let remainingPasses = 0;
  const leader: LeaderFixture = createLeaderFixture({
    log: {
      debug: () => undefined,
      info: () => undefined,
      error: ({ job }: { job: string }) => failedJobs.push(job),
    },
    settings: { workers: { reportS: 4, leaseS: 22, cancelS: 42 } },
    configuration: () => ({ version: 1 as ConfigurationVersion, teams: TEAMS, objectives: [] }),
    onPlanned: () => undefined,
    leadership: {
      fencingToken: 1,
      // Called once a pass.
      holdsValidLease: () => {
        leader.time.now += PASS_INTERVAL_MS;
        remainingPasses -= 1;
        if (remainingPasses === 0) leader.term.end();
        return true;
      },
    },
    machineTypes: () => TYPES,
  });
  const { term, cluster, time } = leader;
  const machine = cluster.registerMachine(MACHINE, 'm16', 'a', false);
  machine.agentEpoch = AGENT_EPOCH;
  machine.transitionTo('ready');
  const loop = new SchedulingLoop(term, cluster, new RuntimeEstimator(), new PlanningBackoff(term, cluster), {
    isSchedulable: () => true,
    mayPlaceTasks: () => true,
    unconfirmedUsage: () => {
      machine.lastHeartbeatAt = time.now as MonotonicMs;
      return { cpus: 0, gpus: 0 };
    },
    isReconnectionWave: () => false,
    onUnplacedDemand: () => undefined,
  });
  const run = async (passes: number): Promise<void> => {
    machine.lastHeartbeatAt = time.now as MonotonicMs;
    remainingPasses = passes;
    const ended = loop.run();
    const wake = setInterval(() => {
      loop.requestPass();
    }, 0);
    await ended.finally(() => {
      clearInterval(wake);
    });
  };
  return { ...leader, failedJobs, run };
}

// Guards against terms that end one after another because every leader's plan fails on the same job (review/2).
for (const field of ['spread', 'zone', 'estimateS', 'imageGb', 'priority'] as const)
  test(`a plan that fails on one job's ${field} leaves that job out and places the others`, async () => {
    const fixture = createFixture();
    const { cluster, term, failedJobs } = fixture;
    const failing = addJob(cluster, failingSpec(1, field));
    const ordinary = addJob(cluster, ORDINARY);
    await fixture.run(2);
    assert.deepEqual(failedJobs.slice(0, 1), [failing.spec.id]);
    assert.ok(!failedJobs.includes(ORDINARY.id));
    assert.equal(ordinary.placements.size, 1, 'the ordinary job is placed');
    assert.equal(failing.placements.size, 0);
    assert.equal(term.metrics.planningFailures, failedJobs.length);
  });

test('a job on which plans fail is tried again, less and less often', async () => {
  const fixture = createFixture();
  addJob(fixture.cluster, failingSpec(1, 'spread'));
  const passes = 100;
  await fixture.run(passes);
  const seconds = (passes * PASS_INTERVAL_MS) / 1000;
  assert.ok(
    fixture.failedJobs.length >= 4 && fixture.failedJobs.length <= 6,
    `${fixture.failedJobs.length} in ${seconds} s`,
  );
});

test('many jobs on which plans fail keep the others from being placed for a few passes only', async () => {
  const fixture = createFixture();
  for (let number = 1; number <= 40; number += 1) addJob(fixture.cluster, failingSpec(number, 'spread'));
  const ordinary = addJob(fixture.cluster, ORDINARY);
  await fixture.run(6);
  assert.equal(ordinary.placements.size, 1);
});
