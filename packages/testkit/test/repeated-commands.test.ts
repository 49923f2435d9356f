import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobSpec } from '@spurbridge/wire';
import type { World } from '../src/index.js';
import {
  FAULTS_END_MS,
  STARVATION_DETECTION_MS,
  injectCombinedFaults,
  jobId,
  jobSpec,
  leaderCheckedWorld,
  smallWorld,
  startGeneratedJobs,
  unfinishedArrays,
  watchForStarvation,
} from '../src/index.js';
import { failOnTwoLeaders } from './support/assertions.js';
import { aliveWorkers } from './support/fleets.js';
import { CANCEL_MS, FAULTS_BEGIN_MS, crashLeader, passTime } from './support/regression-cases.js';
import { seedsFrom } from './support/seeds.js';

/** Share of executed requests that arrive again. */
const REPEATED_SHARE = 0.5;
/** Long enough for the starvation of a job to be detected once all faults are over. */
const RUN_MS = FAULTS_END_MS + STARVATION_DETECTION_MS;
/**
 * Seeds on which a done attempt was forgotten before its end was durable, so that the next leader started it again.
 */
const FORGOTTEN_TOO_EARLY_SEEDS = [21, 120, 128];
/** A repeated command arrives within three leases. */
const ALL_REPEATED_MS = 36_000;

// Guards against `ran_twice`, `ran_cancelled`, `quota` and `wrong_place` by a direct start that was answered and arrives
// again after its attempt was forgotten.
for (const seed of new Set([...seedsFrom('SPURBRIDGE_REPEAT_SEEDS', 12), ...FORGOTTEN_TOO_EARLY_SEEDS]))
  test(`direct commands and transactions that arrive again break no rule beside combined faults, seed ${seed}`, async () => {
    const world = smallWorld(60_000 + seed);
    startGeneratedJobs(world);
    const faultNames = injectCombinedFaults(world, 2).join(' + ');
    failOnTwoLeaders(world, faultNames);
    world.faults.repeatedCommands = REPEATED_SHARE;
    world.faults.repeatedWrites = REPEATED_SHARE;
    world.checker.faultsEndMs = FAULTS_END_MS;
    watchForStarvation(world);
    await world.runUntil(RUN_MS);
    assert.deepEqual(world.checker.violations, [], faultNames);
    assert.equal(world.checker.startsOfForgottenAttempts, 0, faultNames);
    assert.ok(world.faults.counts.repeatedCommands > 0, `${faultNames}: no command was repeated`);
    assert.ok(world.faults.counts.repeatedWrites > 0, `${faultNames}: no transaction was repeated`);
    assert.deepEqual(unfinishedArrays(world), [], faultNames);
  });

/** Starts a task on the only machine type that it fits, and repeats every direct command from then on. */
async function runLargeTask(world: World, overrides: Partial<JobSpec> = {}): Promise<JobSpec> {
  await world.runUntil(FAULTS_BEGIN_MS);
  world.faults.repeatedCommands = 1;
  const spec = jobSpec({ id: jobId(1), tasks: 1, cpus: 12, estimateS: 400, priority: 'low', ...overrides });
  world.startUser(spec, null);
  await passTime(world, 15_000);
  assert.equal(world.checker.runningTasksOf(spec.id), 1);
  return spec;
}

function reportedAttempts(world: World): number {
  return aliveWorkers(world).reduce((sum, worker) => sum + worker.makeHeartbeat().tasks.length, 0);
}

// Guards against `ran_twice`: the case of the independent review (review/1).
test('a task that was preempted and continues elsewhere does not start again on its first machine when the answered start arrives again', async () => {
  for (const seed of [1, 2, 3, 4]) {
    const world = leaderCheckedWorld(seed);
    const preempted = await runLargeTask(world);
    const service = jobSpec({
      id: jobId(2),
      kind: 'service',
      tasks: 1,
      cpus: 12,
      estimateS: 0,
      priority: 'production',
    });
    world.startUser(service, world.time.now + 8000);
    if (seed % 2 === 0)
      world.time.after(6000, () => {
        crashLeader(world);
      });
    await passTime(world, 2 * ALL_REPEATED_MS);
    assert.ok(world.faults.counts.repeatedCommands > 0);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    assert.equal(world.checker.startsOfForgottenAttempts, 0, `seed ${seed}`);
    assert.equal(world.checker.runningTasksOf(preempted.id), 1, `seed ${seed}`);
  }
});

// Guards against `ran_cancelled`: the same repeat, more than `cancel_s` after the cancellation.
test('a cancelled task does not start again when its answered start arrives after cancel_s', async () => {
  for (const seed of [1, 2, 3, 4, 5, 6, 7, 8]) {
    const world = leaderCheckedWorld(seed);
    const { id } = await runLargeTask(world);
    world.users.cancelRunningJobs(1);
    await passTime(world, CANCEL_MS + ALL_REPEATED_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    assert.equal(world.checker.startsOfForgottenAttempts, 0, `seed ${seed}`);
    assert.equal(world.recordedPhaseOf(id), 'cancelled');
  }
});

// Guards against reports that grow with every task that was started directly: attempts are forgotten within seconds.
test('exited attempts that were started directly are forgotten within seconds while one leader stays', async () => {
  const world = leaderCheckedWorld(9);
  for (let n = 0; n < 40; n += 1)
    world.startUser(jobSpec({ id: jobId(n), tasks: 8, cpus: 1, estimateS: 2 }), null);
  let mostAttempts = 0;
  for (let checks = 0; checks < 120; checks += 1) {
    await passTime(world, 1000);
    mostAttempts = Math.max(mostAttempts, reportedAttempts(world));
  }
  assert.ok(world.checker.starts >= 320, `${world.checker.starts} starts`);
  assert.ok(mostAttempts < 160, `${mostAttempts} attempts were reported at once`);
  assert.equal(reportedAttempts(world), 0);
  assert.deepEqual(world.checker.violations, []);
});
