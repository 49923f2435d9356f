import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import type { JobId, MachineId } from '@spurbridge/wire';
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { World } from '../src/index.js';
import { jobSpec, leaderIndex, smallWorld } from '../src/index.js';
import { failOnTwoLeaders } from './support/assertions.js';
import { aliveWorkers } from './support/fleets.js';

/** `cancel_s` of a `smallWorld`. */
const CANCEL_MS = 26_000;
/** Time by which all tasks run, and the workers are distributed over the nodes. */
const BEGIN_MS = 40_000;
const END_MS = BEGIN_MS + 150_000;

/** Starts jobs whose tasks outlast every fault. Their users never cancel; the test itself sends the cancellations. */
async function startLongJobs(seed: number, jobs: number): Promise<{ world: World; ids: JobId[] }> {
  // Polls are practically disabled, because concurrent responses to a job's user are not what is tested here.
  const world = smallWorld(seed, { userPollMs: 10 * END_MS });
  failOnTwoLeaders(world);
  const ids = Array.from({ length: jobs }, (_, i) => `wk-${String(i).padStart(6, '0')}` as JobId);
  for (const id of ids) world.startUser(jobSpec({ id, tasks: 2, estimateS: 400 }), null);
  await world.runUntil(BEGIN_MS);
  assert.ok(world.checker.runningTasksOfKind('array') === 2 * jobs, 'not all tasks run');
  return { world, ids };
}

/** Requests the cancellation from this node, and repeats the request until the response code is below 500. */
function cancelAtNode(world: World, node: number, id: JobId): void {
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

function runAt(world: World, ms: number, run: () => void): void {
  world.time.after(ms - world.time.now, run);
}

function refuseBetween(world: World, node: number, fromMs: number, untilMs: number): void {
  runAt(world, fromMs, () => {
    const refusedNode = world.nodes[node];
    if (refusedNode === undefined) return;
    refusedNode.store.isRefused = true;
    runAt(world, untilMs, () => {
      refusedNode.store.isRefused = false;
    });
  });
}

function outageBetween(world: World, fromMs: number, untilMs: number): void {
  runAt(world, fromMs, () => {
    world.store.setOutage(true);
  });
  runAt(world, untilMs, () => {
    world.store.setOutage(false);
  });
}

function partitionInboundBetween(
  world: World,
  ids: readonly MachineId[],
  fromMs: number,
  untilMs: number,
): void {
  runAt(world, fromMs, () => {
    for (const id of ids) world.faults.inboundPartitioned.add(id);
  });
  runAt(world, untilMs, () => {
    for (const id of ids) world.faults.inboundPartitioned.delete(id);
  });
}

function busyMachines(world: World): SimulatedWorker[] {
  return aliveWorkers(world).filter((worker) => worker.makeHeartbeat().tasks.length > 0);
}

// The leader cannot read cancellations that another node confirms: the store refuses its requests at that time, and is
// down afterwards for twice `cancel_s`.
test('cancelled tasks stop within cancel_s if the store refuses the leader, another node confirms the cancellations, and a store outage follows', async () => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const { world, ids } = await startLongJobs(seed, 5);
    const leader = leaderIndex(world);
    refuseBetween(world, leader, BEGIN_MS + 1000, BEGIN_MS + 15_000);
    for (const [i, id] of ids.entries())
      runAt(world, BEGIN_MS + 1050 + 300 * i, () => {
        cancelAtNode(world, (leader + 1) % 3, id);
      });
    outageBetween(world, BEGIN_MS + 2800, BEGIN_MS + 2800 + 2 * CANCEL_MS);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
    assert.equal(world.checker.runningTasksOfKind('array'), 0, 'a cancelled task still runs');
  }
});

// The stop commands are due while no response reaches the machines. Later the leader, whose own lease has expired,
// must not renew the workers' leases without sending the stop commands.
test('a leader whose lease has expired does not keep tasks running that it knows to be cancelled', async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const { world, ids } = await startLongJobs(seed, 4);
    const leader = leaderIndex(world);
    const machines = busyMachines(world).map((worker) => worker.id);
    partitionInboundBetween(world, machines, BEGIN_MS, BEGIN_MS + 7000);
    for (const id of ids) cancelAtNode(world, (leader + 1) % 3, id);
    // These jobs change records until just before the outage, so the leader's last read is as late as possible.
    for (let i = 0; i < 8; i += 1)
      runAt(world, BEGIN_MS + 3300 + 100 * i, () => {
        world.startUser(jobSpec({ id: `wk-00090${i}` as JobId, tasks: 1, estimateS: 400 }), null);
      });
    outageBetween(world, BEGIN_MS + 4150, BEGIN_MS + 4150 + 2 * CANCEL_MS);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
});

// The leader's response contains a stop command and a lease delegation. The node that forwarded the heartbeat receives
// the delegation, but the worker does not receive the stop command, and is reachable again later. If the node then
// renews the worker's lease under the delegation, the cancelled task continues.
test('a node that renews leases by delegation does not keep a task running whose stop command was lost', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { world, ids } = await startLongJobs(seed, 4);
    const leader = leaderIndex(world);
    const others = [0, 1, 2].filter((i) => i !== leader);
    const machines = busyMachines(world).map((worker) => worker.id);
    // Only the leader knows of the cancellations.
    for (const i of others) refuseBetween(world, i, BEGIN_MS, END_MS);
    runAt(world, BEGIN_MS + 50, () => {
      for (const id of ids) cancelAtNode(world, leader, id);
    });
    const cutOffMs = BEGIN_MS + 5200;
    partitionInboundBetween(world, machines, BEGIN_MS, cutOffMs);
    runAt(world, cutOffMs, () => {
      for (const host of [...others.map((i) => `spur-${i}`), ...machines])
        world.network.partition(`spur-${leader}`, host, 'drop');
    });
    outageBetween(world, cutOffMs, cutOffMs + 2 * CANCEL_MS);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
});

// A new leader can respond to heartbeats for seconds before it has read any record. If each of several successive
// leaders renews leases in that time, cancelled tasks continue.
test('successive leaders that the store refuses right after their election do not keep cancelled tasks running', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { world, ids } = await startLongJobs(seed, 4);
    const first = leaderIndex(world);
    refuseBetween(world, first, BEGIN_MS, BEGIN_MS + 4000);
    for (const id of ids) cancelAtNode(world, (first + 1) % 3, id);
    const refuseNewLeader = (): void => {
      for (const node of world.nodes)
        if (node.name !== `spur-${first}` || world.time.now > BEGIN_MS + 5000)
          if (node.controller.leadership.state === 'leading' && !node.store.isRefused) {
            node.store.isRefused = true;
            world.time.after(4500, () => {
              node.store.isRefused = false;
            });
          }
      if (world.time.now < BEGIN_MS + 2 * CANCEL_MS) world.time.after(1, refuseNewLeader);
    };
    refuseNewLeader();
    await world.runUntil(BEGIN_MS + 3 * CANCEL_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
});

// The worker sends its heartbeats to another node during the partition. Its lease and its agent epoch can therefore
// outlast the partition, and the late start command would still be valid.
test('a start command delayed by a partition for longer than cancel_s is not executed after its job was cancelled', async () => {
  let renewedEpochs = 0;
  for (let seed = 1; seed <= 4; seed += 1) {
    const { world, ids } = await startLongJobs(seed, 4);
    const leader = leaderIndex(world);
    const workers = aliveWorkers(world);
    for (const id of ids.slice(2)) cancelAtNode(world, (leader + 1) % 3, id);
    for (const worker of workers) world.network.partition(`spur-${leader}`, worker.id, 'hold');
    for (let i = 0; i < 12; i += 1)
      runAt(world, BEGIN_MS + 15_000 + 350 * i, () => {
        const lateJob = `wk-0009${10 + i}` as JobId;
        world.startUser(jobSpec({ id: lateJob, tasks: 1, estimateS: 400 }), null);
        world.time.after(450, () => {
          cancelAtNode(world, (leader + 1) % 3, lateJob);
        });
      });
    const healMs = BEGIN_MS + 20_000 + CANCEL_MS + 8000;
    await world.runUntil(BEGIN_MS + 14_000);
    const epochsBefore = workers.map((worker) => worker.makeHeartbeat().agentEpoch);
    await world.runUntil(healMs);
    assert.equal(leaderIndex(world), leader, 'another node leads');
    renewedEpochs += workers.filter(
      (worker, i) => worker.alive && worker.makeHeartbeat().agentEpoch !== epochsBefore[i],
    ).length;
    for (const worker of workers) world.network.heal(`spur-${leader}`, worker.id);
    await world.runUntil(END_MS);
    assert.deepEqual(world.checker.violations, [], `seed ${seed}`);
  }
  assert.ok(renewedEpochs > 0, 'no start command was in flight when its job was cancelled');
});
