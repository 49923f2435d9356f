import assert from 'node:assert/strict';
import { test } from 'node:test';
import { jobStatusCode } from '@spurbridge/controller';
import type { JobId, MachineId } from '@spurbridge/wire';
import type { SimulatedWorker } from '@spurbridge/simulated-worker';
import type { World } from '../src/index.js';
import { jobSpec, leaderIndex, smallWorld, watchForTwoLeaders } from '../src/index.js';

/** What `smallWorld` plays with. */
const CANCEL_MS = 26_000;
/** Tasks run, and machines report to the nodes that will hold them. */
const BEGIN_MS = 40_000;
const END_MS = BEGIN_MS + 150_000;

/** Jobs whose tasks outlast every trouble, and users that only ask: what is cancelled, and where, is up to the test. */
async function longJobs(seed: number, jobs: number): Promise<{ w: World; ids: JobId[] }> {
  // Answers that cross each other on their way would say nothing of what is tested here.
  const w = smallWorld(seed, { userPollMs: 10 * END_MS });
  watchForTwoLeaders(w, (at) => {
    assert.fail(`two leaders at ${at}`);
  });
  const ids = Array.from({ length: jobs }, (_, i) => `wk-${String(i).padStart(6, '0')}` as JobId);
  for (const id of ids) w.startUser(jobSpec({ id, tasks: 2, estimateS: 400 }), null);
  await w.runUntil(BEGIN_MS);
  assert.ok(w.checker.runningTasksOfKind('array') === 2 * jobs, 'not all tasks run');
  return { w, ids };
}

/** The user asks this node to cancel, until it says so. */
function cancelAt(w: World, node: number, id: JobId): void {
  const ask = (): void => {
    w.checker.cancellationRequested(id);
    void w.nodes[node]?.controller.jobs.cancel(id).then((a) => {
      w.checker.responseReceived(id, 'cancel', jobStatusCode(a), 'status' in a ? a.status.phase : null);
      if (jobStatusCode(a) >= 500) w.time.after(300, ask);
    });
  };
  ask();
}

function at(w: World, ms: number, run: () => void): void {
  w.time.after(ms - w.time.now, run);
}

function refuse(w: World, node: number, fromMs: number, untilMs: number): void {
  at(w, fromMs, () => {
    const n = w.nodes[node];
    if (n === undefined) return;
    n.store.isRefused = true;
    at(w, untilMs, () => {
      n.store.isRefused = false;
    });
  });
}

function outage(w: World, fromMs: number, untilMs: number): void {
  at(w, fromMs, () => {
    w.store.setOutage(true);
  });
  at(w, untilMs, () => {
    w.store.setOutage(false);
  });
}

function deaf(w: World, ids: readonly MachineId[], fromMs: number, untilMs: number): void {
  at(w, fromMs, () => {
    for (const id of ids) w.faults.inboundPartitioned.add(id);
  });
  at(w, untilMs, () => {
    for (const id of ids) w.faults.inboundPartitioned.delete(id);
  });
}

function busyMachines(w: World): SimulatedWorker[] {
  return [...w.workers.values()].filter((x) => x.alive && x.makeHeartbeat().tasks.length > 0);
}

test('the leader alone is refused, another node confirms cancellations, then nobody is served for longer than they have', async () => {
  for (let seed = 1; seed <= 6; seed += 1) {
    const { w, ids } = await longJobs(seed, 5);
    const leader = leaderIndex(w);
    refuse(w, leader, BEGIN_MS + 1000, BEGIN_MS + 15_000);
    for (const [i, id] of ids.entries())
      at(w, BEGIN_MS + 1050 + 300 * i, () => {
        cancelAt(w, (leader + 1) % 3, id);
      });
    outage(w, BEGIN_MS + 2800, BEGIN_MS + 2800 + 2 * CANCEL_MS);
    await w.runUntil(END_MS);
    assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
    assert.equal(w.checker.runningTasksOfKind('array'), 0, 'a cancelled task still runs');
  }
});

// The stop was due while the machines heard nobody; the leader, its lease over, renewed theirs without it.
test('a leader past its lease, that knows of a cancellation, keeps no task of it alive', async () => {
  for (let seed = 1; seed <= 4; seed += 1) {
    const { w, ids } = await longJobs(seed, 4);
    const leader = leaderIndex(w);
    const machines = busyMachines(w).map((x) => x.id);
    deaf(w, machines, BEGIN_MS, BEGIN_MS + 7000);
    for (const id of ids) cancelAt(w, (leader + 1) % 3, id);
    // The last that the leader hears of the records is as late as it can be.
    for (let i = 0; i < 8; i += 1)
      at(w, BEGIN_MS + 3300 + 100 * i, () => {
        w.startUser(jobSpec({ id: `wk-00090${i}` as JobId, tasks: 1, estimateS: 400 }), null);
      });
    outage(w, BEGIN_MS + 4150, BEGIN_MS + 4150 + 2 * CANCEL_MS);
    await w.runUntil(END_MS);
    assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
  }
});

// The answer that stopped the task was lost behind its holder, had brought a new grant with it, and its worker came back.
test('a holder under a grant keeps no task alive whose stop was lost on the way', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { w, ids } = await longJobs(seed, 4);
    const leader = leaderIndex(w);
    const others = [0, 1, 2].filter((i) => i !== leader);
    const machines = busyMachines(w).map((x) => x.id);
    // Only the leader knows of the cancellations.
    for (const i of others) refuse(w, i, BEGIN_MS, END_MS);
    at(w, BEGIN_MS + 50, () => {
      for (const id of ids) cancelAt(w, leader, id);
    });
    const goneMs = BEGIN_MS + 5200;
    deaf(w, machines, BEGIN_MS, goneMs);
    at(w, goneMs, () => {
      for (const host of [...others.map((i) => `spur-${i}`), ...machines])
        w.network.partition(`spur-${leader}`, host, 'drop');
    });
    outage(w, goneMs, goneMs + 2 * CANCEL_MS);
    await w.runUntil(END_MS);
    assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
  }
});

// Each of them could answer for seconds before it had read anything, and so they did in turn.
test('leaders that are refused as soon as they are elected keep no cancelled task alive by turns', async () => {
  for (let seed = 1; seed <= 8; seed += 1) {
    const { w, ids } = await longJobs(seed, 4);
    const first = leaderIndex(w);
    refuse(w, first, BEGIN_MS, BEGIN_MS + 4000);
    for (const id of ids) cancelAt(w, (first + 1) % 3, id);
    const look = (): void => {
      for (const n of w.nodes)
        if (n.name !== `spur-${first}` || w.time.now > BEGIN_MS + 5000)
          if (n.controller.leadership.state === 'leading' && !n.store.isRefused) {
            n.store.isRefused = true;
            w.time.after(4500, () => {
              n.store.isRefused = false;
            });
          }
      if (w.time.now < BEGIN_MS + 2 * CANCEL_MS) w.time.after(1, look);
    };
    look();
    await w.runUntil(BEGIN_MS + 3 * CANCEL_MS);
    assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
  }
});

// Its machine reports through another node all the while, so that its lease and its session would outlast any cut.
test('a start held up by a cut for longer than its job has once it is cancelled is not carried out', async () => {
  let ended = 0;
  for (let seed = 1; seed <= 4; seed += 1) {
    const { w, ids } = await longJobs(seed, 4);
    const leader = leaderIndex(w);
    const machines = [...w.workers.values()].filter((x) => x.alive);
    for (const id of ids.slice(2)) cancelAt(w, (leader + 1) % 3, id);
    for (const x of machines) w.network.partition(`spur-${leader}`, x.id, 'hold');
    for (let i = 0; i < 12; i += 1)
      at(w, BEGIN_MS + 15_000 + 350 * i, () => {
        const late = `wk-0009${10 + i}` as JobId;
        w.startUser(jobSpec({ id: late, tasks: 1, estimateS: 400 }), null);
        w.time.after(450, () => {
          cancelAt(w, (leader + 1) % 3, late);
        });
      });
    const healMs = BEGIN_MS + 20_000 + CANCEL_MS + 8000;
    await w.runUntil(BEGIN_MS + 14_000);
    const before = machines.map((x) => x.makeHeartbeat().agentEpoch);
    await w.runUntil(healMs);
    assert.equal(leaderIndex(w), leader, 'another node leads');
    ended += machines.filter((x, i) => x.alive && x.makeHeartbeat().agentEpoch !== before[i]).length;
    for (const x of machines) w.network.heal(`spur-${leader}`, x.id);
    await w.runUntil(END_MS);
    assert.deepEqual(w.checker.violations, [], `seed ${seed}`);
  }
  assert.ok(ended > 0, 'no start was on its way when its job was cancelled');
});
