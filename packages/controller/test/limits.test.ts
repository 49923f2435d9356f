import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { ConfigurationVersion } from '@spurbridge/configuration';
import type { Job, Team, WallMs } from '@spurbridge/model';
import type { Ms } from '@spurbridge/net';
import { TYPES, jobSpec } from '@spurbridge/testkit';
import type { JobId, MachineId, Session, Version } from '@spurbridge/wire';
import { Estimates } from '../src/estimates.js';
import { Cluster } from '../src/index.js';
import { Planning } from '../src/planning.js';
import { Queues } from '../src/queues.js';
import type { LeaderContext } from '../src/leader-term.js';
import { LeaderTerm } from '../src/leader-term.js';

const MACHINE = 'n-000001' as MachineId;
const SESSION = 1 as Session;
const silent = { debug: () => undefined, info: () => undefined, error: () => undefined };

/** One machine on which so many tasks wait for room, of which no start was sent, planned once by this limit of CPUs. */
async function planOnce(waiting: number, cpusMax: number): Promise<Job> {
  const clock = { now: () => 50_000 as Ms, sleep: () => Promise.resolve() };
  const team: Team = { name: 'red', cpus: 0, cpusMax, gpus: 0, gpusMax: Infinity };
  const configuration = { version: 3 as ConfigurationVersion, teams: [team], objectives: [] };
  const planned: number[] = [];
  const context = {
    clock,
    log: silent,
    settings: { workers: { reportS: 4, leaseS: 22, cancelS: 42 } },
    configuration: () => configuration,
    planned: (version: ConfigurationVersion) => {
      planned.push(version);
      term.end();
    },
    leadership: { holdsSurely: () => true },
    types: () => TYPES,
  } as unknown as LeaderContext;
  const term: LeaderTerm = new LeaderTerm(context);
  const cluster = new Cluster({
    clock,
    log: silent,
    types: () => TYPES,
    ageMs: () => 0,
    answeredUntil: 0 as Ms,
  });
  const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: waiting, cpus: 1, memoryGb: 1 });
  const record = { spec, phase: 'active' as const, at: 0 as WallMs, chunkSize: 100 };
  const job = cluster.learnJob(record, 1 as Version);
  assert.ok(job !== null);
  const machine = cluster.describeMachine(MACHINE, 'm16', 'a', true);
  machine.session = SESSION;
  for (let task = 0; task < waiting; task += 1) {
    const p = cluster.place(job, task, MACHINE, SESSION, null);
    cluster.durable(job, [{ task, attempt: p.attempt }]);
    assert.equal(p.state, 'queued');
  }
  const planning = new Planning(term, cluster, new Estimates(), {
    hasJoined: () => true,
    isSettled: () => true,
    unknownUse: () => ({ cpus: 0, gpus: 0 }),
    isComingIn: () => false,
    planned: () => undefined,
  });
  planning.request();
  await planning.run();
  assert.deepEqual(planned, [3]);
  const queues = new Queues(cluster, clock.now);
  queues.release(MACHINE);
  return job;
}

const startingOf = (job: Job): number =>
  [...job.placements.values()].filter((p) => p.state === 'starting').length;

test('of what waits for room, only what the lowered limit allows is let start', async () => {
  assert.equal(startingOf(await planOnce(4, 2)), 2);
  assert.equal(startingOf(await planOnce(4, 0)), 0);
  assert.equal(startingOf(await planOnce(4, 4)), 4);
});
