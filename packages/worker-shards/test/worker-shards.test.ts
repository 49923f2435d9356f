import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs } from '@spurbridge/net';
import type { MachineId, NodeId, AgentEpoch, FencingToken, Heartbeat } from '@spurbridge/wire';
import type { ShardOwner } from '../src/index.js';
import {
  KnownTokens,
  ShardBalancer,
  LeaseDelegation,
  PendingRequests,
  WorkerShard,
  targetShardSizes,
} from '../src/index.js';

class ManualClock {
  nowMs = 0;
  now(): MonotonicMs {
    return this.nowMs as MonotonicMs;
  }
  sleep(): Promise<void> {
    return Promise.resolve();
  }
}

const fencingToken = (value: number): FencingToken => value as FencingToken;

function heartbeat(machine: string, sequence: number, agentEpoch = 1): Heartbeat {
  return {
    machine: machine as MachineId,
    address: machine,
    type: 's',
    zone: 'a',
    spot: false,
    agentEpoch: agentEpoch as AgentEpoch,
    sequence,
    fencingToken: fencingToken(1),
    preemptionNoticeS: null,
    tasks: [],
  };
}

// Guards against a delegation that outlives the leader's renewal period, after which the leader may start the task on
// another machine. Each clock deviates from true time by up to 0.05 %; request and response may be delayed.
test('a delegated lease ends before the renewal period of the delegating leader for any clock drift and delay', () => {
  const clockRate = fc.double({ min: 0.9995, max: 1.0005, noNaN: true });
  const delay = fc.nat(5000);
  fc.assert(
    fc.property(
      clockRate,
      clockRate,
      delay,
      delay,
      fc.nat(20_000),
      fc.nat(40_000),
      (ownRate, leaderRate, outMs, backMs, remainingMs, laterMs) => {
        const clock = new ManualClock();
        const delegation = new LeaseDelegation(clock);
        // The request is sent at true time 0, the leader responds at `outMs`, and the response arrives at
        // `outMs + backMs`.
        const periodEndsAt = outMs + remainingMs / leaderRate;
        clock.nowMs = (outMs + backMs) * ownRate;
        delegation.extend(fencingToken(7), 0 as MonotonicMs, remainingMs);
        const trueNow = outMs + backMs + laterMs;
        clock.nowMs = trueNow * ownRate;
        if (delegation.currentToken(fencingToken(7)) !== null) assert.ok(trueNow <= periodEndsAt);
      },
    ),
    { numRuns: 2000 },
  );
});

test('a delegated lease ends on expiry or on a higher token, and an older response does not extend it', () => {
  const clock = new ManualClock();
  const delegation = new LeaseDelegation(clock);
  assert.equal(delegation.currentToken(fencingToken(0)), null);
  delegation.extend(fencingToken(5), 0 as MonotonicMs, 1000);
  assert.equal(delegation.currentToken(fencingToken(5)), 5);
  assert.equal(delegation.currentToken(fencingToken(6)), null);
  delegation.extend(fencingToken(4), 0 as MonotonicMs, 60_000);
  clock.nowMs = 1001;
  assert.equal(delegation.currentToken(fencingToken(5)), null);
  delegation.extend(fencingToken(5), 900 as MonotonicMs, 500);
  assert.equal(delegation.currentToken(fencingToken(5)), 5);
  delegation.extend(fencingToken(5), 0 as MonotonicMs, 500);
  assert.equal(delegation.currentToken(fencingToken(5)), 5);
  delegation.extend(fencingToken(8), 1000 as MonotonicMs, 0);
  assert.equal(delegation.currentToken(fencingToken(8)), null);
});

test('a delegated lease stays valid under later tokens of its term, and ends when a worker shows one of an unknown term', () => {
  const clock = new ManualClock();
  const delegation = new LeaseDelegation(clock);
  const known = new KnownTokens();
  known.observeTerm(fencingToken(5), fencingToken(9));
  known.observeWorker(fencingToken(9));
  delegation.extend(fencingToken(5), 0 as MonotonicMs, 1000);
  assert.equal(delegation.currentToken(known.lowestValid), 5);
  known.observeWorker(fencingToken(12));
  assert.equal(delegation.currentToken(known.lowestValid), null);
  // The leader announces that the token is its own.
  known.observeTerm(fencingToken(5), fencingToken(14));
  assert.equal(delegation.currentToken(known.lowestValid), 5);
  known.observeTerm(fencingToken(20), fencingToken(20));
  known.observeTerm(fencingToken(5), fencingToken(19));
  assert.equal(delegation.currentToken(known.lowestValid), null);
});

test('a pending request is completed once: by its target, by timeout, or when the connection ends', async () => {
  const clock = new ManualClock();
  const requests = new PendingRequests<string>(clock, 2000);
  const first = requests.register('one' as NodeId, 'n-1 1 7');
  requests.complete(first.id, 'two' as NodeId, 'n-1 1 7', 'forged');
  requests.complete(first.id, 'one' as NodeId, 'n-9 1 7', 'for an earlier process');
  requests.complete(first.id, 'one' as NodeId, 'n-1 1 7', 'right');
  requests.complete(first.id, 'one' as NodeId, 'n-1 1 7', 'again');
  assert.equal(await first.response, 'right');
  const second = requests.register('one' as NodeId, 'n-1 1 7');
  clock.nowMs = 1000;
  const third = requests.register('two' as NodeId, 'n-2 1 7');
  clock.nowMs = 2000;
  requests.expire();
  assert.equal(await second.response, null);
  assert.equal(requests.size, 1);
  requests.abandon('one' as NodeId);
  assert.equal(requests.size, 1);
  requests.abandon('two' as NodeId);
  assert.equal(await third.response, null);
});

test('a shard returns the newest heartbeat of each attached machine, and removes machines that departed', () => {
  const clock = new ManualClock();
  const shard = new WorkerShard(clock, 10_000);
  shard.recordHeartbeat(heartbeat('n-1', 5));
  shard.recordHeartbeat(heartbeat('n-1', 4));
  shard.recordHeartbeat(heartbeat('n-2', 1));
  clock.nowMs = 4000;
  assert.deepEqual(
    shard
      .latestHeartbeats()
      .map((latest) => [latest.heartbeat.machine, latest.heartbeat.sequence, latest.ageMs]),
    [
      ['n-1', 5, 4000],
      ['n-2', 1, 4000],
    ],
  );
  shard.markMoving('n-1' as MachineId);
  assert.equal(shard.size, 1);
  shard.recordHeartbeat(heartbeat('n-1', 1, 2));
  assert.equal(shard.size, 2);
  assert.equal(shard.latestHeartbeats()[0]?.heartbeat.agentEpoch, 2);
  clock.nowMs = 12_000;
  shard.removeDeparted();
  assert.deepEqual([shard.size, shard.latestHeartbeats().length], [1, 1]);
  shard.markMoving('n-1' as MachineId);
  clock.nowMs = 30_000;
  shard.removeDeparted();
  assert.equal(shard.size, 0);
});

interface BalancingResult {
  readonly counts: number[];
  readonly moves: number;
  /** Number of machines that the controller of their own zone serves. */
  readonly machinesInOwnZone: number;
  /** Number of moves after 300 seconds. */
  readonly lateMoves: number;
}

/**
 * Simulates controllers that serve machines of these zones, with one heartbeat at each controller every 10 ms. The
 * announced shard sizes are updated every `staleMs` milliseconds.
 */
function simulateBalancing(
  zonesByNode: readonly (readonly string[])[],
  leader: number,
  staleMs: number,
): BalancingResult {
  const clock = new ManualClock();
  const nodes = zonesByNode.map((zones, i) => ({
    node: `spur-${i}` as NodeId,
    zone: `z${i}`,
    zones: [...zones],
  }));
  const balancers = nodes.map((node) => new ShardBalancer(clock, node.node));
  const ownerOf = (node: (typeof nodes)[number], i: number): ShardOwner => ({
    node: node.node,
    zone: node.zone,
    machineCount: node.zones.length,
    isLeader: i === leader,
  });
  let announced: ShardOwner[] = [];
  let moves = 0;
  let lateMoves = 0;
  for (; clock.nowMs < 400_000; clock.nowMs += 10) {
    if (clock.nowMs % staleMs === 0) announced = nodes.map(ownerOf);
    nodes.forEach((node, i) => {
      const zone = node.zones.shift();
      if (zone === undefined) return;
      const others = announced.filter((owner) => owner.node !== node.node);
      const to = balancers[i]?.selectTarget(
        { ...ownerOf(node, i), machineCount: node.zones.length + 1 },
        others,
        zone,
      );
      const target = nodes.find((candidate) => candidate.node === to) ?? node;
      target.zones.push(zone);
      if (target === node) return;
      moves += 1;
      if (clock.nowMs > 300_000) lateMoves += 1;
    });
  }
  const machinesInOwnZone = nodes.reduce(
    (sum, node) => sum + node.zones.filter((zone) => zone === node.zone).length,
    0,
  );
  return { counts: nodes.map((node) => node.zones.length), moves, machinesInOwnZone, lateMoves };
}

const zonesWithoutController = (count: number): string[] => Array.from({ length: count }, () => 'elsewhere');

test('shards are nearly balanced after few moves when shard sizes are announced every 700 ms', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(600), { minLength: 2, maxLength: 5 }), fc.nat(4), (counts, leaderNumber) => {
      const leader = leaderNumber % counts.length;
      const total = counts.reduce((a, b) => a + b, 0);
      const owners = counts.map((machineCount, i) => ({
        node: `spur-${i}` as NodeId,
        zone: `z${i}`,
        machineCount,
        isLeader: i === leader,
      }));
      const targets = [...targetShardSizes(owners).values()];
      const excess = counts.reduce((sum, c, i) => sum + Math.max(0, c - (targets[i] ?? 0)), 0);
      const result = simulateBalancing(counts.map(zonesWithoutController), leader, 700);
      assert.equal(
        result.counts.reduce((a, b) => a + b, 0),
        total,
      );
      assert.ok(result.moves <= excess + 5 * counts.length, `${result.moves} moves, ${excess} required`);
      result.counts.forEach((c, i) => {
        assert.ok(
          c <= (targets[i] ?? 0) * 1.25 + 9,
          `sizes ${JSON.stringify(result.counts)}, target sizes ${JSON.stringify(targets)}`,
        );
      });
    }),
    { numRuns: 25 },
  );
});

test('machines move to the controller of their zone if it has spare capacity, and stay there', () => {
  const zones = fc.array(fc.nat(3), { maxLength: 500 }).map((zs) => zs.map((z) => `z${z}`));
  fc.assert(
    fc.property(fc.tuple(zones, zones, zones), fc.nat(2), (zonesByNode, leader) => {
      const total = zonesByNode.flat().length;
      const inOwnZoneBefore = zonesByNode.reduce(
        (sum, zs, i) => sum + zs.filter((z) => z === `z${i}`).length,
        0,
      );
      const result = simulateBalancing(zonesByNode, leader, 700);
      assert.equal(
        result.counts.reduce((a, b) => a + b, 0),
        total,
      );
      assert.ok(
        result.machinesInOwnZone >= inOwnZoneBefore * 0.9 - 10,
        `${inOwnZoneBefore} machines in their own zone before, ${result.machinesInOwnZone} after`,
      );
      assert.equal(result.lateMoves, 0, `${result.lateMoves} of ${result.moves} moves after five minutes`);
      const largest = Math.max(...result.counts);
      assert.ok(
        largest <= (total / 2.5) * 1.3 + 12,
        `sizes ${JSON.stringify(result.counts)}, total ${total}`,
      );
    }),
    { numRuns: 25 },
  );
});
