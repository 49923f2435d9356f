import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import type { JobId, MachineId } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import { jobSpec, leaderIndex, smallWorld } from '../src/index.js';
import { failOnTwoLeaders } from './support/assertions.js';
import { aliveWorkers } from './support/fleets.js';

/** What `smallWorld` plays with. */
const CANCEL_MS = 26_000;
/** By then tasks run, and workers send their heartbeats to the nodes that will serve them. */
const BEGIN_MS = 40_000;
const END_MS = BEGIN_MS + 150_000;

/** Jobs whose tasks outlast every fault, and users that only ask: what is cancelled, and where, is up to the test. */
async function longJobs(seed: number, jobs: number): Promise<{ world: World; ids: JobId[] }> {
  // Answers that cross each other on their way would say nothing of what is tested here.
  const world = smallWorld(seed, { userPollMs: 10 * END_MS });
  failOnTwoLeaders(world);
  const ids = Array.from({ length: jobs }, (_, i) => `wk-${String(i).padStart(6, '0')}` as JobId);
  for (const id of ids) world.startUser(jobSpec({ id, tasks: 2, estimateS: 400 }), null);
  await world.runUntil(BEGIN_MS);
  assert.ok(world.checker.runningTasksOfKind('array') === 2 * jobs, 'not all tasks run');
  return { world, ids };
}

/** The user asks this node to cancel, until it says so. */
function cancelAt(world: World, node: number, id: JobId): void {
  const ask = (): void => {
    world.checker.cancellationRequested(id);
    void world.nodes[node]?.controller.jobs.cancel(id).then((response) => {
      world.checker.responseReceived(
        id,
        'cancel',
        jobStatusCode(response),
        'status' in response ? response.status.phase : null,
      );
      if (jobStatusCode(response) >= 500) world.time.after(300, ask);
    });
  };
  ask();
}

function at(world: World, ms: number, run: () => void): void {
  world.time.after(ms - world.time.now, run);
}

function refuse(world: World, node: number, fromMs: number, untilMs: number): void {
  at(world, fromMs, () => {
    const n = world.nodes[node];
    if (n === undefined) return;
    n.store.isRefused = true;
    at(world, untilMs, () => {
      n.store.isRefused = false;
    });
  });
}

function outage(world: World, fromMs: number, untilMs: number): void {
  at(world, fromMs, () => {
    world.store.setOutage(true);
  });
  at(world, untilMs, () => {
    world.store.setOutage(false);
  });
}

function partitionInbound(world: World, ids: readonly MachineId[], fromMs: number, untilMs: number): void {
  at(world, fromMs, () => {
    for (const id of ids) world.faults.inboundPartitioned.add(id);
  });
  at(world, untilMs, () => {
    for (const id of ids) world.faults.inboundPartitioned.delete(id);
  });
}

function busyMachines(world: World): SimulatedWorker[] {
  return aliveWorkers(world).filter((worker) => worker.makeHeartbeat().tasks.length > 0);
}

test('cancelled tasks stop in time when the store refuses the leader, another node confirms the cancellations, and an outage follows', async () => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const { world, ids } = await longJobs(seed, 5);
    const leader = leaderIndex(world);
    refuse(world, leader, BEGIN_MS + 1000, BEGIN_MS + 15_000);
    for (const [i, id] of ids.entries())
      at(world, BEGIN_MS + 1050 + 300 * i, () => {
        cancelAt(world, (leader + 1) % 3, id);
      });
    outage(world, BEGIN_MS + 2800, BEGIN_MS + 2800 + 2 * CANCEL_MS);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    assert.equal(world.checker.runningTasksOfKind('array'), 0, 'a cancelled task still runs');
  }
});

// The stop was due while the machines heard nobody; the leader, its lease over, renewed theirs without it.
test('a leader whose lease is over keeps no task alive that it knows to be cancelled', async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const { world, ids } = await longJobs(seed, 4);
    const leader = leaderIndex(world);
    const machines = busyMachines(world).map((worker) => worker.id);
    partitionInbound(world, machines, BEGIN_MS, BEGIN_MS + 7000);
    for (const id of ids) cancelAt(world, (leader + 1) % 3, id);
    // The leader's last news of the records is as late as it can be.
    for (let i = 0; i < 8; i += 1)
      at(world, BEGIN_MS + 3300 + 100 * i, () => {
        world.startUser(jobSpec({ id: `wk-00090${i}` as JobId, tasks: 1, estimateS: 400 }), null);
      });
    outage(world, BEGIN_MS + 4150, BEGIN_MS + 4150 + 2 * CANCEL_MS);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
});

// The response that stopped the task was lost on its way, the lease delegation in it was not, and the worker came back.
test('a node that renews leases by delegation keeps no task alive whose stop command was lost', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { world, ids } = await longJobs(seed, 4);
    const leader = leaderIndex(world);
    const others = [0, 1, 2].filter((i) => i !== leader);
    const machines = busyMachines(world).map((worker) => worker.id);
    // Only the leader knows of the cancellations.
    for (const i of others) refuse(world, i, BEGIN_MS, END_MS);
    at(world, BEGIN_MS + 50, () => {
      for (const id of ids) cancelAt(world, leader, id);
    });
    const goneMs = BEGIN_MS + 5200;
    partitionInbound(world, machines, BEGIN_MS, goneMs);
    at(world, goneMs, () => {
      for (const host of [...others.map((i) => `spur-${i}`), ...machines])
        world.network.partition(`spur-${leader}`, host, 'drop');
    });
    outage(world, goneMs, goneMs + 2 * CANCEL_MS);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
});

// Each of them could answer for seconds before it had read anything, and so they did in turn.
test('leaders that the store refuses right after their election keep no cancelled task alive in turns', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { world, ids } = await longJobs(seed, 4);
    const first = leaderIndex(world);
    refuse(world, first, BEGIN_MS, BEGIN_MS + 4000);
    for (const id of ids) cancelAt(world, (first + 1) % 3, id);
    const look = (): void => {
      for (const node of world.nodes)
        if (node.name !== `spur-${first}` || world.time.now > BEGIN_MS + 5000)
          if (node.controller.leadership.state === 'leading' && !node.store.isRefused) {
            node.store.isRefused = true;
            world.time.after(4500, () => {
              node.store.isRefused = false;
            });
          }
      if (world.time.now < BEGIN_MS + 2 * CANCEL_MS) world.time.after(1, look);
    };
    look();
    await world.runUntil(BEGIN_MS + 3 * CANCEL_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
});

// Its worker sends heartbeats to another node meanwhile, so that its lease and its epoch would outlast any partition.
test('a start command held back by a partition for longer than cancel_s is not executed once its job is cancelled', async () => {
  let ended = 0;
  for (let seed = 1; seed <= 4; seed += 1) {
    const { world, ids } = await longJobs(seed, 4);
    const leader = leaderIndex(world);
    const machines = aliveWorkers(world);
    for (const id of ids.slice(2)) cancelAt(world, (leader + 1) % 3, id);
    for (const worker of machines) world.network.partition(`spur-${leader}`, worker.id, 'hold');
    for (let i = 0; i < 12; i += 1)
      at(world, BEGIN_MS + 15_000 + 350 * i, () => {
        const late = `wk-0009${10 + i}` as JobId;
        world.startUser(jobSpec({ id: late, tasks: 1, estimateS: 400 }), null);
        world.time.after(450, () => {
          cancelAt(world, (leader + 1) % 3, late);
        });
      });
    const healMs = BEGIN_MS + 20_000 + CANCEL_MS + 8000;
    await world.runUntil(BEGIN_MS + 14_000);
    const before = machines.map((worker) => worker.makeHeartbeat().agentEpoch);
    await world.runUntil(healMs);
    assert.equal(leaderIndex(world), leader, 'another node leads');
    ended += machines.filter(
      (worker, i) => worker.alive && worker.makeHeartbeat().agentEpoch !== before[i],
    ).length;
    for (const worker of machines) world.network.heal(`spur-${leader}`, worker.id);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
  assert.ok(ended > 0, 'no start was on its way when its job was cancelled');
});
