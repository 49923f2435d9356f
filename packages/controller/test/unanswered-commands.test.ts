import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { Job, WallClockMs } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import { jobSpec } from '@spurbridge/testkit';
import type {
  AgentEpoch,
  Attempt,
  FencingToken,
  Heartbeat,
  JobId,
  Version,
  WorkerCommand,
} from '@spurbridge/wire';
import { CommandDispatcher } from '../src/heartbeats/command-dispatcher.js';
import { HeartbeatHandler } from '../src/heartbeats/heartbeat-handler.js';
import { MachineQueues } from '../src/placement/machine-queues.js';
import { RuntimeEstimator } from '../src/placement/runtime-estimator.js';
import {
  FENCING_TOKEN,
  addJob,
  createLeaderFixture,
  makeHeartbeat,
  placeFirstTask,
} from './leader-fixture.js';

const WORKERS = { cancelS: 52, leaseS: 32 };
const MAX_STALENESS_MS = 18_000;

/** A later token of the leader's term. */
const RAISED_TOKEN = (FENCING_TOKEN + 3) as FencingToken;
const STATUS = { job: 'wk-000001' as JobId, task: 0, attempt: 1 as Attempt, saved: false } as const;
const RUNNING: Heartbeat['tasks'][number] = { ...STATUS, phase: 'running', cause: null };
const STOPPED: Heartbeat['tasks'][number] = { ...STATUS, phase: 'exited', cause: 'stopped' };
const DONE: Heartbeat['tasks'][number] = { ...STATUS, phase: 'exited', cause: 'done' };

interface Fixture {
  readonly time: { now: number };
  /** The commands that were sent directly, and the token of the latest call. */
  readonly sent: WorkerCommand[];
  sentToken(): FencingToken | null;
  /** The highest token of the term that may be issued now. */
  readonly term: { issuableToken: FencingToken };
  /** A job with one task, which is placed on the machine. */
  readonly job: Job;
  /** Processes the worker's next heartbeat and returns the commands in the response, or null without a response. */
  sendHeartbeat(tasks?: Heartbeat['tasks'], token?: FencingToken): readonly WorkerCommand[] | null;
  /** The token of the response to the latest heartbeat. */
  responseToken(): FencingToken;
  cancel(cancelledAfter: MonotonicMs): void;
  /** Places the task of another job on the machine. */
  placeAnother(): Job;
  preempt(): void;
}

/** Creates a machine that sends heartbeats; it answers no direct call, or each one with this report. */
function createFixture(report: Heartbeat | null = null): Fixture {
  const sent: WorkerCommand[] = [];
  let sentToken: FencingToken | null = null;
  const leaderTokens = { issuableToken: FENCING_TOKEN };
  const { time, clock, term, cluster } = createLeaderFixture({
    settings: { workers: WORKERS },
    leadership: Object.assign(leaderTokens, {
      fencingToken: FENCING_TOKEN,
      holdsValidLease: () => true,
      observeToken: () => undefined,
    }),
    storeIntegrity: { jobPhaseOf: () => null, recordIssuedToken: () => undefined },
    workerClient: {
      sendCommands: (
        _address: string,
        fencingToken: FencingToken,
        _agentEpoch: AgentEpoch,
        commands: readonly WorkerCommand[],
      ) => {
        sent.push(...commands);
        sentToken = fencingToken;
        return Promise.resolve(report === null ? { outcome: 'unknown' } : { outcome: 'executed', report });
      },
    },
  });
  const handler = new HeartbeatHandler(term, cluster, new RuntimeEstimator());
  const dispatcher = new CommandDispatcher(
    term,
    cluster,
    new MachineQueues(term, cluster),
    { mayIssueCommands: true, mayPlaceJob: () => true },
    {
      receiveHeartbeat: (heartbeat) => {
        handler.receive(heartbeat, false);
      },
    },
  );
  let sequence = 0;
  let latest = makeHeartbeat(sequence);
  const sendHeartbeat = (
    tasks: Heartbeat['tasks'] = [],
    token = FENCING_TOKEN,
  ): readonly WorkerCommand[] | null => {
    sequence += 1;
    latest = makeHeartbeat(sequence, tasks, token);
    handler.receive(latest, true);
    return dispatcher.commandsForResponse(latest);
  };
  sendHeartbeat();
  const spec = jobSpec({ id: 'wk-000001' as JobId, tasks: 1 });
  const job = addJob(cluster, spec);
  placeFirstTask(cluster, job);
  return {
    time,
    sent,
    sentToken: () => sentToken,
    term: leaderTokens,
    job,
    sendHeartbeat,
    responseToken: () => dispatcher.tokenForResponse(latest),
    cancel: (cancelledAfter) => {
      const record = { spec, phase: 'cancelled', submittedAt: 0 as WallClockMs, chunkSize: 256 } as const;
      cluster.applyJobRecord(record, 4 as Version);
      job.cancelledAfter = cancelledAfter;
    },
    placeAnother: () => {
      const other = addJob(cluster, jobSpec({ id: 'wk-000002' as JobId, tasks: 1, cpus: 1 }));
      placeFirstTask(cluster, other);
      return other;
    },
    preempt: () => {
      job.requestStop(0, 0, 'preempted', clock.now());
    },
  };
}

// An unanswered direct start may arrive at any time. The response used to contain only the stop, without the start. The
// worker then did not know the attempt and never reported its exit. The controller could not tell during the worker's
// agent epoch that the task would not run, so the job never continued.
test('a machine with an unconfirmed direct start gets a start and a stop for the stopped task, which is removed when its exit is reported', async () => {
  const fixture = createFixture();
  await new Promise(setImmediate);
  assert.deepEqual(
    fixture.sent.map((command) => command.op),
    ['start'],
  );
  fixture.preempt();
  assert.deepEqual(
    fixture.sendHeartbeat()?.map((command) => command.op),
    ['start', 'stop'],
  );
  const { attempt } = [...fixture.job.placements.values()][0] ?? {};
  assert.ok(attempt !== undefined);
  const exitStatus = {
    job: fixture.job.spec.id,
    task: 0,
    attempt,
    phase: 'exited',
    cause: 'stopped',
  } as const;
  // No forget command is sent under the same token, so that the worker recognizes the attempt in a start that arrives
  // late.
  assert.deepEqual(fixture.sendHeartbeat([exitStatus as Heartbeat['tasks'][number]]), []);
  assert.equal(fixture.job.placements.size, 0);
});

test('a machine with an unconfirmed start of a cancelled task gets only a stop, and no renewal after the maximum staleness', async () => {
  const fixture = createFixture();
  await new Promise(setImmediate);
  fixture.time.now += 1000;
  fixture.cancel(fixture.time.now as MonotonicMs);
  fixture.time.now += MAX_STALENESS_MS;
  assert.deepEqual(
    fixture.sendHeartbeat()?.map((command) => command.op),
    ['stop'],
  );
  fixture.time.now += 1;
  assert.equal(fixture.sendHeartbeat(), null);
});

// Guards against `ran_twice` and `ran_cancelled`: an answered start may arrive again, and a worker that has forgotten the
// attempt would execute it.
test('an attempt that was started directly is forgotten only in a response under a higher token, whether the start was answered or not', async () => {
  for (const report of [null, makeHeartbeat(2, [RUNNING])]) {
    const fixture = createFixture(report);
    await new Promise(setImmediate);
    assert.equal(fixture.sent.length, 1);
    fixture.cancel(fixture.time.now as MonotonicMs);
    // The first report ends the placement; sequence numbers up to 2 are those of the start's answer.
    fixture.sendHeartbeat([STOPPED]);
    fixture.sendHeartbeat([STOPPED]);
    assert.equal(fixture.job.placements.size, 0);
    // The direct call with the stop ends.
    await new Promise(setImmediate);
    assert.deepEqual(fixture.sendHeartbeat([STOPPED]), []);
    assert.equal(fixture.responseToken(), FENCING_TOKEN);
    fixture.term.issuableToken = RAISED_TOKEN;
    assert.deepEqual(
      fixture.sendHeartbeat([STOPPED])?.map((command) => command.op),
      ['forget'],
    );
    assert.equal(fixture.responseToken(), RAISED_TOKEN);
    // The response was lost: the next one repeats it, under the same token.
    assert.deepEqual(
      fixture.sendHeartbeat([STOPPED])?.map((command) => command.op),
      ['forget'],
    );
    assert.equal(fixture.responseToken(), RAISED_TOKEN);
    assert.deepEqual(fixture.sendHeartbeat([], RAISED_TOKEN), []);
  }
});

// Guards against starts that a machine rejects for ever, because it has seen a later token of the term than they carry.
test('a direct call to a machine that shows a later token of the term carries that token', async () => {
  const fixture = createFixture();
  await new Promise(setImmediate);
  assert.equal(fixture.sentToken(), FENCING_TOKEN);
  fixture.sendHeartbeat([RUNNING], RAISED_TOKEN);
  fixture.placeAnother();
  await new Promise(setImmediate);
  assert.equal(fixture.sentToken(), RAISED_TOKEN);
  assert.equal(fixture.responseToken(), RAISED_TOKEN);
});

// Guards against a job that waits for a start which can no longer arrive.
test('a stopped task whose unanswered start is void, since the machine shows a later token, counts as never started', async () => {
  const fixture = createFixture();
  await new Promise(setImmediate);
  fixture.preempt();
  fixture.sendHeartbeat();
  assert.equal(fixture.job.placements.size, 1);
  fixture.sendHeartbeat([], RAISED_TOKEN);
  assert.equal(fixture.job.placements.size, 0);
});

// Guards against a done attempt that the next leader starts again, because its worker forgot it before the record that
// places it there was replaced.
test('a done attempt is not forgotten before its end is durable, also if it was the last one of its job', async () => {
  const fixture = createFixture(makeHeartbeat(2, [RUNNING]));
  await new Promise(setImmediate);
  fixture.term.issuableToken = RAISED_TOKEN;
  fixture.sendHeartbeat();
  fixture.sendHeartbeat();
  fixture.sendHeartbeat([DONE]);
  assert.equal(fixture.job.state, 'closing');
  assert.deepEqual(fixture.sendHeartbeat([DONE]), []);
  fixture.job.transitionTo('done');
  assert.deepEqual(
    fixture.sendHeartbeat([DONE])?.map((command) => command.op),
    ['forget'],
  );
});
