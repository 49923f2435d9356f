import assert from 'node:assert/strict';
import { test } from 'node:test';
import { Machine } from '@spurbridge/model';
import type { MonotonicMs } from '@spurbridge/net';
import type { MachineId } from '@spurbridge/wire';
import { ZoneReachability } from '../src/machines/zone-reachability.js';

const REPORT_MS = 4000;

function fleet(perZone: number): Machine[] {
  const all: Machine[] = [];
  for (const zone of ['a', 'b', 'c'])
    for (let i = 0; i < perZone; i += 1)
      all.push(new Machine(`n-${zone}${i}` as MachineId, 's', zone, false, true, 0 as MonotonicMs));
  return all;
}

/** Lets every machine of the zones report in turn until the time, and looks twice a second. */
function pass(
  z: ZoneReachability,
  all: readonly Machine[],
  zones: string,
  fromMs: number,
  untilMs: number,
): void {
  for (let now = fromMs; now <= untilMs; now += 500) {
    all.forEach((m, i) => {
      if (zones.includes(m.zone) && (now / 500 + i) % 8 === 0) m.lastHeartbeatAt = now as MonotonicMs;
    });
    z.update(all, now as MonotonicMs, 0 as MonotonicMs, () => false);
  }
}

test('a zone none of whose machines is heard, while others are, is away, and its machines are excused', () => {
  const said: string[] = [];
  const z = new ZoneReachability(REPORT_MS, (f) => said.push((f as { to: string }).to));
  const all = fleet(20);
  const [inA, inB] = [all[0], all[20]];
  assert.ok(inA !== undefined && inB !== undefined);
  pass(z, all, 'abc', 0, 20_000);
  assert.deepEqual(said, []);
  pass(z, all, 'bc', 20_500, 26_000);
  assert.deepEqual(said, ['away']);
  assert.ok(
    z.explainsSilenceOf(inA, 26_000 as MonotonicMs) && !z.explainsSilenceOf(inB, 26_000 as MonotonicMs),
  );
  pass(z, all, 'abc', 26_500, 28_000);
  assert.deepEqual(said, ['away', 'returning']);
  assert.ok(z.explainsSilenceOf(inA, 28_000 as MonotonicMs), 'those that come last are excused as well');
  pass(z, all, 'abc', 28_500, 40_000);
  assert.deepEqual(said, ['away', 'returning', 'whole']);
  assert.ok(!z.explainsSilenceOf(inA, 40_000 as MonotonicMs));
});

test('silence of all zones, of a few machines, or of half a zone excuses nobody', () => {
  const said: string[] = [];
  const z = new ZoneReachability(REPORT_MS, (f) => said.push((f as { to: string }).to));
  const all = fleet(20);
  pass(z, all, 'abc', 0, 20_000);
  pass(z, all, '', 20_500, 40_000);
  const few = fleet(5);
  pass(z, few, 'abc', 0, 20_000);
  pass(z, few, 'bc', 20_500, 40_000);
  const half = fleet(20);
  pass(z, half, 'abc', 0, 20_000);
  const heard = half.filter((_, i) => i % 2 === 0);
  for (let now = 20_500; now < 40_000; now += 500) {
    for (const m of heard) m.lastHeartbeatAt = now as MonotonicMs;
    z.update(half, now as MonotonicMs, 0 as MonotonicMs, () => false);
  }
  assert.deepEqual(said, []);
});

test('a zone that never returns is given up, and a new leader that never heard it knows it as away', () => {
  const z = new ZoneReachability(REPORT_MS, () => undefined);
  const all = fleet(20);
  const [inA] = all;
  assert.ok(inA !== undefined);
  for (let now = 0; now <= 12_000; now += 500) {
    for (const m of all) if (m.zone !== 'a') m.lastHeartbeatAt = now as MonotonicMs;
    z.update(all, now as MonotonicMs, 0 as MonotonicMs, () => true);
  }
  assert.ok(z.explainsSilenceOf(inA, 12_000 as MonotonicMs));
  assert.ok(!z.explainsSilenceOf(inA, 120_000 as MonotonicMs));
});
