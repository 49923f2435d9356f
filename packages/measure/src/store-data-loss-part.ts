/**
 * One simulated loss of data of the key-value store: how soon it is noticed, how the state is rebuilt, what is lost and
 * what recovery costs.
 *
 * @module
 */
import { decodeSnapshot, encodeSnapshot } from '@spurbridge/snapshot';
import type { DataLoss } from '@spurbridge/testkit';
import {
  DAY_LENGTH_MS,
  DATA_LOSSES,
  InMemorySnapshotDirectory,
  World,
  ZONES,
  startGeneratedJobs,
  jobSpec,
  leaderOrFirst,
  injectDataLoss,
  machineType,
  smallWorld,
  injectRandomFault,
} from '@spurbridge/testkit';
import type { JobId } from '@spurbridge/wire';

/** Which replicas of the state are left besides the reports of the workers. */
export type Left = 'all nodes' | 'all but the leader' | 'a snapshot' | 'workers';

/** One simulated day with at most one loss. */
export interface LossPart {
  readonly machines: number;
  readonly loss: DataLoss | 'nothing';
  readonly left: Left;
  readonly seed: number;
  /** Generated small days of the tests' kind, from this seed on, instead of a large one. */
  readonly drawn?: boolean;
}

/** Figures of one day; times in milliseconds after the loss, null for what did not happen. */
export interface LossResult extends LossPart {
  readonly noticedMs: number | null;
  /** When a node trusts the key-value store again. */
  readonly soundMs: number | null;
  readonly firstStartMs: number | null;
  readonly writtenMs: number | null;
  readonly replicaTimeLost: number;
  readonly startsOfDone: number;
  readonly jobsLost: number;
  readonly rulesBroken: Readonly<Record<string, number>>;
  readonly requestsPerS: number;
  readonly changesPerS: number;
  readonly records: number;
  readonly copyBytes: number;
  readonly snapshot: {
    readonly bytes: number;
    readonly ratio: number;
    readonly ms: number;
    readonly bytesEach: number;
  };
}

/** Generated days that one part plays. */
export const GENERATED_DAYS_PER_PART = 40;

const LOSS_MS = 70_000;
const END_MS = 150_000;
const STEADY_MS = 20_000;
const STEP_MS = 20;
const AVAILABILITY_SAMPLE_MS = 250;
/** Limits of the key-value stores of the fleet sites. */
const STORE_LIMITS = { rps: 200, writeRps: 35, valueKb: 16, txnOps: 16 };
const TEAM_CPUS = 1e6;
const SNAPSHOT_MS = 30_000;
const INTEGRITY_CHANGED = 'store integrity changed';

/** Half of the fleet in services, and arrays that come and go, for a fleet of about so many machines. */
function largeWorld(part: LossPart, log: LossLog): World {
  const types = [machineType('m16', 16)];
  const team = (name: string) => ({ name, cpus: TEAM_CPUS, cpusMax: TEAM_CPUS, gpus: 0, gpusMax: 0 });
  const world = new World({
    seed: part.seed,
    teams: [team('red'), team('blue')],
    types,
    zones: ZONES,
    capacity: Math.ceil(part.machines / 6) + 4,
    leaseS: 22,
    cancelS: 42,
    userPollMs: 5000,
    storeLimits: STORE_LIMITS,
    log,
    ...(part.left === 'a snapshot'
      ? { snapshots: { folder: new InMemorySnapshotDirectory(), everyMs: SNAPSHOT_MS } }
      : {}),
  });
  let next = 0;
  const id = (): JobId => `wk-${String((next += 1)).padStart(6, '0')}` as JobId;
  const replicas = part.machines * 2;
  for (let n = 0; n < replicas; n += 16)
    world.time.after(n % 4000, () => {
      world.startUser(
        jobSpec({
          id: id(),
          kind: 'service',
          tasks: 16,
          cpus: 4,
          spot: false,
          spread: true,
          estimateS: 0,
          priority: 'production',
        }),
        null,
      );
    });
  const everyMs = 160_000 / part.machines + 800;
  for (let at = 8000; at < END_MS - 20_000; at += everyMs) {
    const cancelAt = world.random(8) === 0 ? at + 9000 + world.random(30_000) : null;
    const tasks = Math.min(32, 4 + Math.floor(part.machines / 40));
    world.time.after(at, () => {
      world.startUser(
        jobSpec({ id: id(), team: 'blue', tasks, cpus: 2, estimateS: 12, imageGb: 0.5 }),
        cancelAt,
      );
    });
  }
  return world;
}

/** A logger that keeps when each message came first and last after the loss, in milliseconds after it. */
class LossLog {
  readonly firstMs = new Map<string, number>();
  readonly lastMs = new Map<string, number>();
  world: World | null = null;

  info(fields: object, message: string): void {
    const now = this.world?.time.now ?? 0;
    if (now < LOSS_MS) return;
    const { to } = fields as { to?: unknown };
    const key = message === INTEGRITY_CHANGED ? `${message} ${String(to)}` : message;
    if (!this.firstMs.has(key)) this.firstMs.set(key, now - LOSS_MS);
    this.lastMs.set(key, now - LOSS_MS);
  }

  readonly debug = (): void => undefined;
  readonly error = (): void => undefined;
}

/** Samples how many replicas of services are missing after the loss. */
class ReplicaSampler {
  private missing = 0;
  private wanted = 0;

  constructor(private readonly world: World) {}

  readonly sample = (): void => {
    const { checker, time } = this.world;
    if (time.now >= LOSS_MS) {
      const services = [...checker.submitted.values()].filter((job) => job.kind === 'service');
      const tasks = services.reduce((sum, job) => sum + job.tasks, 0);
      this.wanted += tasks;
      this.missing += Math.max(0, tasks - checker.runningTasksOfKind('service'));
    }
    time.after(AVAILABILITY_SAMPLE_MS, this.sample);
  };

  /** Lost share of the time of all replicas. */
  lostShare(): number {
    return Number((this.missing / Math.max(1, this.wanted)).toFixed(5));
  }
}

function scheduleLoss(world: World, part: LossPart): void {
  if (part.loss !== 'nothing') injectDataLoss(world, part.loss, LOSS_MS);
  if (part.left === 'all nodes') return;
  world.time.after(LOSS_MS + 1, () => {
    if (part.left === 'all but the leader') world.crash(leaderOrFirst(world));
    else for (let i = 0; i < 3; i += 1) world.crash(i);
  });
}

/** Runs until the loss; requests and mutations a second of the key-value store in steady work before it. */
async function runUntilLoss(world: World): Promise<Pick<LossResult, 'requestsPerS' | 'changesPerS'>> {
  const { store } = world;
  await world.runUntil(LOSS_MS - STEADY_MS);
  const before = { requests: store.requests, mutations: store.mutations };
  await world.runUntil(LOSS_MS);
  const steadyS = STEADY_MS / 1000;
  return {
    requestsPerS: Number(((store.requests - before.requests) / steadyS).toFixed(1)),
    changesPerS: Number(((store.mutations - before.mutations) / steadyS).toFixed(1)),
  };
}

/** Size of the replica of the first node, and the size and the cost of a snapshot of it. */
function measureReplica(world: World): Pick<LossResult, 'records' | 'copyBytes' | 'snapshot'> {
  const replica = world.nodes[0]?.recoverableStore.replicaSnapshot();
  const began = performance.now();
  const bytes = encodeSnapshot(
    {
      deployment: 'measured',
      epoch: replica?.epoch.number ?? 1,
      revision: replica?.revision ?? (0 as never),
      takenAt: 0,
    },
    replica?.replica.entries() ?? [],
  );
  const encodeMs = performance.now() - began;
  const snapshot = decodeSnapshot(bytes);
  return {
    records: replica?.replica.size ?? 0,
    copyBytes: replica?.replica.sizeInBytes() ?? 0,
    snapshot: {
      bytes: bytes.length,
      ratio: Number((snapshot.plainBytes / bytes.length).toFixed(1)),
      ms: Number(encodeMs.toFixed(1)),
      bytesEach: Number((bytes.length / Math.max(1, snapshot.records)).toFixed(1)),
    },
  };
}

/** Runs to the end of the day; milliseconds from the loss to the first start that a ready leader made, or null. */
async function runUntilEnd(world: World, part: LossPart, log: LossLog): Promise<number | null> {
  const { checker } = world;
  const startsBefore = checker.starts;
  let firstStartMs: number | null = null;
  while (world.time.now < END_MS) {
    await world.runUntil(world.time.now + STEP_MS);
    if (firstStartMs !== null) continue;
    // Tasks that fetched their images before the loss start without the rebuilt cluster; these do not count.
    const isTrusted = part.loss === 'nothing' || log.firstMs.has(`${INTEGRITY_CHANGED} trusted`);
    if (isTrusted && log.firstMs.has('leader ready') && checker.starts > startsBefore)
      firstStartMs = world.time.now - LOSS_MS;
  }
  return firstStartMs;
}

async function playLoss(part: LossPart): Promise<LossResult> {
  const log = new LossLog();
  const world = largeWorld(part, log);
  log.world = world;
  const { checker } = world;
  scheduleLoss(world, part);
  const replicas = new ReplicaSampler(world);
  replicas.sample();
  const rates = await runUntilLoss(world);
  const replica = measureReplica(world);
  const startsOfDoneBefore = checker.startsOfCompletedTasks;
  const firstStartMs = await runUntilEnd(world, part, log);
  const rulesBroken: Record<string, number> = {};
  for (const { rule } of checker.violations) rulesBroken[rule] = (rulesBroken[rule] ?? 0) + 1;
  const lost = checker.violations.filter(({ rule }) => rule === 'forgotten' || rule === 'went_back');
  return {
    ...part,
    noticedMs: round(log.firstMs.get(`${INTEGRITY_CHANGED} suspect`)),
    soundMs: round(log.firstMs.get(`${INTEGRITY_CHANGED} trusted`)),
    firstStartMs: round(firstStartMs ?? undefined),
    writtenMs: round(log.lastMs.get('all written back')),
    replicaTimeLost: replicas.lostShare(),
    startsOfDone: checker.startsOfCompletedTasks - startsOfDoneBefore,
    jobsLost: new Set(lost.map(({ what }) => /wk-\d+/.exec(what)?.[0])).size,
    rulesBroken,
    ...rates,
    ...replica,
  };
}

function round(ms: number | undefined): number | null {
  return ms === undefined ? null : Math.round(ms);
}

/** Small days in which losses are combined with all other faults: broken rules, by name. */
async function playGeneratedDays(part: LossPart): Promise<Readonly<Record<string, number>>> {
  const broken: Record<string, number> = { days: 0, starts: 0 };
  for (let seed = part.seed; seed < part.seed + GENERATED_DAYS_PER_PART; seed += 1) {
    const world = smallWorld(seed);
    const at = 25_000 + world.random(70_000);
    injectDataLoss(world, DATA_LOSSES[seed % DATA_LOSSES.length] ?? 'emptied', at);
    if (seed % 3 === 0) injectDataLoss(world, 'emptied', at + 3000 + world.random(20_000));
    for (let i = 0; i < 1 + (seed % 3); i += 1) injectRandomFault(world, false);
    startGeneratedJobs(world);
    await world.runUntil(DAY_LENGTH_MS);
    broken['days'] = (broken['days'] ?? 0) + 1;
    broken['starts'] = (broken['starts'] ?? 0) + world.checker.starts;
    for (const { rule } of world.checker.violations) broken[rule] = (broken[rule] ?? 0) + 1;
  }
  return broken;
}

/** Plays one part: a large day with its figures, or generated small days with their broken rules. */
export async function storeDataLossPart(
  part: LossPart,
): Promise<LossResult | Readonly<Record<string, number>>> {
  return part.drawn === true ? playGeneratedDays(part) : playLoss(part);
}
