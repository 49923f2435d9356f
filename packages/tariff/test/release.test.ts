import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import type { JobId } from '@spurbridge/wire';
import fc from 'fast-check';
import type { ReleaseInput, DeferrableJob } from '../src/index.js';
import { decideReleases } from '../src/index.js';

const MIN = 60_000;

function job(n: number, over: Partial<DeferrableJob> = {}): DeferrableJob {
  return {
    id: `wk-${String(n).padStart(4, '0')}` as JobId,
    deferred: false,
    team: 0,
    priceIndex: 0,
    cpus: 4,
    workCpuS: 120,
    taskRunTimeS: 30,
    leadTimeS: 0,
    marginS: 0,
    finishBy: (60 * MIN) as WallClockMs,
    startBy: null,
    ...over,
  };
}

function input(
  jobs: readonly DeferrableJob[],
  prices: readonly number[],
  over: Partial<ReleaseInput> = {},
): ReleaseInput {
  return {
    now: 0 as WallClockMs,
    jobs,
    teams: [{ cpus: 100, backlogCpuS: 0, demandCpus: 0 }],
    pool: { cpus: 100, backlogCpuS: 0, demandCpus: 0 },
    // One piece for every ten minutes.
    starts: prices.map((_, i) => (i * 10 * MIN) as WallClockMs),
    until: (prices.length * 10 * MIN) as WallClockMs,
    prices: [Float64Array.from(prices)],
    minSaving: 0.05,
    ...over,
  };
}

const CHEAP_AT_30 = [3, 3, 3, 1, 1, 3, 3];

function only(i: ReleaseInput) {
  const [d] = decideReleases(i);
  assert.ok(d !== undefined);
  return d;
}

test('a job waits for the cheap window, less its lead time for boot and fetch', () => {
  assert.deepEqual(only(input([job(1)], CHEAP_AT_30)).at, 30 * MIN);
  const early = only(input([job(1, { leadTimeS: 90 })], CHEAP_AT_30));
  assert.deepEqual([early.at, early.reason], [28.5 * MIN, 'cheaper']);
});

test('a job is released now where no cheaper moment is safe or worth waiting for', () => {
  const late = only(input([job(1, { finishBy: (30.4 * MIN) as WallClockMs })], CHEAP_AT_30));
  assert.deepEqual([late.at, late.reason], [0, 'latest']);
  const aim = only(input([job(1, { startBy: (29 * MIN) as WallClockMs })], CHEAP_AT_30));
  assert.deepEqual([aim.at, aim.reason], [0, 'latest']);
  const margin = only(input([job(1, { marginS: 1800 - 29 })], CHEAP_AT_30));
  assert.equal(margin.at, 0);
  assert.equal(only(input([job(1)], [3, 3, 2.9, 2.9])).reason, 'no-saving');
  assert.equal(only(input([job(1)], [1, 1, 3, 3])).reason, 'cheapest');
  const none = only(input([job(1)], CHEAP_AT_30, { pool: { cpus: 0, backlogCpuS: 0, demandCpus: 0 } }));
  assert.deepEqual([none.at, none.reason], [0, 'no-room']);
});

test('jobs with the earliest finish times fill the window, and the others are released elsewhere', () => {
  // The window carries 20 minutes of 4 CPUs: 40 jobs.
  const jobs = Array.from({ length: 60 }, (_, i) =>
    job(i, { finishBy: ((50 + i / 10) * MIN) as WallClockMs }),
  );
  const few = {
    teams: [{ cpus: 4, backlogCpuS: 0, demandCpus: 0 }],
    pool: { cpus: 100, backlogCpuS: 0, demandCpus: 0 },
  };
  const made = decideReleases(input(jobs, CHEAP_AT_30, few));
  const inWindow = made.filter((d) => d.at >= 30 * MIN && d.at < 50 * MIN);
  assert.ok(inWindow.length >= 38 && inWindow.length <= 41, `${inWindow.length}`);
  // Never all at once: they follow each other through the window.
  assert.ok(new Set(inWindow.map((d) => d.at)).size >= 10);
  for (const d of made) assert.ok(d.at <= 50 * MIN);
});

test("a team's capacity that is taken by other work is not counted on", () => {
  const busy = {
    teams: [{ cpus: 4, backlogCpuS: 4 * 3000, demandCpus: 0 }],
    pool: { cpus: 100, backlogCpuS: 0, demandCpus: 0 },
  };
  const d = only(input([job(1, { finishBy: (45 * MIN) as WallClockMs })], CHEAP_AT_30, busy));
  assert.deepEqual([d.at, d.reason], [0, 'no-room']);
  // Less of it ends while the window is still open: one that waits for it goes on waiting, and for a new one
  // there is nothing to gain, since it would stand behind the others anyway.
  const less = { teams: [{ cpus: 4, backlogCpuS: 4 * 2000, demandCpus: 0 }] };
  const d2 = only(input([job(1, { deferred: true })], CHEAP_AT_30, less));
  assert.ok(d2.at >= 33 * MIN && d2.at < 50 * MIN, `${d2.at / MIN}`);
  assert.equal(only(input([job(1)], CHEAP_AT_30, less)).reason, 'no-saving');
});

test('jobs whose turn has come are released one after another, and new ones after those that wait', () => {
  const crowd = { cpus: 8, backlogCpuS: 100, demandCpus: 6 };
  const i = input([job(1, { deferred: true, finishBy: (5 * MIN) as WallClockMs }), job(2)], [1, 1, 1], {
    teams: [crowd],
  });
  for (const d of decideReleases(i)) assert.deepEqual([d.at, d.reason], [1000, 'turn']);
  // With nobody waiting there is nobody to stand behind.
  assert.equal(only({ ...i, jobs: [job(2)] }).at, 0);
  // With no second to spare it goes, crowded or not.
  const hurried = job(1, { deferred: true, taskRunTimeS: 30, workCpuS: 4, finishBy: 30_500 as WallClockMs });
  const d = only({ ...i, jobs: [hurried] });
  assert.equal(d.at, 0);
  // As soon as there is room, so does the next.
  assert.equal(only({ ...i, teams: [{ ...crowd, demandCpus: 4 }] }).at, 0);
});

test('without any known price a job waits as long as that is safe, and an unknown price is not taken for cheap', () => {
  const blind = only(input([job(1)], [NaN, NaN, NaN, NaN, NaN, NaN]));
  assert.equal(blind.reason, 'blind');
  assert.ok(blind.at > 50 * MIN && blind.at <= 59.5 * MIN, `${blind.at / MIN}`);
  assert.equal(only(input([job(1)], [2, 2, NaN, NaN, 1, NaN])).at, 40 * MIN);
  assert.equal(only(input([job(1)], [1, 2, NaN, NaN, NaN, NaN])).at, 0);
});

const jobsArb = fc.array(
  fc.record({
    deferred: fc.boolean(),
    priceIndex: fc.nat({ max: 1 }),
    team: fc.nat({ max: 1 }),
    cpus: fc.integer({ min: 1, max: 12 }),
    taskRunTimeS: fc.integer({ min: 5, max: 400 }),
    leadTimeS: fc.integer({ min: 0, max: 120 }),
    marginS: fc.integer({ min: 0, max: 120 }),
    dueMin: fc.integer({ min: 1, max: 100 }),
    startMin: fc.option(fc.integer({ min: 0, max: 60 })),
  }),
  { maxLength: 40 },
);
const inputArb = fc
  .record({
    jobs: jobsArb,
    a: fc.array(fc.oneof(fc.integer({ min: -3, max: 9 }), fc.constant(NaN)), {
      minLength: 12,
      maxLength: 12,
    }),
    b: fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 12, maxLength: 12 }),
    cpus: fc.tuple(fc.nat({ max: 40 }), fc.nat({ max: 40 }), fc.nat({ max: 60 })),
    ahead: fc.nat({ max: 20_000 }),
  })
  .map(({ jobs, a, b, cpus, ahead }) =>
    input(
      jobs.map((j, i) =>
        job(i, {
          ...j,
          workCpuS: j.cpus * j.taskRunTimeS,
          finishBy: (j.dueMin * MIN) as WallClockMs,
          startBy: j.startMin === null ? null : ((j.startMin * MIN) as WallClockMs),
        }),
      ),
      a,
      {
        prices: [Float64Array.from(a), Float64Array.from(b)],
        teams: [
          { cpus: cpus[0], backlogCpuS: ahead, demandCpus: 0 },
          { cpus: cpus[1], backlogCpuS: 0, demandCpus: 0 },
        ],
        pool: { cpus: cpus[2], backlogCpuS: ahead, demandCpus: 0 },
      },
    ),
  );

test('every waiting job can still finish in time, alone and together with all others that wait', () => {
  let waiting = 0;
  fc.assert(
    fc.property(inputArb, (i) => {
      const made = decideReleases(i);
      assert.equal(made.length, i.jobs.length);
      const byId = new Map(i.jobs.map((j) => [j.id, j]));
      const waits = made.filter((d) => d.at > i.now);
      waiting += waits.length;
      for (const d of waits) {
        const j = byId.get(d.id);
        assert.ok(j !== undefined);
        assert.ok(
          d.at + (j.leadTimeS + j.taskRunTimeS + j.marginS) * 1000 <= j.finishBy + 1,
          `${d.id} too late`,
        );
        if (j.startBy !== null)
          assert.ok(d.at + j.leadTimeS * 1000 <= j.startBy + 1, `${d.id} starts too late`);
      }
      // Demand bound: what must be done by a time fits into what is there until then.
      for (const due of new Set(waits.map((d) => byId.get(d.id)?.finishBy ?? 0)))
        for (const [team, c] of [...i.teams.entries(), [-1, i.pool] as const]) {
          const work = waits
            .map((d) => byId.get(d.id) as DeferrableJob)
            .filter((j) => j.finishBy <= due && (team < 0 || j.team === team))
            .reduce((sum, j) => sum + j.workCpuS, 0);
          if (work > 0)
            assert.ok(work + c.backlogCpuS <= c.cpus * (due / 1000) + 1, `more than fits by ${due}`);
        }
    }),
    { numRuns: 1500, seed: 5 },
  );
  assert.ok(waiting > 2000, `${waiting} waits looked at`);
});

test('the decision does not depend on the order in which the jobs are known', () => {
  fc.assert(
    fc.property(inputArb, (i) => {
      const again = decideReleases({ ...i, jobs: [...i.jobs].reverse() });
      assert.deepEqual(again, decideReleases(i));
    }),
    { numRuns: 300, seed: 6 },
  );
});
