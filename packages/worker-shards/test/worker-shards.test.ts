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

class Hand {
  at = 0;
  now(): MonotonicMs {
    return this.at as MonotonicMs;
  }
  sleep(): Promise<void> {
    return Promise.resolve();
  }
}

const token = (n: number): FencingToken => n as FencingToken;

function report(machine: string, seq: number, session = 1): Heartbeat {
  return {
    machine: machine as MachineId,
    address: machine,
    type: 's',
    zone: 'a',
    spot: false,
    agentEpoch: session as AgentEpoch,
    sequence: seq,
    fencingToken: token(1),
    preemptionNoticeS: null,
    tasks: [],
  };
}

// The holder's clock runs up to 0.05 % slower than the leader's; the question is sent before it is answered.
test('a grant never outlives the horizon of the leader that gave it, whatever clocks and delays', () => {
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
      (h, l, out, back, left, after) => {
        const clock = new Hand();
        const grant = new LeaseDelegation(clock);
        // True time 0: asked. The leader answers at `out`; the answer is read at `out + back`.
        const horizonEnds = out + left / l;
        clock.at = (out + back) * h;
        grant.extend(token(7), 0 as MonotonicMs, left);
        const trueNow = out + back + after;
        clock.at = trueNow * h;
        if (grant.currentToken(token(7)) !== null) assert.ok(trueNow <= horizonEnds);
      },
    ),
    { numRuns: 2000 },
  );
});

test('a grant ends with its time or a higher token, and an older answer does not bring it back', () => {
  const clock = new Hand();
  const grant = new LeaseDelegation(clock);
  assert.equal(grant.currentToken(token(0)), null);
  grant.extend(token(5), 0 as MonotonicMs, 1000);
  assert.equal(grant.currentToken(token(5)), 5);
  assert.equal(grant.currentToken(token(6)), null);
  grant.extend(token(4), 0 as MonotonicMs, 60_000);
  clock.at = 1001;
  assert.equal(grant.currentToken(token(5)), null);
  grant.extend(token(5), 900 as MonotonicMs, 500);
  assert.equal(grant.currentToken(token(5)), 5);
  grant.extend(token(5), 0 as MonotonicMs, 500);
  assert.equal(grant.currentToken(token(5)), 5);
  grant.extend(token(8), 1000 as MonotonicMs, 0);
  assert.equal(grant.currentToken(token(8)), null);
});

test('a question ends once: by the answer of whom it was put to, by time, or with the link', async () => {
  const clock = new Hand();
  const pending = new PendingRequests<string>(clock, 2000);
  const a = pending.register('one' as NodeId, 'n-1 1 7');
  pending.complete(a.id, 'two' as NodeId, 'n-1 1 7', 'forged');
  pending.complete(a.id, 'one' as NodeId, 'n-9 1 7', 'of the process before');
  pending.complete(a.id, 'one' as NodeId, 'n-1 1 7', 'right');
  pending.complete(a.id, 'one' as NodeId, 'n-1 1 7', 'again');
  assert.equal(await a.response, 'right');
  const b = pending.register('one' as NodeId, 'n-1 1 7');
  clock.at = 1000;
  const c = pending.register('two' as NodeId, 'n-2 1 7');
  clock.at = 2000;
  pending.expire();
  assert.equal(await b.response, null);
  assert.equal(pending.size, 1);
  pending.abandon('one' as NodeId);
  assert.equal(pending.size, 1);
  pending.abandon('two' as NodeId);
  assert.equal(await c.response, null);
});

test('a share knows the newest report of each machine held, and forgets those that left', () => {
  const clock = new Hand();
  const share = new WorkerShard(clock, 10_000);
  share.recordHeartbeat(report('n-1', 5));
  share.recordHeartbeat(report('n-1', 4));
  share.recordHeartbeat(report('n-2', 1));
  clock.at = 4000;
  assert.deepEqual(
    share.latestHeartbeats().map((k) => [k.heartbeat.machine, k.heartbeat.sequence, k.ageMs]),
    [
      ['n-1', 5, 4000],
      ['n-2', 1, 4000],
    ],
  );
  share.markMoving('n-1' as MachineId);
  assert.equal(share.size, 1);
  share.recordHeartbeat(report('n-1', 1, 2));
  assert.equal(share.size, 2);
  assert.equal(share.latestHeartbeats()[0]?.heartbeat.agentEpoch, 2);
  clock.at = 12_000;
  share.removeDeparted();
  assert.deepEqual([share.size, share.latestHeartbeats().length], [1, 1]);
  share.markMoving('n-1' as MachineId);
  clock.at = 30_000;
  share.removeDeparted();
  assert.equal(share.size, 0);
});

interface Played {
  readonly counts: number[];
  readonly moves: number;
  /** Machines held in their own zone, where a node is in it. */
  readonly home: number;
  /** Moves in the last part of the time. */
  readonly late: number;
}

/** Plays nodes that hold machines of these zones, each deciding for its own workers, one report a node every 10 ms. */
function settle(held: readonly (readonly string[])[], leader: number, staleMs: number): Played {
  const clock = new Hand();
  const nodes = held.map((zones, i) => ({ node: `spur-${i}` as NodeId, zone: `z${i}`, zones: [...zones] }));
  const balances = nodes.map((n) => new ShardBalancer(clock, n.node));
  const holder = (n: (typeof nodes)[number], i: number): ShardOwner => ({
    node: n.node,
    zone: n.zone,
    machineCount: n.zones.length,
    isLeader: i === leader,
  });
  let said: ShardOwner[] = [];
  let moves = 0;
  let late = 0;
  for (; clock.at < 400_000; clock.at += 10) {
    if (clock.at % staleMs === 0) said = nodes.map(holder);
    nodes.forEach((n, i) => {
      const zone = n.zones.shift();
      if (zone === undefined) return;
      const others = said.filter((h) => h.node !== n.node);
      const to = balances[i]?.selectTarget(
        { ...holder(n, i), machineCount: n.zones.length + 1 },
        others,
        zone,
      );
      const target = nodes.find((x) => x.node === to) ?? n;
      target.zones.push(zone);
      if (target === n) return;
      moves += 1;
      if (clock.at > 300_000) late += 1;
    });
  }
  const home = nodes.reduce((sum, n) => sum + n.zones.filter((z) => z === n.zone).length, 0);
  return { counts: nodes.map((n) => n.zones.length), moves, home, late };
}

const away = (n: number): string[] => Array.from({ length: n }, () => 'elsewhere');

test('shares come near to even with few moves, none back and forth, on news that is 700 ms old', () => {
  fc.assert(
    fc.property(fc.array(fc.nat(600), { minLength: 2, maxLength: 5 }), fc.nat(4), (counts, lead) => {
      const leader = lead % counts.length;
      const all = counts.reduce((a, b) => a + b, 0);
      const holders = counts.map((machineCount, i) => ({
        node: `spur-${i}` as NodeId,
        zone: `z${i}`,
        machineCount,
        isLeader: i === leader,
      }));
      const wanted = [...targetShardSizes(holders).values()];
      const due = counts.reduce((sum, c, i) => sum + Math.max(0, c - (wanted[i] ?? 0)), 0);
      const end = settle(counts.map(away), leader, 700);
      assert.equal(
        end.counts.reduce((a, b) => a + b, 0),
        all,
      );
      assert.ok(end.moves <= due + 5 * counts.length, `${end.moves} moves, ${due} due`);
      end.counts.forEach((c, i) => {
        assert.ok(
          c <= (wanted[i] ?? 0) * 1.25 + 9,
          `${JSON.stringify(end.counts)} of ${JSON.stringify(wanted)}`,
        );
      });
    }),
    { numRuns: 25 },
  );
});

test('machines come home to a node of their zone where it has room, and stay there', () => {
  const zones = fc.array(fc.nat(3), { maxLength: 500 }).map((zs) => zs.map((z) => `z${z}`));
  fc.assert(
    fc.property(fc.tuple(zones, zones, zones), fc.nat(2), (held, leader) => {
      const all = held.flat();
      const before = held.reduce((sum, zs, i) => sum + zs.filter((z) => z === `z${i}`).length, 0);
      const end = settle(held, leader, 700);
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
