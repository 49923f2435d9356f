import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { JobId, JobSpec, MachineId } from '@spurbridge/wire';
import { CLOUD_HOST, STATE_HOST, TEAMS, TYPES, World, ZONES, jobSpec } from '../src/index.js';

/** Seeds are fixed; `SPURBRIDGE_SEEDS=1000-1050 npm run unit` tries others by hand. */
function seeds(): number[] {
  const wanted = /^(\d+)-(\d+)$/.exec(process.env['SPURBRIDGE_SEEDS'] ?? '1-14');
  const [first, last] = [Number(wanted?.[1] ?? 1), Number(wanted?.[2] ?? 14)];
  return Array.from({ length: last - first + 1 }, (_, i) => first + i);
}

const LEASE_S = 12;
const CANCEL_S = 26;
const DAY_MS = 200_000;
const CALM_MS = 110_000;

function world(seed: number): World {
  return new World({
    seed,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 3,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
  });
}

/** Jobs of every shape, at times drawn from the seed; some are cancelled. */
function drawJobs(w: World): { spec: JobSpec; at: number; cancelAt: number | null }[] {
  return Array.from({ length: 16 }, (_, i) => {
    const id = `wk-${String(i).padStart(6, '0')}` as JobId;
    const kind = (['array', 'array', 'array', 'service', 'gang'] as const)[w.random(5)] ?? 'array';
    const at = w.random(70_000);
    const drawn = jobSpec({
      id,
      kind,
      team: w.random(3) === 0 ? 'blue' : 'red',
      tasks: 1 + w.random(kind === 'array' ? 8 : 3),
      cpus: 1 + w.random(kind === 'array' ? 4 : 3),
      priority: (['production', 'high', 'normal', 'low'] as const)[w.random(4)] ?? 'normal',
      image: `img-${w.random(3)}`,
      oneZone: kind === 'gang' && w.random(2) === 0,
      spread: kind === 'service',
      spot: kind !== 'service',
      zone: w.random(6) === 0 ? 'b' : null,
      estimateS: kind === 'service' ? 0 : 2 + w.random(12),
      checkpointS: w.random(3) === 0 ? 2 : 0,
      saveS: 1,
    });
    const spec = { ...drawn, gpus: kind === 'gang' && drawn.team === 'red' ? i % 3 : 0 };
    const cancelAt = kind === 'service' || w.random(4) === 0 ? at + 5000 + w.random(90_000) : null;
    return { spec, at, cancelAt };
  });
}

/** One trouble, drawn from the seed; everything has healed by CALM_MS. */
function trouble(w: World): void {
  const at = 5000 + w.random(80_000);
  const until = Math.min(CALM_MS, at + 2000 + w.random(25_000));
  const node = w.random(3);
  const name = `spur-${node}`;
  const anyWorker = (): MachineId | null => {
    const up = [...w.workers.values()].filter((x) => x.alive);
    return up[w.random(up.length)]?.id ?? null;
  };
  const mode = w.random(2) === 0 ? 'hold' : 'drop';
  const begin = (run: () => void): void => {
    w.time.after(at, run);
  };
  const cutFrom = (hosts: () => string[]): void => {
    begin(() => {
      const cut = hosts();
      for (const host of cut) w.network.cut(name, host, mode);
      w.time.after(until - at, () => {
        for (const host of cut) w.network.heal(name, host);
      });
    });
  };
  const others = ['spur-0', 'spur-1', 'spur-2'].filter((n) => n !== name);
  switch (w.random(10)) {
    case 0:
      return begin(() => {
        w.crash(node);
      });
    case 1:
      return begin(() => {
        for (let i = 0; i < 3; i += 1) w.crash(i);
      });
    case 2:
      return begin(() => {
        w.state.setOutage(true);
        w.time.after(until - at, () => {
          w.state.setOutage(false);
        });
      });
    case 3:
      return begin(() => {
        const refused = w.nodes[node];
        if (refused === undefined) return;
        refused.store.refused = true;
        w.time.after(until - at, () => {
          refused.store.refused = false;
        });
      });
    case 4:
      return cutFrom(() => [STATE_HOST]);
    case 5:
      return cutFrom(() => [...w.workers.keys()]);
    case 6:
      return cutFrom(() => [STATE_HOST, CLOUD_HOST, ...others, ...w.workers.keys()]);
    case 7:
      return begin(() => {
        const id = anyWorker();
        if (id !== null) w.workers.get(id)?.die();
      });
    case 8:
      return begin(() => {
        const id = anyWorker();
        if (id === null) return;
        w.workers.get(id)?.hang();
        w.time.after(until - at, () => w.workers.get(id)?.resume());
      });
    case 9:
      return begin(() => {
        const id = anyWorker();
        if (id === null) return;
        for (const n of w.nodes) w.network.cut(n.name, id, mode);
        w.time.after(until - at, () => {
          for (const n of w.nodes) w.network.heal(n.name, id);
        });
      });
    default:
  }
}

async function day(seed: number, troubles: number): Promise<World> {
  const w = world(seed);
  for (const { spec, at, cancelAt } of drawJobs(w))
    w.time.after(at, () => {
      w.user(spec, cancelAt);
    });
  for (let i = 0; i < troubles; i += 1) trouble(w);
  // Never may two nodes hold the lease surely at the same moment.
  const watch = (): void => {
    const sure = w.nodes.filter((n) => n.clock.alive && n.controller.leadership.holdsSurely());
    assert.ok(sure.length <= 1, `two leaders at ${w.time.now}`);
    w.time.after(50, watch);
  };
  watch();
  await w.run(DAY_MS);
  return w;
}

function assertKept(w: World, seed: number): void {
  assert.deepEqual(w.checker.broken, [], `seed ${seed}`);
  assert.ok(w.checker.starts > 0, `seed ${seed} started nothing`);
}

test('a quiet day keeps every rule and ends every job', async () => {
  const w = await day(7, 0);
  assertKept(w, 7);
  for (const spec of w.checker.submitted.values())
    assert.ok(['done', 'cancelled'].includes(String(w.phaseOf(spec.id))), `${spec.id} ${spec.kind}`);
});

for (const seed of seeds())
  test(`troubles drawn from seed ${seed} break no rule, and arrays end once they are over`, async () => {
    const w = await day(seed, 2 + (seed % 5));
    assertKept(w, seed);
    const open = [...w.checker.submitted.values()].filter(
      (s) => s.kind === 'array' && !['done', 'cancelled'].includes(String(w.phaseOf(s.id))),
    );
    assert.deepEqual(
      open.map((s) => s.id),
      [],
      `seed ${seed}`,
    );
  });
