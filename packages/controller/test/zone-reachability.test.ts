import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { MachineId } from '@spurbridge/wire';
import { ZoneReachability } from '../src/machines/zone-reachability.js';

const HEARTBEAT_MS = 4000;

function fleet(perZone: number): Machine[] {
  const all: Machine[] = [];
  for (const zone of ['a', 'b', 'c'])
    for (let index = 0; index < perZone; index += 1)
      all.push(new Machine(`n-${zone}${index}` as MachineId, 's', zone, false, true, 0 as MonotonicMs));
  return all;
}

/** Has every machine of the zones send its heartbeats in turn, and updates the zones twice a second. */
function simulate(
  reachability: ZoneReachability,
  all: readonly Machine[],
  zones: string,
  fromMs: number,
  untilMs: number,
): void {
  for (let now = fromMs; now <= untilMs; now += 500) {
    all.forEach((machine, index) => {
      if (zones.includes(machine.zone) && (now / 500 + index) % 8 === 0)
        machine.lastHeartbeatAt = now as MonotonicMs;
    });
    reachability.update(all, now as MonotonicMs, 0 as MonotonicMs, () => false);
  }
}

test('a zone is away when none of its machines is heard of while others are, which explains their silence', () => {
  const states: string[] = [];
  const reachability = new ZoneReachability(HEARTBEAT_MS, ({ to }) => states.push(to));
  const all = fleet(20);
  const [inA, inB] = [all[0], all[20]];
  assert.ok(inA !== undefined && inB !== undefined);
  simulate(reachability, all, 'abc', 0, 20_000);
  assert.deepEqual(states, []);
  simulate(reachability, all, 'bc', 20_500, 26_000);
  assert.deepEqual(states, ['away']);
  assert.ok(
    reachability.explainsSilenceOf(inA, 26_000 as MonotonicMs) &&
      !reachability.explainsSilenceOf(inB, 26_000 as MonotonicMs),
  );
  simulate(reachability, all, 'abc', 26_500, 28_000);
  assert.deepEqual(states, ['away', 'returning']);
  assert.ok(
    reachability.explainsSilenceOf(inA, 28_000 as MonotonicMs),
    'those that come last are excused as well',
  );
  simulate(reachability, all, 'abc', 28_500, 40_000);
  assert.deepEqual(states, ['away', 'returning', 'whole']);
  assert.ok(!reachability.explainsSilenceOf(inA, 40_000 as MonotonicMs));
});

test('silence of all zones, of a few machines, or of half a zone explains nothing', () => {
  const states: string[] = [];
  const reachability = new ZoneReachability(HEARTBEAT_MS, ({ to }) => states.push(to));
  const all = fleet(20);
  simulate(reachability, all, 'abc', 0, 20_000);
  simulate(reachability, all, '', 20_500, 40_000);
  const few = fleet(5);
  simulate(reachability, few, 'abc', 0, 20_000);
  simulate(reachability, few, 'bc', 20_500, 40_000);
  const half = fleet(20);
  simulate(reachability, half, 'abc', 0, 20_000);
  const heard = half.filter((_, index) => index % 2 === 0);
  for (let now = 20_500; now < 40_000; now += 500) {
    for (const machine of heard) machine.lastHeartbeatAt = now as MonotonicMs;
    reachability.update(half, now as MonotonicMs, 0 as MonotonicMs, () => false);
  }
  assert.deepEqual(states, []);
});

test('a new leader takes a zone that it never heard of for away, but not for ever', () => {
  const reachability = new ZoneReachability(HEARTBEAT_MS, () => undefined);
  const all = fleet(20);
  const [inA] = all;
  assert.ok(inA !== undefined);
  for (let now = 0; now <= 12_000; now += 500) {
    for (const machine of all) if (machine.zone !== 'a') machine.lastHeartbeatAt = now as MonotonicMs;
    reachability.update(all, now as MonotonicMs, 0 as MonotonicMs, () => true);
  }
  assert.ok(reachability.explainsSilenceOf(inA, 12_000 as MonotonicMs));
  assert.ok(!reachability.explainsSilenceOf(inA, 120_000 as MonotonicMs));
});
