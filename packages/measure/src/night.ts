import type { Logger } from '@spurbridge/controller';
import type { TariffOptions } from '@spurbridge/tariff';
import { DEFAULT_TARIFF_OPTIONS, deferralControllerFactory } from '@spurbridge/tariff';
import { SimTariffFeed, World, ZONES, jobSpec, machineType } from '@spurbridge/testkit';
import type { JobId, JobSpec, TariffDocument } from '@spurbridge/wire';

/** A night of three hours, standing for one of twelve: everything in it is four times as fast. */
export const NIGHT_MS = 10_800_000;
const CHEAP_FROM_MS = 5_400_000;
const CHEAP_UNTIL_MS = 9_000_000;
/** What the closing of the cheap window is moved to, announced while jobs wait for it. */
const CLOSES_EARLY_MS = 8_400_000;
const ANNOUNCED_MS = 7_500_000;
const WALL_START = Date.UTC(2026, 11, 1, 20, 0, 0);
const TYPES = [machineType('m16', 16), machineType('l32', 32)];
const TEAMS = [
  { name: 'red', cpus: 260, cpusMax: 400, gpus: 0, gpusMax: 0 },
  { name: 'blue', cpus: 120, cpusMax: 240, gpus: 0, gpusMax: 0 },
];

export interface NightOptions {
  readonly seed: number;
  readonly jobs: number;
  readonly deferral: boolean;
  readonly log?: Logger;
}

export interface JobEnd {
  readonly id: JobId;
  readonly deferrable: boolean;
  readonly met: boolean;
}

export interface NightResult {
  readonly ends: readonly JobEnd[];
  /** Cost of all that ran of deferrable work, and of everything. */
  readonly deferrableCost: number;
  readonly cost: number;
  /** Seconds from submission to start, of services and urgent tasks. */
  readonly urgentWaitsS: readonly number[];
  readonly broken: number;
  readonly feedRequests: number;
}

/** What a CPU second costs at that time: the truth, whatever the feed said. */
export function priceAt(ms: number): number {
  if (ms < 2_700_000) return 0.3;
  if (ms < CHEAP_FROM_MS) return 0.2;
  if (ms < CLOSES_EARLY_MS) return 0.08;
  return 0.25;
}

function tariff(revision: number, cheapUntilMs: number, issuedMs: number): TariffDocument {
  const at = (ms: number): number => WALL_START + ms;
  const slot = (from: number, until: number, price: number) => ({
    from: at(from),
    until: at(until),
    price,
    carbon: price * 1000,
    zones: null,
  });
  return {
    revision,
    timeZone: 'Europe/Riga',
    issuedAt: at(issuedMs),
    validUntil: at(NIGHT_MS + 3_600_000),
    nextUpdateS: 120,
    base: { price: 0.2, carbon: 200 },
    windows: [],
    holidays: [],
    slots: [
      slot(0, 2_700_000, 0.3),
      slot(2_700_000, CHEAP_FROM_MS, 0.2),
      slot(CHEAP_FROM_MS, cheapUntilMs, 0.08),
      slot(cheapUntilMs, NIGHT_MS + 3_600_000, 0.25),
    ],
  };
}

/** One night with or without deferral: the same jobs, the same troubles. */
export async function playNight(o: NightOptions): Promise<NightResult> {
  const options: TariffOptions = { ...DEFAULT_TARIFF_OPTIONS, classes: ['rerun'] };
  let feed: SimTariffFeed | null = null;
  const w = new World({
    seed: o.seed,
    teams: TEAMS,
    types: TYPES,
    zones: ZONES,
    capacity: 4,
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 250, writeRps: 50, valueKb: 16, txnOps: 12 },
    wallClockStartMs: WALL_START,
    userPollMs: 60_000,
    ...(o.log === undefined ? {} : { log: o.log }),
    // For a third of the night every estimate is too short by half: the reruns overrun the window.
    taskRunMs: (job, task) => {
      const overrun = job.class === 'rerun' && Number(job.id.slice(3)) % 3 === 0 ? 2 : 1;
      return job.estimateS * overrun * (700 + ((task * 7919 + Number(job.id.slice(3)) * 31) % 600));
    },
    leaderComponents: (host, network) => {
      if (!o.deferral) return [];
      feed ??= new SimTariffFeed(network);
      return [
        deferralControllerFactory({
          ...options,
          feed: { source: feed.source(host), seed: o.seed, silentS: 1800 },
        }),
      ];
    },
  });
  const published = (): SimTariffFeed => (feed ??= new SimTariffFeed(w.network));
  published().publish(tariff(1, CHEAP_UNTIL_MS, 0));
  w.time.after(3_000_000, () => (published().isSilent = true));
  w.time.after(4_200_000, () => (published().isSilent = false));
  w.time.after(5_300_000, () => (published().isSilent = true));
  w.time.after(5_700_000, () => (published().isSilent = false));
  w.time.after(ANNOUNCED_MS, () => {
    published().publish(tariff(2, CLOSES_EARLY_MS, ANNOUNCED_MS));
  });
  // A takeover with hundreds of jobs waiting, and machines lost in the window.
  w.time.after(4_500_000, () => {
    for (let i = 0; i < 3; i += 1)
      if (w.nodes[i]?.controller.leadership.holdsValidLease() === true) w.crash(i);
  });
  w.time.after(6_500_000, () => {
    for (const x of [...w.workers.values()].filter((x) => x.alive).slice(0, 2)) x.die();
  });

  const submittedAt = new Map<JobId, number>();
  const doneAt = new Map<JobId, number>();
  const left = new Map<JobId, number>();
  const submit = (at: number, spec: JobSpec, cancelAt: number | null): void => {
    w.time.after(at, () => {
      submittedAt.set(spec.id, w.time.now);
      left.set(spec.id, spec.tasks);
      w.startUser(spec, cancelAt);
    });
  };
  let jobs = 0;
  const id = (): JobId => `wk-${String(jobs++).padStart(6, '0')}` as JobId;
  for (let i = 0; i < o.jobs; i += 1) {
    const at = 60_000 + w.random(5_400_000);
    const latest = 10_200_000 - at;
    submit(
      at,
      jobSpec({
        id: id(),
        class: 'rerun',
        tasks: 2 + w.random(5),
        cpus: 2,
        memoryGb: 4,
        estimateS: 15 + w.random(30),
        image: `img-${w.random(6)}`,
        imageGb: 1,
        deadlineS: Math.round((1_500_000 + w.random(latest - 1_500_000)) / 1000),
      }),
      null,
    );
  }
  for (let at = 5000; at < NIGHT_MS - 600_000; at += 5000 + w.random(5000))
    submit(
      at,
      jobSpec({
        id: id(),
        class: 'urgent',
        team: 'blue',
        priority: 'high',
        tasks: 1 + w.random(6),
        cpus: 2,
        memoryGb: 4,
        estimateS: 10 + w.random(10),
        image: `img-${w.random(3)}`,
      }),
      null,
    );
  for (let i = 0; i < 60; i += 1) {
    const at = w.random(NIGHT_MS - 1_200_000);
    submit(
      at,
      jobSpec({
        id: id(),
        class: 'portal',
        team: 'blue',
        kind: 'service',
        priority: 'production',
        tasks: 1 + w.random(3),
        cpus: 1,
        estimateS: 0,
        spot: false,
        spread: true,
        image: `srv-${w.random(3)}`,
      }),
      at + 600_000 + w.random(3_000_000),
    );
  }
  let deferrableCost = 0;
  let cost = 0;
  const waits = new Map<string, number>();
  w.checker.onRunEnded = (run) => {
    let spent = 0;
    // Pieces of a second are fine enough for windows of minutes.
    for (let ms = run.sinceMs; ms < run.untilMs; ms += 1000)
      spent += run.job.cpus * (Math.min(1000, run.untilMs - ms) / 1000) * priceAt(ms);
    cost += spent;
    if (run.job.class === 'rerun') deferrableCost += spent;
    const name = `${run.job.id}/${run.task}`;
    if (run.job.priority !== 'normal' && !waits.has(name))
      waits.set(name, (run.sinceMs - (submittedAt.get(run.job.id) ?? 0)) / 1000);
    if (!run.done) return;
    const rest = (left.get(run.job.id) ?? 0) - 1;
    left.set(run.job.id, rest);
    if (rest === 0) doneAt.set(run.job.id, run.untilMs);
  };
  await w.runUntil(NIGHT_MS + 600_000);
  const ends: JobEnd[] = [];
  for (const spec of w.checker.submitted.values()) {
    if (spec.deadlineS === null) continue;
    const end = doneAt.get(spec.id) ?? Infinity;
    const by = (submittedAt.get(spec.id) ?? 0) + spec.deadlineS * 1000;
    ends.push({ id: spec.id, deferrable: spec.class === 'rerun', met: end <= by });
  }
  return {
    ends,
    deferrableCost,
    cost,
    urgentWaitsS: [...waits.values()],
    broken: w.checker.violations.length,
    feedRequests: published().requests,
  };
}
