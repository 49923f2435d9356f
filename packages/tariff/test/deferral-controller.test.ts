import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimTariffFeed, TEAMS, TYPES, World, ZONES, jobSpec, machineType } from '@spurbridge/testkit';
import type { WorldOptions } from '@spurbridge/testkit';
import type { JobId, JobSpec, TariffDocument } from '@spurbridge/wire';
import type { DeferralState, TariffOptions } from '../src/index.js';
import { Deferral, DEFAULT_TARIFF_OPTIONS, deferralControllerFactory } from '../src/index.js';

const WALL_START = Date.UTC(2026, 11, 1, 20, 0, 0);
const DEAR = 3;
const CHEAP = 1;

/** Dear but for one window, in seconds from the start; known until `validS`. */
function tariff(revision: number, from: number, until: number, validS = 7200): TariffDocument {
  const at = (s: number): number => WALL_START + s * 1000;
  const rate = (price: number) => ({ price, carbon: 0, zones: null });
  return {
    revision,
    timeZone: 'UTC',
    issuedAt: at(revision - 1),
    validUntil: at(validS),
    nextUpdateS: 20,
    base: { price: DEAR, carbon: 0 },
    windows: [],
    holidays: [],
    slots: [
      { from: at(0), until: at(from), ...rate(DEAR) },
      { from: at(from), until: at(until), ...rate(CHEAP) },
      { from: at(until), until: at(7200), ...rate(DEAR) },
    ],
  };
}

interface Night {
  readonly world: World;
  readonly feed: SimTariffFeed;
  readonly startedAt: Map<JobId, number>;
  readonly doneAt: Map<JobId, number>;
  readonly seen: { at: number; what: string; fields: Record<string, unknown> }[];
  readonly submit: (n: number, atS: number, over?: Partial<JobSpec>, cancelAtS?: number) => JobId;
  readonly book: () => Map<string, DeferralState>;
}

function night(o: Partial<TariffOptions> = {}, over: Partial<WorldOptions> = {}): Night {
  const seen: Night['seen'] = [];
  const log = (fields: object, what: string): void => {
    seen.push({ at: world.time.now / 1000, what, fields: fields as Record<string, unknown> });
  };
  let feed: SimTariffFeed | null = null;
  const world = new World({
    seed: 5,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 3,
    leaseS: 12,
    cancelS: 26,
    wallClockStartMs: WALL_START,
    userPollMs: 10_000,
    log: { debug: log, info: log, error: log },
    leaderComponents: (host, network) => {
      feed ??= new SimTariffFeed(network);
      const source = { source: feed.source(host), seed: 1, silentS: 120 };
      return [deferralControllerFactory({ ...DEFAULT_TARIFF_OPTIONS, feed: source, ...o })];
    },
    ...over,
  });
  const startedAt = new Map<JobId, number>();
  const doneAt = new Map<JobId, number>();
  world.checker.onRunEnded = (run) => {
    startedAt.set(run.job.id, Math.min(startedAt.get(run.job.id) ?? Infinity, run.sinceMs / 1000));
    if (run.done) doneAt.set(run.job.id, Math.max(doneAt.get(run.job.id) ?? 0, run.untilMs / 1000));
  };
  // Something runs early on, so that it is known what can be had.
  const warm = jobSpec({ id: 'wk-warm' as JobId, tasks: 12, cpus: 2, estimateS: 20, image: 'img' });
  world.time.after(2000, () => {
    world.startUser(warm, null);
  });
  return {
    world,
    feed: feed ?? new SimTariffFeed(world.network),
    startedAt,
    doneAt,
    seen,
    submit: (n, atS, spec = {}, cancelAtS) => {
      const id = `wk-${String(n).padStart(6, '0')}` as JobId;
      world.time.after(atS * 1000, () => {
        const job = jobSpec({ id, tasks: 2, estimateS: 10, image: 'img', deadlineS: 900, ...spec });
        world.startUser(job, cancelAtS === undefined ? null : cancelAtS * 1000);
      });
      return id;
    },
    book: () => {
      const found = new Map<string, DeferralState>();
      for (let page = 0; page < 20; page += 1) {
        const value = world.store.peek(`d/${page}`) as { waiting?: unknown[] } | undefined;
        for (const e of value?.waiting ?? []) {
          const d = Deferral.decode(e);
          found.set(d.job, d.state);
        }
      }
      return found;
    },
  };
}

function between(value: number | undefined, least: number, most: number, what: string): void {
  assert.ok(value !== undefined && value >= least && value <= most, `${what}: ${value}`);
}

function leader(world: World): number {
  return world.nodes.findIndex((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
}

test('jobs with time wait for the window; services, urgent jobs and jobs without a deadline never do', async () => {
  const n = night();
  n.feed.publish(tariff(1, 300, 700));
  const patient = n.submit(1, 60);
  const hurried = n.submit(2, 60, { deadlineS: 120 });
  const urgent = n.submit(3, 60, { priority: 'high' });
  const free = n.submit(4, 60, { deadlineS: null });
  const service = n.submit(
    5,
    60,
    { kind: 'service', priority: 'production', estimateS: 0, spot: false },
    400,
  );
  const gang = n.submit(6, 60, { kind: 'gang', deadlineS: null });
  const timed = n.submit(7, 60, { kind: 'gang', tasks: 2 });
  await n.world.runUntil(200_000);
  assert.deepEqual([...n.book().values()], ['deferred', 'deferred']);
  await n.world.runUntil(900_000);
  for (const id of [hurried, urgent, free, service, gang]) between(n.startedAt.get(id), 60, 100, id);
  // As much before the window as boots and fetches may take, here where neither is needed.
  for (const id of [patient, timed]) between(n.startedAt.get(id), 285, 700, id);
  assert.deepEqual(n.world.checker.violations, []);
  assert.equal(n.book().size, 0);
});

test('after a failover between decision and release the same jobs wait, and no released job is deferred again', async () => {
  const n = night();
  n.feed.publish(tariff(1, 300, 700));
  const ids = Array.from({ length: 12 }, (_, i) => n.submit(i, 60 + i));
  await n.world.runUntil(200_000);
  const before = n.book();
  assert.equal(before.size, 12);
  const first = leader(n.world);
  n.feed.isSilent = true;
  n.world.crash(first);
  await n.world.runUntil(240_000);
  assert.notEqual(leader(n.world), first);
  assert.deepEqual(n.book(), before);
  // The next one falls when releases are durable and hardly any task has started.
  for (let at = 241; at < 400 && ![...n.book().values()].includes('released'); at += 0.1)
    await n.world.runUntil(at * 1000);
  const released = [...n.book()].filter(([, s]) => s === 'released').map(([id]) => id);
  assert.ok(released.length > 0);
  n.world.crash(leader(n.world));
  await n.world.runUntil(900_000);
  for (const id of ids) between(n.startedAt.get(id), 280, 700, id);
  assert.equal(n.world.checker.submitted.size, 13);
  assert.deepEqual(n.world.checker.violations, []);
  const restored = n.seen.filter((x) => x.what === 'tariff restored').map((x) => x.fields['revision']);
  assert.deepEqual(restored, [null, 1, 1]);
  const again = n.seen.filter((x) => x.what === 'job deferred').map((x) => x.fields['job']);
  assert.equal(new Set(again).size, again.length, 'a job was deferred twice');
});

for (const [when, fromS, untilS] of [
  ['just before', 250, 420],
  ['during', 320, 900],
  ['just after', 710, 1100],
] as const)
  test(`a feed that becomes silent ${when} the window changes nothing that is known`, async () => {
    const n = night();
    n.feed.publish(tariff(1, 300, 700));
    const ids = Array.from({ length: 6 }, (_, i) => n.submit(i, 60 + i * 30));
    const late = n.submit(9, 720);
    n.world.time.after(fromS * 1000, () => (n.feed.isSilent = true));
    n.world.time.after(untilS * 1000, () => (n.feed.isSilent = false));
    await n.world.runUntil(1_700_000);
    for (const id of ids) between(n.startedAt.get(id), 280, 700, id);
    // Nothing cheaper is known to come: it goes at once.
    between(n.startedAt.get(late), 720, 770, late);
    assert.ok(n.seen.some((x) => x.what === 'tariff feed' && x.fields['to'] === 'failing'));
    assert.deepEqual(n.world.checker.violations, []);
  });

test('once no window is certain, jobs wait for news as long as that is safe, and no longer', async () => {
  const n = night({ windowExtensionS: 0 });
  n.feed.publish(tariff(1, 300, 700, 120));
  const id = n.submit(1, 140, { deadlineS: 600 });
  await n.world.runUntil(1_000_000);
  const d = n.seen.find((x) => x.what === 'job deferred');
  assert.equal(d?.fields['reason'], 'blind');
  between(n.startedAt.get(id), 400, 740, id);
  between(n.doneAt.get(id), 400, 740, id);
});

test('jobs finish in time although the window that they wait for closes early', async () => {
  const n = night();
  n.feed.publish(tariff(1, 300, 700));
  const ids = Array.from({ length: 10 }, (_, i) => n.submit(i, 60 + i, { deadlineS: 500 + i * 10 }));
  n.world.time.after(310_000, () => {
    n.feed.publish(tariff(311, 300, 340));
  });
  await n.world.runUntil(1_000_000);
  ids.forEach((id, i) => {
    between(n.doneAt.get(id), 290, 560 + i * 11, id);
  });
  assert.ok(n.seen.some((x) => x.what === 'tariff taken' && x.fields['revision'] === 311));
});

test('a tariff revised to a nearer window releases sooner, and a refused one changes nothing', async () => {
  const n = night();
  n.feed.publish(tariff(1, 500, 900));
  const id = n.submit(1, 60);
  n.world.time.after(100_000, () => {
    n.feed.publishRaw({ format: 1, revision: 9, windows: -1 });
  });
  n.world.time.after(200_000, () => {
    n.feed.publish(tariff(201, 300, 700));
  });
  await n.world.runUntil(1_000_000);
  between(n.startedAt.get(id), 280, 400, id);
  const refused = n.seen.filter((x) => x.what.startsWith('tariff refused')).map((x) => x.fields['refused']);
  assert.ok(
    refused.length > 0 && refused.every((x) => String(x).startsWith('issuedAt:')),
    String(refused[0]),
  );
});

test('a burst fills the window and all estimates are half the run time: no job misses its deadline for it', async () => {
  const runs = (job: JobSpec, task: number): number => job.estimateS * (1800 + ((task * 7919) % 400));
  const play = async (deferral: boolean): Promise<{ late: string[]; inWindow: number }> => {
    const n = night(
      {},
      {
        taskRunMs: runs,
        capacity: 1,
        types: [machineType('m16', 16)],
        ...(deferral ? {} : { leaderComponents: () => [] }),
      },
    );
    n.feed.publish(tariff(1, 300, 600));
    const due = new Map<JobId, number>();
    for (let i = 0; i < 110; i += 1) {
      const [at, deadlineS] = [40 + i * 2, 700 + ((i * 37) % 500)];
      due.set(
        n.submit(i, at, { tasks: 3, cpus: 2, estimateS: 10, deadlineS, team: i % 2 ? 'red' : 'blue' }),
        at + deadlineS,
      );
    }
    await n.world.runUntil(1_500_000);
    assert.deepEqual(n.world.checker.violations, []);
    const late = [...due]
      .filter(([id, by]) => (n.doneAt.get(id) ?? Infinity) > by)
      .map(([id]) => id as string);
    const inWindow = [...due.keys()].filter(
      (id) => (n.startedAt.get(id) ?? 0) >= 295 && (n.startedAt.get(id) ?? 0) < 600,
    );
    return { late, inWindow: inWindow.length };
  };
  const [on, off] = [await play(true), await play(false)];
  assert.deepEqual(
    on.late.filter((id) => !off.late.includes(id)),
    [],
  );
  assert.ok(
    on.inWindow > off.inWindow + 20,
    `${on.inWindow} in the window, ${off.inWindow} without deferral`,
  );
});

test("jobs are released in time where the team's quota is taken by its other work", async () => {
  const n = night();
  n.feed.publish(tariff(1, 300, 700));
  // Twenty CPU minutes for each of the team's 24 CPUs.
  n.submit(50, 40, { team: 'blue', tasks: 240, cpus: 2, estimateS: 60, deadlineS: null });
  const ids = Array.from({ length: 4 }, (_, i) => n.submit(i, 60 + i, { team: 'blue', deadlineS: 420 }));
  await n.world.runUntil(200_000);
  const waiting = n.book();
  assert.deepEqual(
    ids.filter((id) => waiting.get(id) === 'deferred'),
    [],
  );
  assert.deepEqual(n.world.checker.violations, []);
});

test('a job cancelled while deferred never starts, and its deferral is dropped', async () => {
  const n = night();
  n.feed.publish(tariff(1, 300, 700));
  const id = n.submit(1, 60, {}, 120);
  await n.world.runUntil(110_000);
  assert.equal(n.book().get(id), 'deferred');
  await n.world.runUntil(900_000);
  assert.equal(n.startedAt.get(id), undefined);
  assert.equal(n.world.recordedPhaseOf(id), 'cancelled');
  assert.equal(n.book().size, 0);
});

test('crashes, outages and partitions while jobs wait violate no invariant, and every job ends', async () => {
  for (const seed of [1, 2, 3]) {
    const n = night({}, { seed });
    n.feed.publish(tariff(1, 200, 500));
    const ids = Array.from({ length: 20 }, (_, i) =>
      n.submit(i, 40 + i * 5, { deadlineS: 400 + n.world.random(400) }),
    );
    const at = (): number => (60 + n.world.random(400)) * 1000;
    for (let k = 0; k < 3; k += 1)
      n.world.time.after(at(), () => {
        n.world.crash(n.world.random(3));
      });
    n.world.time.after(at(), () => {
      n.world.store.setOutage(true);
      n.world.time.after(8000, () => {
        n.world.store.setOutage(false);
      });
    });
    n.world.time.after(at(), () => {
      const name = `spur-${Math.max(0, leader(n.world))}`;
      for (const other of ['state', ...n.world.workers.keys()])
        n.world.network.partition(name, other, 'hold');
      n.world.time.after(15_000, () => {
        for (const other of ['state', ...n.world.workers.keys()]) n.world.network.heal(name, other);
      });
    });
    await n.world.runUntil(1_300_000);
    assert.deepEqual(n.world.checker.violations, [], `seed ${seed}`);
    for (const id of ids) assert.equal(n.world.recordedPhaseOf(id), 'done', `seed ${seed} ${id}`);
    assert.ok(n.seen.every((x) => x.what !== 'leader failed' && !x.what.startsWith('deferring failed')));
  }
});

// A time that the calendar refused deposed one leader after the other.
test('an error in deferral does not stop the leader, and all jobs run', async () => {
  const n = night({ carbonShare: 0 });
  n.feed.publish(tariff(1, 300, 700));
  const before = n.submit(1, 60);
  const after = n.submit(2, 150);
  await n.world.runUntil(100_000);
  assert.equal(n.book().get(before), 'deferred');
  const token = n.world.nodes[leader(n.world)]?.controller.leadership.fencingToken;
  // An answer that no feed should give: it fails where no field can be named.
  n.feed.publishRaw(
    new Proxy(
      {},
      {
        get: () => {
          throw new RangeError('unforeseen');
        },
        ownKeys: () => [],
      },
    ),
  );
  await n.world.runUntil(400_000);
  for (const id of [before, after]) between(n.startedAt.get(id), 100, 180, id);
  assert.equal(n.world.nodes[leader(n.world)]?.controller.leadership.fencingToken, token);
  assert.ok(n.seen.some((x) => x.what.startsWith('deferring failed')));
  assert.deepEqual(n.world.checker.violations, []);
});
