import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { MonotonicMs } from '@spurbridge/net';
import { jobId, jobSpec } from '@spurbridge/testkit';
import type { Attempt, TaskStatus } from '@spurbridge/wire';
import { correctRecords } from '../src/reconciliation/correct-records.js';
import type { LeaderFixture } from './leader-fixture.js';
import { AGENT_EPOCH, MACHINE, addJob, createLeaderFixture, makeHeartbeat } from './leader-fixture.js';

const JOB = jobId(1);

function status(attempt: number, phase: TaskStatus['phase'], cause: TaskStatus['cause'] = null): TaskStatus {
  return { job: JOB, task: 0, attempt: attempt as Attempt, phase, cause, saved: false };
}

/** A leader that knows the machine and a job of one task, which its record places there if an attempt is given. */
function createRestored(attempt: number | null): LeaderFixture {
  const leader = createLeaderFixture({});
  const { cluster, time } = leader;
  const job = addJob(cluster, jobSpec({ id: JOB, tasks: 1 }));
  const machine = cluster.registerMachine(MACHINE, 's4', 'a', false);
  machine.agentEpoch = AGENT_EPOCH;
  if (attempt !== null)
    job.restorePlacement(0, MACHINE, AGENT_EPOCH, attempt as Attempt, time.now as MonotonicMs);
  cluster.finishRestore(job);
  return leader;
}

/** Corrects the records with the two statuses in both orders, and calls back with each result. */
function forBothOrders(
  attempt: number | null,
  statuses: readonly TaskStatus[],
  check: (leader: LeaderFixture, counts: ReturnType<typeof correctRecords>) => void,
): void {
  for (const tasks of [statuses, [...statuses].reverse()]) {
    const leader = createRestored(attempt);
    const counts = correctRecords(leader.cluster, [makeHeartbeat(1, tasks)], leader.time.now as MonotonicMs);
    check(leader, counts);
  }
}

// Guards against `ran_twice` by the cause of review/4 when the records are corrected after a loss of data.
test('a recorded attempt that runs is kept if an exited attempt of its task is listed before or after it', () => {
  forBothOrders(
    2,
    [status(1, 'exited', 'stopped'), status(2, 'running')],
    ({ cluster }, { gone, adopted }) => {
      assert.equal(cluster.jobs.get(JOB)?.placements.get(0)?.attempt, 2);
      assert.deepEqual({ gone, adopted }, { gone: 0, adopted: 0 });
    },
  );
});

// Guards against results that depend on the order of a list: a task was done, or ran again, by the order.
test('a task that an unrecorded attempt has completed is done, whether a later attempt is listed before or after it', () => {
  forBothOrders(null, [status(1, 'exited', 'done'), status(2, 'running')], ({ cluster }, { done }) => {
    assert.equal(done, 1);
    assert.equal(cluster.jobs.get(JOB)?.isDone(0), true);
    assert.equal(cluster.taskCountOn(MACHINE), 0);
  });
});
