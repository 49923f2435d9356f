import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import type { JobSpec } from '@spurbridge/wire';
import type { AgentRecall, World } from '../src/index.js';
import {
  AGENT_RECALLS,
  STARVATION_LIMIT_MS,
  injectCombinedFaults,
  jobId,
  jobSpec,
  leaderCheckedWorld,
  restartQuickly,
  smallWorld,
  startGeneratedJobs,
} from '../src/index.js';
import { runWatchedDay } from './support/assertions.js';
import { aliveWorkers } from './support/fleets.js';
import { CANCEL_MS, FAULTS_BEGIN_MS, crashLeader, passTime } from './support/regression-cases.js';
import { seedsFrom } from './support/seeds.js';

const RECALLS = Object.entries(AGENT_RECALLS);
/** A task was placed elsewhere before the lease was over that had begun with the restart of its machine. */
const LEASE_BEGUN_ANEW_SEED = 49;
/** A repeated command arrives within three leases. */
const ALL_REPEATED_MS = 36_000;
const LONG_TASK: JobSpec = jobSpec({
  id: jobId(1),
  tasks: 1,
  cpus: 12,
  estimateS: 400,
  priority: 'low',
  spot: false,
});
const URGENT_SERVICE = jobSpec({
  id: jobId(2),
  kind: 'service',
  tasks: 1,
  cpus: 12,
  estimateS: 0,
  priority: 'production',
  spot: false,
});

/** Runs the long task; a copy of every answered direct command arrives, or of none. */
async function runLongTask(
  seed: number,
  repeatedShare = 1,
): Promise<{ world: World; worker: SimulatedWorker }> {
  const world = leaderCheckedWorld(seed);
  await world.runUntil(FAULTS_BEGIN_MS);
  world.faults.repeatedCommands = repeatedShare;
  world.startUser(LONG_TASK, null);
  await passTime(world, 15_000);
  const worker = aliveWorkers(world).find((each) => each.attemptOf(LONG_TASK.id, 0) !== null);
  assert.ok(worker !== undefined, 'the task runs');
  return { world, worker };
}

/** Restarts the machine, on every second seed while the leader changes. */
function restart(world: World, worker: SimulatedWorker, seed: number, recall: AgentRecall): void {
  if (seed % 2 === 0) crashLeader(world);
  restartQuickly(world, worker.id, recall);
}

for (const [name, recall] of RECALLS) {
  // Guards against jobs that wait for ever for a task that their machine has lost without a new agent epoch.
  test(`a task whose machine is back within a second runs again, ${name}`, async () => {
    for (const seed of [1, 2, 3, 4]) {
      const { world, worker } = await runLongTask(seed, 0);
      restart(world, worker, seed, recall);
      await passTime(world, STARVATION_LIMIT_MS);
      assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
      assert.equal(world.checker.runningTasksOf(LONG_TASK.id), 1, `seed ${seed}`);
    }
  });

  test(`a copy of an answered start breaks no rule for a task that runs when its machine restarts, ${name}`, async () => {
    for (const seed of [1, 2, 3, 4]) {
      const { world, worker } = await runLongTask(seed);
      restart(world, worker, seed, recall);
      await passTime(world, 2 * ALL_REPEATED_MS);
      assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    }
  });
}

/** The task is moved, and its first machine restarts while a copy of its start is on its way. */
async function restartAfterMove(seed: number, recall: AgentRecall): Promise<World> {
  const { world, worker } = await runLongTask(seed);
  world.startUser(URGENT_SERVICE, world.time.now + 8000);
  await passTime(world, 5000);
  restart(world, worker, seed, recall);
  await passTime(world, 2 * ALL_REPEATED_MS);
  return world;
}

/** The task is cancelled, and its machine restarts while a copy of its start is on its way. */
async function restartAfterCancellation(seed: number, recall: AgentRecall): Promise<World> {
  const { world, worker } = await runLongTask(seed);
  world.users.cancelRunningJobs(1);
  await passTime(world, 5000);
  restart(world, worker, seed, recall);
  await passTime(world, CANCEL_MS + ALL_REPEATED_MS);
  return world;
}

/** With these memories a copy is like a command of the present leader, until a controller's message arrives. */
const TOKEN_LOST_IN_EPOCH = ['same epoch, sequence kept, token forgotten', 'everything forgotten'];
const DECIDABLE = RECALLS.filter(([name]) => !TOKEN_LOST_IN_EPOCH.includes(name));
const UNDECIDABLE = RECALLS.filter(([name]) => TOKEN_LOST_IN_EPOCH.includes(name));
/** A copy arrives before the first message of a controller. */
const COPY_FIRST_SEED = 6;

for (const [name, recall] of DECIDABLE) {
  // Guards against `ran_twice` by an answered start that arrives again after its task was moved and its machine restarted.
  test(`a copy of an answered start does not start a task that was moved before its machine restarts, ${name}`, async () => {
    for (const seed of [1, 2, 3, 4, COPY_FIRST_SEED]) {
      const world = await restartAfterMove(seed, recall);
      assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    }
  });

  // Guards against `ran_cancelled` by the same copy.
  test(`a copy of an answered start does not start a task that was cancelled before its machine restarts, ${name}`, async () => {
    for (const seed of [1, 2, 3, 4, COPY_FIRST_SEED]) {
      const world = await restartAfterCancellation(seed, recall);
      assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
      assert.equal(world.checker.startsOfCancelledJobs, 0, `seed ${seed}`);
    }
  });
}

// Known red: no controller can close this case (docs/design.md, "Restarts").
test('a copy of an answered start does not start a task that was moved before its machine forgets its token in the same epoch', async () => {
  for (const [name, recall] of UNDECIDABLE) {
    const world = await restartAfterMove(COPY_FIRST_SEED, recall);
    assert.deepEqual(world.checker.violations, [], name);
  }
});

// Known red, for the same reason.
test('a copy of an answered start does not start a task that was cancelled before its machine forgets its token in the same epoch', async () => {
  for (const [name, recall] of UNDECIDABLE) {
    const world = await restartAfterCancellation(COPY_FIRST_SEED, recall);
    assert.equal(world.checker.startsOfCancelledJobs, 0, name);
  }
});

// Guards against all rules on days on which machines restart beside other faults, with copies of commands and transactions.
for (const seed of [...seedsFrom('SPURBRIDGE_RESTART_SEEDS', 10), LEASE_BEGUN_ANEW_SEED])
  test(`machines that restart within a second break no rule beside combined faults, seed ${seed}`, async () => {
    const world = smallWorld(110_000 + seed);
    startGeneratedJobs(world);
    const faultNames = injectCombinedFaults(world, 2).join(' + ');
    world.faults.repeatedCommands = 0.5;
    world.faults.repeatedWrites = 0.5;
    for (let count = 0; count < 12; count += 1) scheduleRestart(world);
    await runWatchedDay(world, faultNames);
  });

/** A random machine restarts at a random time, in each way that a controller can tell from a copy. */
function scheduleRestart(world: World): void {
  const recall = DECIDABLE[world.random(DECIDABLE.length)]?.[1];
  world.time.after(20_000 + world.random(70_000), () => {
    const workers = aliveWorkers(world);
    const worker = workers[world.random(workers.length)];
    if (worker !== undefined && recall !== undefined) restartQuickly(world, worker.id, recall);
  });
}
