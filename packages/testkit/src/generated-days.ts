import type { JobId, JobSpec, MachineId } from '@spurbridge/wire';
import { TEAMS, TYPES, ZONES, jobId, jobSpec } from './fixtures.js';
import type { WorldOptions } from './world-options.js';
import { World } from './world.js';
import { CLOUD_HOST, STORE_HOST } from './hosts.js';

const LEASE_S = 12;
const CANCEL_S = 26;
/** Length of a drawn day; all its troubles have healed by `CALM_MS`. */
export const DAY_LENGTH_MS = 200_000;
export const FAULTS_END_MS = 110_000;

/** A process that ended is back after one of these, in milliseconds. */
const BACKS_MS = [50, 100, 200, 500, 2000, 8000, 10_000] as const;
/** Ends of one node in a row, this far apart at most. */
const ROW = 6;
const ROW_MS = 3000;

export function randomRestartMs(w: World): number {
  return BACKS_MS[w.random(BACKS_MS.length)] ?? 8000;
}

/** A small world, in which most things that can happen to a large one happen soon. */
export function smallWorld(seed: number, over: Partial<WorldOptions> = {}): World {
  return new World({
    seed,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 3,
    leaseS: LEASE_S,
    cancelS: CANCEL_S,
    ...over,
  });
}

/** Jobs of every shape, at times drawn from the seed; some are cancelled. */
export function generateJobs(w: World): { spec: JobSpec; at: number; cancelAt: number | null }[] {
  return Array.from({ length: 16 }, (_, i) => {
    const id = jobId(i);
    const kind = (['array', 'array', 'array', 'service', 'gang'] as const)[w.random(5)] ?? 'array';
    const at = w.random(70_000);
    const drawn = jobSpec({
      id,
      class: kind,
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
export function injectRandomFault(w: World, allMayCrash = true): void {
  const at = 5000 + w.random(80_000);
  const until = Math.min(FAULTS_END_MS, at + 2000 + w.random(25_000));
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
      for (const host of cut) w.network.partition(name, host, mode);
      w.time.after(until - at, () => {
        for (const host of cut) w.network.heal(name, host);
      });
    });
  };
  const others = ['spur-0', 'spur-1', 'spur-2'].filter((n) => n !== name);
  switch (w.random(11)) {
    case 0:
      return begin(() => {
        w.crash(node, randomRestartMs(w));
      });
    case 1:
      return begin(() => {
        for (let i = 0; i < (allMayCrash ? 3 : 1); i += 1) w.crash(i, randomRestartMs(w));
      });
    case 2:
      return begin(() => {
        w.store.setOutage(true);
        w.time.after(until - at, () => {
          w.store.setOutage(false);
        });
      });
    case 3:
      return begin(() => {
        const refused = w.nodes[node];
        if (refused === undefined) return;
        refused.store.isRefused = true;
        w.time.after(until - at, () => {
          refused.store.isRefused = false;
        });
      });
    case 4:
      return cutFrom(() => [STORE_HOST]);
    case 5:
      return cutFrom(() => [...w.workers.keys()]);
    case 6:
      return cutFrom(() => [STORE_HOST, CLOUD_HOST, ...others, ...w.workers.keys()]);
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
        for (const n of w.nodes) w.network.partition(n.name, id, mode);
        w.time.after(until - at, () => {
          for (const n of w.nodes) w.network.heal(n.name, id);
        });
      });
    case 10:
      for (let n = 0; n < ROW; n += 1)
        w.time.after(at + n * w.random(ROW_MS), () => {
          w.crash(node, BACKS_MS[w.random(3)]);
        });
      return;
    default:
  }
}

/** Jobs drawn from the seed, submitted and watched by their users. */
export function startGeneratedJobs(w: World): void {
  for (const { spec, at, cancelAt } of generateJobs(w))
    w.time.after(at, () => {
      w.startUser(spec, cancelAt);
    });
}

/** Asks every 50 ms whether two nodes hold the lease surely at the same moment. */
export function watchForTwoLeaders(w: World, twice: (atMs: number) => void): void {
  const watch = (): void => {
    const sure = w.nodes.filter((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
    if (sure.length > 1) twice(w.time.now);
    w.time.after(50, watch);
  };
  watch();
}

/** Arrays that neither are done nor cancelled by their records. */
export function unfinishedArrays(w: World): JobId[] {
  return [...w.checker.submitted.values()]
    .filter((s) => s.kind === 'array' && !['done', 'cancelled'].includes(String(w.recordedPhaseOf(s.id))))
    .map((s) => s.id);
}

/** A small world in which two leaders at the same moment end the test. */
export function leaderCheckedWorld(seed: number, over: Partial<WorldOptions> = {}): World {
  const w = smallWorld(seed, over);
  watchForTwoLeaders(w, (at) => {
    throw new Error(`two leaders at ${at}`);
  });
  return w;
}
