import assert from 'node:assert/strict';
import { test } from 'node:test';
import type { WallClockMs } from '@spurbridge/model';
import type { JobId } from '@spurbridge/wire';
import fc from 'fast-check';
import type { ReleaseInput, DeferrableJob } from '../src/index.js';
import { decideReleases } from '../src/index.js';

const MIN = 60_000;

function job(n: number, overrides: Partial<DeferrableJob> = {}): DeferrableJob {
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
    ...overrides,
  };
}

function input(
  jobs: readonly DeferrableJob[],
  prices: readonly number[],
  overrides: Partial<ReleaseInput> = {},
): ReleaseInput {
  return {
    now: 0 as WallClockMs,
    jobs,
    teams: [{ cpus: 100, backlogCpuS: 0, demandCpus: 0 }],
    pool: { cpus: 100, backlogCpuS: 0, demandCpus: 0 },
    // Each price applies for ten minutes.
    starts: prices.map((_, i) => (i * 10 * MIN) as WallClockMs),
    until: (prices.length * 10 * MIN) as WallClockMs,
    prices: [Float64Array.from(prices)],
    minSaving: 0.05,
    ...overrides,
  };
}

const CHEAP_AT_30 = [3, 3, 3, 1, 1, 3, 3];

/** The decision about the first job. */
function firstDecision(releaseInput: ReleaseInput) {
  const [decision] = decideReleases(releaseInput);
  assert.ok(decision !== undefined);
  return decision;
}

test('a deferred job is released before the cheap window by its lead time for boot and image fetch', () => {
  assert.deepEqual(firstDecision(input([job(1)], CHEAP_AT_30)).at, 30 * MIN);
  const early = firstDecision(input([job(1, { leadTimeS: 90 })], CHEAP_AT_30));
  assert.deepEqual([early.at, early.reason], [28.5 * MIN, 'cheaper']);
});

test('a job is released immediately when no cheaper moment is safe or saves enough', () => {
  const late = firstDecision(input([job(1, { finishBy: (30.4 * MIN) as WallClockMs })], CHEAP_AT_30));
  assert.deepEqual([late.at, late.reason], [0, 'latest']);
  const startLimited = firstDecision(input([job(1, { startBy: (29 * MIN) as WallClockMs })], CHEAP_AT_30));
  assert.deepEqual([startLimited.at, startLimited.reason], [0, 'latest']);
  const margin = firstDecision(input([job(1, { marginS: 1800 - 29 })], CHEAP_AT_30));
  assert.equal(margin.at, 0);
  assert.equal(firstDecision(input([job(1)], [3, 3, 2.9, 2.9])).reason, 'no-saving');
  assert.equal(firstDecision(input([job(1)], [1, 1, 3, 3])).reason, 'cheapest');
  const noCapacity = firstDecision(
    input([job(1)], CHEAP_AT_30, { pool: { cpus: 0, backlogCpuS: 0, demandCpus: 0 } }),
  );
  assert.deepEqual([noCapacity.at, noCapacity.reason], [0, 'no-room']);
});

test('jobs fill the cheap window up to its capacity, and the others are released at other times', () => {
  // The window lasts 20 minutes and the team has 4 CPUs, which is enough for 40 jobs.
  const jobs = Array.from({ length: 60 }, (_, i) =>
    job(i, { finishBy: ((50 + i / 10) * MIN) as WallClockMs }),
  );
  const limitedTeam = {
    teams: [{ cpus: 4, backlogCpuS: 0, demandCpus: 0 }],
    pool: { cpus: 100, backlogCpuS: 0, demandCpus: 0 },
  };
  const decisions = decideReleases(input(jobs, CHEAP_AT_30, limitedTeam));
  const inWindow = decisions.filter((d) => d.at >= 30 * MIN && d.at < 50 * MIN);
  assert.ok(inWindow.length >= 38 && inWindow.length <= 41, `${inWindow.length}`);
  // The releases are spread over the window.
  assert.ok(new Set(inWindow.map((d) => d.at)).size >= 10);
  for (const d of decisions) assert.ok(d.at <= 50 * MIN);
});

test("capacity used by a team's other work is not available to deferred jobs", () => {
  const busy = {
    teams: [{ cpus: 4, backlogCpuS: 4 * 3000, demandCpus: 0 }],
    pool: { cpus: 100, backlogCpuS: 0, demandCpus: 0 },
  };
  const d = firstDecision(input([job(1, { finishBy: (45 * MIN) as WallClockMs })], CHEAP_AT_30, busy));
  assert.deepEqual([d.at, d.reason], [0, 'no-room']);
  // A smaller backlog ends within the window. A job that waits for the window continues to wait. A new job saves
  // nothing by waiting, because it would queue behind the backlog anyway.
  const smallerBacklog = { teams: [{ cpus: 4, backlogCpuS: 4 * 2000, demandCpus: 0 }] };
  const d2 = firstDecision(input([job(1, { deferred: true })], CHEAP_AT_30, smallerBacklog));
  assert.ok(d2.at >= 33 * MIN && d2.at < 50 * MIN, `${d2.at / MIN}`);
  assert.equal(firstDecision(input([job(1)], CHEAP_AT_30, smallerBacklog)).reason, 'no-saving');
});

test('while released work uses all the capacity, due jobs and the new jobs behind them are delayed', () => {
  const busyTeam = { cpus: 8, backlogCpuS: 100, demandCpus: 6 };
  const crowded = input([job(1, { deferred: true, finishBy: (5 * MIN) as WallClockMs }), job(2)], [1, 1, 1], {
    teams: [busyTeam],
  });
  for (const d of decideReleases(crowded)) assert.deepEqual([d.at, d.reason], [1000, 'turn']);
  // A new job is released immediately when no job is waiting.
  assert.equal(firstDecision({ ...crowded, jobs: [job(2)] }).at, 0);
  // A job that cannot finish in time after another delay is released despite the lack of free capacity.
  const hurried = job(1, { deferred: true, taskRunTimeS: 30, workCpuS: 4, finishBy: 30_500 as WallClockMs });
  const d = firstDecision({ ...crowded, jobs: [hurried] });
  assert.equal(d.at, 0);
  // With free capacity, the next job is released immediately.
  assert.equal(firstDecision({ ...crowded, teams: [{ ...busyTeam, demandCpus: 4 }] }).at, 0);
});

test('a job waits until its latest safe release if no price is known, and an unknown price does not count as cheap', () => {
  const blind = firstDecision(input([job(1)], [NaN, NaN, NaN, NaN, NaN, NaN]));
  assert.equal(blind.reason, 'blind');
  assert.ok(blind.at > 50 * MIN && blind.at <= 59.5 * MIN, `${blind.at / MIN}`);
  assert.equal(firstDecision(input([job(1)], [2, 2, NaN, NaN, 1, NaN])).at, 40 * MIN);
  assert.equal(firstDecision(input([job(1)], [1, 2, NaN, NaN, NaN, NaN])).at, 0);
});

const jobsArbitrary = fc.array(
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
const inputArbitrary = fc
  .record({
    jobs: jobsArbitrary,
    a: fc.array(fc.oneof(fc.integer({ min: -3, max: 9 }), fc.constant(NaN)), {
      minLength: 12,
      maxLength: 12,
    }),
    b: fc.array(fc.integer({ min: 0, max: 9 }), { minLength: 12, maxLength: 12 }),
    cpus: fc.tuple(fc.nat({ max: 40 }), fc.nat({ max: 40 }), fc.nat({ max: 60 })),
    backlogCpuS: fc.nat({ max: 20_000 }),
  })
  .map(({ jobs, a, b, cpus, backlogCpuS }) =>
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
          { cpus: cpus[0], backlogCpuS, demandCpus: 0 },
          { cpus: cpus[1], backlogCpuS: 0, demandCpus: 0 },
        ],
        pool: { cpus: cpus[2], backlogCpuS, demandCpus: 0 },
      },
    ),
  );

test('every deferred job can finish in time, alone and together with all other deferred jobs', () => {
  let waitCount = 0;
  fc.assert(
    fc.property(inputArbitrary, (i) => {
      const decisions = decideReleases(i);
      assert.equal(decisions.length, i.jobs.length);
      const byId = new Map(i.jobs.map((j) => [j.id, j]));
      const waits = decisions.filter((d) => d.at > i.now);
      waitCount += waits.length;
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
      // Demand bound: the work due by a time fits into the capacity available until then.
      for (const due of new Set(waits.map((d) => byId.get(d.id)?.finishBy ?? 0)))
        for (const [team, c] of [...i.teams.entries(), [-1, i.pool] as const]) {
          const work = waits
            .map((d) => byId.get(d.id) as DeferrableJob)
            .filter((j) => j.finishBy <= due && (team < 0 || j.team === team))
            .reduce((sum, j) => sum + j.workCpuS, 0);
          if (work > 0)
            assert.ok(
              work + c.backlogCpuS <= c.cpus * (due / 1000) + 1,
              `the work due by ${due} exceeds the capacity`,
            );
        }
    }),
    { numRuns: 1500, seed: 5 },
  );
  assert.ok(waitCount > 2000, `${waitCount} waits checked`);
});

test('release decisions do not depend on the order of the jobs in the input', () => {
  fc.assert(
    fc.property(inputArbitrary, (i) => {
      const reversed = decideReleases({ ...i, jobs: [...i.jobs].reverse() });
      assert.deepEqual(reversed, decideReleases(i));
    }),
    { numRuns: 300, seed: 6 },
  );
});
