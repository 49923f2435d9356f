import assert from 'node:assert/strict';
import { test } from 'node:test';
import { SimTariffFeed, TEAMS, TYPES, World, ZONES, jobSpec, machineType } from '@spurbridge/testkit';
import type { WorldOptions } from '@spurbridge/testkit';
import type { JobId, JobSpec, TariffDocument } from '@spurbridge/wire';
import type { DeferralState, TariffOptions } from '../src/index.js';
import { Deferral, DEFAULT_TARIFF_OPTIONS, deferralControllerFactory } from '../src/index.js';

const WALL_START = Date.UTC(2026, 11, 1, 20, 0, 0);
const HIGH_PRICE = 3;
const LOW_PRICE = 1;

/** A tariff with one window of low prices; all times are in seconds from the start of the scenario. */
function tariff(revision: number, from: number, until: number, validS = 7200): TariffDocument {
  const at = (s: number): number => WALL_START + s * 1000;
  const rate = (price: number) => ({ price, carbon: 0, zones: null });
  return {
    revision,
    timeZone: 'UTC',
    issuedAt: at(revision - 1),
    validUntil: at(validS),
    nextUpdateS: 20,
    base: { price: HIGH_PRICE, carbon: 0 },
    windows: [],
    holidays: [],
    slots: [
      { from: at(0), until: at(from), ...rate(HIGH_PRICE) },
      { from: at(from), until: at(until), ...rate(LOW_PRICE) },
      { from: at(until), until: at(7200), ...rate(HIGH_PRICE) },
    ],
  };
}

interface Scenario {
  readonly world: World;
  readonly feed: SimTariffFeed;
  readonly startedAt: Map<JobId, number>;
  readonly doneAt: Map<JobId, number>;
  readonly logged: { at: number; message: string; fields: Record<string, unknown> }[];
  readonly submit: (n: number, atS: number, overrides?: Partial<JobSpec>, cancelAtS?: number) => JobId;
  readonly storedDeferrals: () => Map<string, DeferralState>;
}

function createScenario(
  options: Partial<TariffOptions> = {},
  overrides: Partial<WorldOptions> = {},
): Scenario {
  const logged: Scenario['logged'] = [];
  const log = (fields: object, message: string): void => {
    logged.push({ at: world.time.now / 1000, message, fields: fields as Record<string, unknown> });
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
      return [deferralControllerFactory({ ...DEFAULT_TARIFF_OPTIONS, feed: source, ...options })];
    },
    ...overrides,
  });
  const startedAt = new Map<JobId, number>();
  const doneAt = new Map<JobId, number>();
  world.checker.onRunEnded = (run) => {
    startedAt.set(run.job.id, Math.min(startedAt.get(run.job.id) ?? Infinity, run.sinceMs / 1000));
    if (run.done) doneAt.set(run.job.id, Math.max(doneAt.get(run.job.id) ?? 0, run.untilMs / 1000));
  };
  // An early job makes the controller observe the available capacity.
  const warmUp = jobSpec({ id: 'wk-warm' as JobId, tasks: 12, cpus: 2, estimateS: 20, image: 'img' });
  world.time.after(2000, () => {
    world.startUser(warmUp, null);
  });
  return {
    world,
    feed: feed ?? new SimTariffFeed(world.network),
    startedAt,
    doneAt,
    logged,
    submit: (n, atS, overrides = {}, cancelAtS) => {
      const id = `wk-${String(n).padStart(6, '0')}` as JobId;
      world.time.after(atS * 1000, () => {
        const job = jobSpec({ id, tasks: 2, estimateS: 10, image: 'img', deadlineS: 900, ...overrides });
        world.startUser(job, cancelAtS === undefined ? null : cancelAtS * 1000);
      });
      return id;
    },
    storedDeferrals: () => {
      const found = new Map<string, DeferralState>();
      for (let page = 0; page < 20; page += 1) {
        const value = world.store.peek(`d/${page}`) as { waiting?: unknown[] } | undefined;
        for (const entry of value?.waiting ?? []) {
          const deferral = Deferral.decode(entry);
          found.set(deferral.job, deferral.state);
        }
      }
      return found;
    },
  };
}

function assertBetween(value: number | undefined, min: number, max: number, label: string): void {
  assert.ok(value !== undefined && value >= min && value <= max, `${label}: ${value}`);
}

function leaderIndex(world: World): number {
  return world.nodes.findIndex((node) => node.clock.alive && node.controller.leadership.holdsValidLease());
}

test('jobs with a late deadline wait for the cheap window; services, urgent jobs and jobs without a deadline do not', async () => {
  const scenario = createScenario();
  scenario.feed.publish(tariff(1, 300, 700));
  const lateDeadline = scenario.submit(1, 60);
  const earlyDeadline = scenario.submit(2, 60, { deadlineS: 120 });
  const urgent = scenario.submit(3, 60, { priority: 'high' });
  const noDeadline = scenario.submit(4, 60, { deadlineS: null });
  const service = scenario.submit(
    5,
    60,
    { kind: 'service', priority: 'production', estimateS: 0, spot: false },
    400,
  );
  const gang = scenario.submit(6, 60, { kind: 'gang', deadlineS: null });
  const gangWithDeadline = scenario.submit(7, 60, { kind: 'gang', tasks: 2 });
  await scenario.world.runUntil(200_000);
  assert.deepEqual([...scenario.storedDeferrals().values()], ['deferred', 'deferred']);
  await scenario.world.runUntil(900_000);
  for (const id of [earlyDeadline, urgent, noDeadline, service, gang])
    assertBetween(scenario.startedAt.get(id), 60, 100, id);
  // The release precedes the window by the estimated boot and fetch time, although neither is needed here.
  for (const id of [lateDeadline, gangWithDeadline]) assertBetween(scenario.startedAt.get(id), 285, 700, id);
  assert.deepEqual(scenario.world.checker.violations, []);
  assert.equal(scenario.storedDeferrals().size, 0);
});

test('deferrals survive a failover, and no released job is deferred again', async () => {
  const scenario = createScenario();
  scenario.feed.publish(tariff(1, 300, 700));
  const ids = Array.from({ length: 12 }, (_, i) => scenario.submit(i, 60 + i));
  await scenario.world.runUntil(200_000);
  const before = scenario.storedDeferrals();
  assert.equal(before.size, 12);
  const first = leaderIndex(scenario.world);
  scenario.feed.isSilent = true;
  scenario.world.crash(first);
  await scenario.world.runUntil(240_000);
  assert.notEqual(leaderIndex(scenario.world), first);
  assert.deepEqual(scenario.storedDeferrals(), before);
  // The second leader crashes when releases are durable and few tasks have started.
  for (let at = 241; at < 400 && ![...scenario.storedDeferrals().values()].includes('released'); at += 0.1)
    await scenario.world.runUntil(at * 1000);
  const released = [...scenario.storedDeferrals()].filter(([, s]) => s === 'released').map(([id]) => id);
  assert.ok(released.length > 0);
  scenario.world.crash(leaderIndex(scenario.world));
  await scenario.world.runUntil(900_000);
  for (const id of ids) assertBetween(scenario.startedAt.get(id), 280, 700, id);
  assert.equal(scenario.world.checker.submitted.size, 13);
  assert.deepEqual(scenario.world.checker.violations, []);
  const restored = scenario.logged
    .filter((entry) => entry.message === 'tariff restored')
    .map((entry) => entry.fields['revision']);
  assert.deepEqual(restored, [null, 1, 1]);
  const deferredJobs = scenario.logged
    .filter((entry) => entry.message === 'job deferred')
    .map((entry) => entry.fields['job']);
  assert.equal(new Set(deferredJobs).size, deferredJobs.length, 'a job was deferred twice');
});

for (const [when, fromS, untilS] of [
  ['just before', 250, 420],
  ['during', 320, 900],
  ['just after', 710, 1100],
] as const)
  test(`the known tariff stays in force when the feed becomes silent ${when} the window`, async () => {
    const scenario = createScenario();
    scenario.feed.publish(tariff(1, 300, 700));
    const ids = Array.from({ length: 6 }, (_, i) => scenario.submit(i, 60 + i * 30));
    const late = scenario.submit(9, 720);
    scenario.world.time.after(fromS * 1000, () => (scenario.feed.isSilent = true));
    scenario.world.time.after(untilS * 1000, () => (scenario.feed.isSilent = false));
    await scenario.world.runUntil(1_700_000);
    for (const id of ids) assertBetween(scenario.startedAt.get(id), 280, 700, id);
    // No cheaper window is known after this one, so the job is released immediately.
    assertBetween(scenario.startedAt.get(late), 720, 770, late);
    assert.ok(
      scenario.logged.some(
        (entry) => entry.message === 'tariff feed state changed' && entry.fields['to'] === 'failing',
      ),
    );
    assert.deepEqual(scenario.world.checker.violations, []);
  });

test('jobs wait for a new tariff after the last one has expired, but not past their deadlines', async () => {
  const scenario = createScenario({ windowExtensionS: 0 });
  scenario.feed.publish(tariff(1, 300, 700, 120));
  const id = scenario.submit(1, 140, { deadlineS: 600 });
  await scenario.world.runUntil(1_000_000);
  const deferred = scenario.logged.find((entry) => entry.message === 'job deferred');
  assert.equal(deferred?.fields['reason'], 'blind');
  assertBetween(scenario.startedAt.get(id), 400, 740, id);
  assertBetween(scenario.doneAt.get(id), 400, 740, id);
});

test('jobs finish in time when the window that they wait for is shortened', async () => {
  const scenario = createScenario();
  scenario.feed.publish(tariff(1, 300, 700));
  const ids = Array.from({ length: 10 }, (_, i) => scenario.submit(i, 60 + i, { deadlineS: 500 + i * 10 }));
  scenario.world.time.after(310_000, () => {
    scenario.feed.publish(tariff(311, 300, 340));
  });
  await scenario.world.runUntil(1_000_000);
  ids.forEach((id, i) => {
    assertBetween(scenario.doneAt.get(id), 290, 560 + i * 11, id);
  });
  assert.ok(
    scenario.logged.some((entry) => entry.message === 'tariff applied' && entry.fields['revision'] === 311),
  );
});

test('a revised tariff with an earlier window releases jobs sooner, and a rejected tariff has no effect', async () => {
  const scenario = createScenario();
  scenario.feed.publish(tariff(1, 500, 900));
  const id = scenario.submit(1, 60);
  scenario.world.time.after(100_000, () => {
    scenario.feed.publishRaw({ format: 1, revision: 9, windows: -1 });
  });
  scenario.world.time.after(200_000, () => {
    scenario.feed.publish(tariff(201, 300, 700));
  });
  await scenario.world.runUntil(1_000_000);
  assertBetween(scenario.startedAt.get(id), 280, 400, id);
  const rejections = scenario.logged
    .filter((entry) => entry.message.startsWith('tariff rejected'))
    .map((entry) => entry.fields['refused']);
  assert.ok(
    rejections.length > 0 && rejections.every((x) => String(x).startsWith('issuedAt:')),
    String(rejections[0]),
  );
});

test('deferral causes no missed deadline when a burst fills the window and all estimates are half the run time', async () => {
  const taskRunMs = (job: JobSpec, task: number): number => job.estimateS * (1800 + ((task * 7919) % 400));
  const runBurst = async (deferral: boolean): Promise<{ late: string[]; inWindow: number }> => {
    const scenario = createScenario(
      {},
      {
        taskRunMs,
        capacity: 1,
        types: [machineType('m16', 16)],
        ...(deferral ? {} : { leaderComponents: () => [] }),
      },
    );
    scenario.feed.publish(tariff(1, 300, 600));
    const due = new Map<JobId, number>();
    for (let i = 0; i < 110; i += 1) {
      const [at, deadlineS] = [40 + i * 2, 700 + ((i * 37) % 500)];
      due.set(
        scenario.submit(i, at, { tasks: 3, cpus: 2, estimateS: 10, deadlineS, team: i % 2 ? 'red' : 'blue' }),
        at + deadlineS,
      );
    }
    await scenario.world.runUntil(1_500_000);
    assert.deepEqual(scenario.world.checker.violations, []);
    const late = [...due]
      .filter(([id, by]) => (scenario.doneAt.get(id) ?? Infinity) > by)
      .map(([id]) => id as string);
    const inWindow = [...due.keys()].filter(
      (id) => (scenario.startedAt.get(id) ?? 0) >= 295 && (scenario.startedAt.get(id) ?? 0) < 600,
    );
    return { late, inWindow: inWindow.length };
  };
  const [withDeferral, withoutDeferral] = [await runBurst(true), await runBurst(false)];
  assert.deepEqual(
    withDeferral.late.filter((id) => !withoutDeferral.late.includes(id)),
    [],
  );
  assert.ok(
    withDeferral.inWindow > withoutDeferral.inWindow + 20,
    `${withDeferral.inWindow} in the window, ${withoutDeferral.inWindow} without deferral`,
  );
});

test("jobs are released in time when the team's other work uses its quota", async () => {
  const scenario = createScenario();
  scenario.feed.publish(tariff(1, 300, 700));
  // This is twenty CPU minutes for each of the team's 24 CPUs.
  scenario.submit(50, 40, { team: 'blue', tasks: 240, cpus: 2, estimateS: 60, deadlineS: null });
  const ids = Array.from({ length: 4 }, (_, i) =>
    scenario.submit(i, 60 + i, { team: 'blue', deadlineS: 420 }),
  );
  await scenario.world.runUntil(200_000);
  const waiting = scenario.storedDeferrals();
  assert.deepEqual(
    ids.filter((id) => waiting.get(id) === 'deferred'),
    [],
  );
  assert.deepEqual(scenario.world.checker.violations, []);
});

test('a job cancelled while deferred never starts, and its deferral is deleted', async () => {
  const scenario = createScenario();
  scenario.feed.publish(tariff(1, 300, 700));
  const id = scenario.submit(1, 60, {}, 120);
  await scenario.world.runUntil(110_000);
  assert.equal(scenario.storedDeferrals().get(id), 'deferred');
  await scenario.world.runUntil(900_000);
  assert.equal(scenario.startedAt.get(id), undefined);
  assert.equal(scenario.world.recordedPhaseOf(id), 'cancelled');
  assert.equal(scenario.storedDeferrals().size, 0);
});

test('crashes, outages and partitions while jobs are deferred violate no invariant, and every job is done', async () => {
  for (const seed of [1, 2, 3]) {
    const scenario = createScenario({}, { seed });
    scenario.feed.publish(tariff(1, 200, 500));
    const ids = Array.from({ length: 20 }, (_, i) =>
      scenario.submit(i, 40 + i * 5, { deadlineS: 400 + scenario.world.random(400) }),
    );
    const at = (): number => (60 + scenario.world.random(400)) * 1000;
    for (let k = 0; k < 3; k += 1)
      scenario.world.time.after(at(), () => {
        scenario.world.crash(scenario.world.random(3));
      });
    scenario.world.time.after(at(), () => {
      scenario.world.store.setOutage(true);
      scenario.world.time.after(8000, () => {
        scenario.world.store.setOutage(false);
      });
    });
    scenario.world.time.after(at(), () => {
      const name = `spur-${Math.max(0, leaderIndex(scenario.world))}`;
      for (const other of ['state', ...scenario.world.workers.keys()])
        scenario.world.network.partition(name, other, 'hold');
      scenario.world.time.after(15_000, () => {
        for (const other of ['state', ...scenario.world.workers.keys()])
          scenario.world.network.heal(name, other);
      });
    });
    await scenario.world.runUntil(1_300_000);
    assert.deepEqual(scenario.world.checker.violations, [], `seed ${seed}`);
    for (const id of ids) assert.equal(scenario.world.recordedPhaseOf(id), 'done', `seed ${seed} ${id}`);
    assert.ok(
      scenario.logged.every(
        (entry) => entry.message !== 'leader failed' && !entry.message.startsWith('deferral failed'),
      ),
    );
  }
});

// Guards against a leader that resigns on an error in deferral. An instant that the calendar rejected made one
// leader after another resign.
test('an error in deferral does not stop the leader, and all jobs run', async () => {
  const scenario = createScenario({ carbonShare: 0 });
  scenario.feed.publish(tariff(1, 300, 700));
  const before = scenario.submit(1, 60);
  const after = scenario.submit(2, 150);
  await scenario.world.runUntil(100_000);
  assert.equal(scenario.storedDeferrals().get(before), 'deferred');
  const token = scenario.world.nodes[leaderIndex(scenario.world)]?.controller.leadership.fencingToken;
  // The response throws an error that is not a validation error when it is read.
  scenario.feed.publishRaw(
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
  await scenario.world.runUntil(400_000);
  for (const id of [before, after]) assertBetween(scenario.startedAt.get(id), 100, 180, id);
  assert.equal(scenario.world.nodes[leaderIndex(scenario.world)]?.controller.leadership.fencingToken, token);
  assert.ok(scenario.logged.some((entry) => entry.message.startsWith('deferral failed')));
  assert.deepEqual(scenario.world.checker.violations, []);
});
