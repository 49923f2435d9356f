import assert from 'node:assert/strict';
import { test } from 'node:test';
import fc from 'fast-check';
import type { MonotonicMs } from '@spurbridge/net';
import type { MachineId, NodeId, AgentEpoch, FencingToken, Heartbeat } from '@spurbridge/wire';
import type { ShardOwner } from '../src/index.js';
import {
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

// The forwarding controller's clock runs up to 0.05 % slower than the leader's; the request is sent before it is answered.
test('a delegated lease never outlives the renewal period of the leader that delegated it, whatever clocks and delays', () => {
  const drift = fc.double({ min: 0.9995, max: 1.0005, noNaN: true });
  const delay = fc.nat(5000);
  fc.assert(
    fc.property(
      drift,
      drift,
      delay,
      delay,
      fc.nat(20_000),
      fc.nat(40_000),
      (ownRate, leaderRate, outMs, backMs, remainingMs, laterMs) => {
        const clock = new ManualClock();
        const delegation = new LeaseDelegation(clock);
        // True time 0: requested. The leader responds at `outMs`; the response is read at `outMs + backMs`.
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

test('a delegated lease ends with its time or a higher token, and an older response does not bring it back', () => {
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

test('a request is completed once: by the response of its target, by timeout, or when the connection ends', async () => {
  const clock = new ManualClock();
  const requests = new PendingRequests<string>(clock, 2000);
  const first = requests.register('one' as NodeId, 'n-1 1 7');
  requests.complete(first.id, 'two' as NodeId, 'n-1 1 7', 'forged');
  requests.complete(first.id, 'one' as NodeId, 'n-9 1 7', 'of the process before');
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

test('a shard knows the newest heartbeat of each attached machine, and forgets those that departed', () => {
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
  /** Machines that are served by the controller of their own zone. */
  readonly home: number;
  /** Moves in the last part of the time. */
  readonly late: number;
}

/** Simulates controllers that serve machines of these zones, with one heartbeat at each controller every 10 ms. */
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
  let late = 0;
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
      if (clock.nowMs > 300_000) late += 1;
    });
  }
  const home = nodes.reduce((sum, node) => sum + node.zones.filter((zone) => zone === node.zone).length, 0);
  return { counts: nodes.map((node) => node.zones.length), moves, home, late };
}

const machinesElsewhere = (count: number): string[] => Array.from({ length: count }, () => 'elsewhere');

test('shards come close to balance with few moves, none back and forth, on statuses that are 700 ms old', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(600), { minLength: 2, maxLength: 5 }), fc.nat(4), (counts, lead) => {
      const leader = lead % counts.length;
      const all = counts.reduce((a, b) => a + b, 0);
      const owners = counts.map((machineCount, i) => ({
        node: `spur-${i}` as NodeId,
        zone: `z${i}`,
        machineCount,
        isLeader: i === leader,
      }));
      const targets = [...targetShardSizes(owners).values()];
      const due = counts.reduce((sum, c, i) => sum + Math.max(0, c - (targets[i] ?? 0)), 0);
      const end = simulateBalancing(counts.map(machinesElsewhere), leader, 700);
      assert.equal(
        end.counts.reduce((a, b) => a + b, 0),
        all,
      );
      assert.ok(end.moves <= due + 5 * counts.length, `${end.moves} moves, ${due} due`);
      end.counts.forEach((c, i) => {
        assert.ok(
          c <= (targets[i] ?? 0) * 1.25 + 9,
          `${JSON.stringify(end.counts)} of ${JSON.stringify(targets)}`,
        );
      });
    }),
    { numRuns: 25 },
  );
});

test('machines move to a controller of their zone where it has room, and stay there', () => {
  const zones = fc.array(fc.nat(3), { maxLength: 500 }).map((zs) => zs.map((z) => `z${z}`));
  fc.assert(
    fc.property(fc.tuple(zones, zones, zones), fc.nat(2), (held, leader) => {
      const all = held.flat();
      const before = held.reduce((sum, zs, i) => sum + zs.filter((z) => z === `z${i}`).length, 0);
      const end = simulateBalancing(held, leader, 700);
      assert.equal(
        end.counts.reduce((a, b) => a + b, 0),
        all.length,
      );
      assert.ok(end.home >= before * 0.9 - 10, `${before} at home, then ${end.home}`);
      assert.equal(end.late, 0, `${end.late} of ${end.moves} moves after five minutes`);
      const most = Math.max(...end.counts);
      assert.ok(most <= (all.length / 2.5) * 1.3 + 12, `${JSON.stringify(end.counts)} of ${all.length}`);
    }),
    { numRuns: 25 },
  );
});
