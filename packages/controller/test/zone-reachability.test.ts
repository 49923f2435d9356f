import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { MachineId } from '@spurbridge/wire';
import { ZoneReachability } from '../src/machines/zone-reachability.js';

const HEARTBEAT_MS = 4000;

function createFleet(machinesPerZone: number): Machine[] {
  const machines: Machine[] = [];
  for (const zone of ['a', 'b', 'c'])
    for (let index = 0; index < machinesPerZone; index += 1)
      machines.push(new Machine(`n-${zone}${index}` as MachineId, 's', zone, false, true, 0 as MonotonicMs));
  return machines;
}

/** Lets the machines of the given zones send staggered heartbeats, and updates the reachability every 500 ms. */
function simulate(
  reachability: ZoneReachability,
  machines: readonly Machine[],
  zones: string,
  fromMs: number,
  untilMs: number,
): void {
  for (let now = fromMs; now <= untilMs; now += 500) {
    machines.forEach((machine, index) => {
      if (zones.includes(machine.zone) && (now / 500 + index) % 8 === 0)
        machine.lastHeartbeatAt = now as MonotonicMs;
    });
    reachability.update(machines, now as MonotonicMs, 0 as MonotonicMs, () => false);
  }
}

test('when a single zone is silent, the silence of its machines is attributed to the zone until its heartbeats have resumed', () => {
  const states: string[] = [];
  const reachability = new ZoneReachability(HEARTBEAT_MS, ({ to }) => states.push(to));
  const machines = createFleet(20);
  const [machineInA, machineInB] = [machines[0], machines[20]];
  assert.ok(machineInA !== undefined && machineInB !== undefined);
  simulate(reachability, machines, 'abc', 0, 20_000);
  assert.deepEqual(states, []);
  simulate(reachability, machines, 'bc', 20_500, 26_000);
  assert.deepEqual(states, ['away']);
  assert.ok(
    reachability.explainsSilenceOf(machineInA, 26_000 as MonotonicMs) &&
      !reachability.explainsSilenceOf(machineInB, 26_000 as MonotonicMs),
  );
  simulate(reachability, machines, 'abc', 26_500, 28_000);
  assert.deepEqual(states, ['away', 'returning']);
  assert.ok(
    reachability.explainsSilenceOf(machineInA, 28_000 as MonotonicMs),
    'the silence of machines that have not resumed their heartbeats is still attributed to the zone',
  );
  simulate(reachability, machines, 'abc', 28_500, 40_000);
  assert.deepEqual(states, ['away', 'returning', 'whole']);
  assert.ok(!reachability.explainsSilenceOf(machineInA, 40_000 as MonotonicMs));
});

test('no zone counts as unreachable when all zones are silent, when a silent zone is small, or when half of each zone is silent', () => {
  const states: string[] = [];
  const reachability = new ZoneReachability(HEARTBEAT_MS, ({ to }) => states.push(to));
  const machines = createFleet(20);
  simulate(reachability, machines, 'abc', 0, 20_000);
  simulate(reachability, machines, '', 20_500, 40_000);
  const smallFleet = createFleet(5);
  simulate(reachability, smallFleet, 'abc', 0, 20_000);
  simulate(reachability, smallFleet, 'bc', 20_500, 40_000);
  const halfSilentFleet = createFleet(20);
  simulate(reachability, halfSilentFleet, 'abc', 0, 20_000);
  const sending = halfSilentFleet.filter((_, index) => index % 2 === 0);
  for (let now = 20_500; now < 40_000; now += 500) {
    for (const machine of sending) machine.lastHeartbeatAt = now as MonotonicMs;
    reachability.update(halfSilentFleet, now as MonotonicMs, 0 as MonotonicMs, () => false);
  }
  assert.deepEqual(states, []);
});

test('a new leader considers a zone without heartbeats unreachable, but only for a limited time', () => {
  const reachability = new ZoneReachability(HEARTBEAT_MS, () => undefined);
  const machines = createFleet(20);
  const [machineInA] = machines;
  assert.ok(machineInA !== undefined);
  for (let now = 0; now <= 12_000; now += 500) {
    for (const machine of machines) if (machine.zone !== 'a') machine.lastHeartbeatAt = now as MonotonicMs;
    reachability.update(machines, now as MonotonicMs, 0 as MonotonicMs, () => true);
  }
  assert.ok(reachability.explainsSilenceOf(machineInA, 12_000 as MonotonicMs));
  assert.ok(!reachability.explainsSilenceOf(machineInA, 120_000 as MonotonicMs));
});
