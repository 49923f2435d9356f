/**
 * One simulated data loss of the key-value store: the times of its detection and recovery, the lost work, and the cost
 * of recovery.
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

/** The replicas of the state that survive a loss, besides the heartbeats of the workers. */
export type SurvivingReplicas = 'all nodes' | 'all but the leader' | 'a snapshot' | 'workers';

/** One simulated day with at most one loss. */
export interface LossPart {
  readonly machines: number;
  readonly loss: DataLoss | 'nothing';
  readonly left: SurvivingReplicas;
  readonly seed: number;
  /** Whether to run generated small days like those of the tests, from this seed on, instead of a large day. */
  readonly drawn?: boolean;
}

/** Results of one day. Times are in milliseconds after the loss; null for events that did not happen. */
export interface LossResult extends LossPart {
  readonly noticedMs: number | null;
  /** Time at which a node trusts the key-value store again. */
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

/** Number of generated days that one part simulates. */
export const GENERATED_DAYS_PER_PART = 40;

const LOSS_AT_MS = 70_000;
const DAY_END_MS = 150_000;
const STEADY_MS = 20_000;
const SIMULATION_STEP_MS = 20;
const AVAILABILITY_SAMPLE_MS = 250;
/** Limits of the key-value stores of the fleet sites. */
const STORE_LIMITS = { rps: 200, writeRps: 35, valueKb: 16, txnOps: 16 };
const TEAM_CPUS = 1e6;
const SNAPSHOT_INTERVAL_MS = 30_000;
const INTEGRITY_CHANGED_MESSAGE = 'store integrity changed';

/** Creates a fleet of about this number of machines, with services on half of it and arriving job arrays. */
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
      ? { snapshots: { directory: new InMemorySnapshotDirectory(), intervalMs: SNAPSHOT_INTERVAL_MS } }
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
  for (let at = 8000; at < DAY_END_MS - 20_000; at += everyMs) {
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

/** A logger that records the times of the first and last occurrence of each message, in milliseconds after the loss. */
class LossLog {
  readonly firstMs = new Map<string, number>();
  readonly lastMs = new Map<string, number>();
  world: World | null = null;

  info(fields: object, message: string): void {
    const now = this.world?.time.now ?? 0;
    if (now < LOSS_AT_MS) return;
    const { to } = fields as { to?: unknown };
    const key = message === INTEGRITY_CHANGED_MESSAGE ? `${message} ${String(to)}` : message;
    if (!this.firstMs.has(key)) this.firstMs.set(key, now - LOSS_AT_MS);
    this.lastMs.set(key, now - LOSS_AT_MS);
  }

  readonly debug = (): void => undefined;
  readonly error = (): void => undefined;
}

/** Samples the number of service replicas that are missing after the loss. */
class ReplicaSampler {
  private missing = 0;
  private expected = 0;

  constructor(private readonly world: World) {}

  readonly sample = (): void => {
    const { checker, time } = this.world;
    if (time.now >= LOSS_AT_MS) {
      const services = [...checker.submitted.values()].filter((job) => job.kind === 'service');
      const tasks = services.reduce((sum, job) => sum + job.tasks, 0);
      this.expected += tasks;
      this.missing += Math.max(0, tasks - checker.runningTasksOfKind('service'));
    }
    time.after(AVAILABILITY_SAMPLE_MS, this.sample);
  };

  /** Share of the replicas' total time that was lost. */
  lostShare(): number {
    return Number((this.missing / Math.max(1, this.expected)).toFixed(5));
  }
}

function scheduleLoss(world: World, part: LossPart): void {
  if (part.loss !== 'nothing') injectDataLoss(world, part.loss, LOSS_AT_MS);
  if (part.left === 'all nodes') return;
  world.time.after(LOSS_AT_MS + 1, () => {
    if (part.left === 'all but the leader') world.crash(leaderOrFirst(world));
    else for (let i = 0; i < 3; i += 1) world.crash(i);
  });
}

/** Runs until the loss. Returns the key-value store's requests and mutations per second under steady load before it. */
async function runUntilLoss(world: World): Promise<Pick<LossResult, 'requestsPerS' | 'changesPerS'>> {
  const { store } = world;
  await world.runUntil(LOSS_AT_MS - STEADY_MS);
  const before = { requests: store.requests, mutations: store.mutations };
  await world.runUntil(LOSS_AT_MS);
  const steadyS = STEADY_MS / 1000;
  return {
    requestsPerS: Number(((store.requests - before.requests) / steadyS).toFixed(1)),
    changesPerS: Number(((store.mutations - before.mutations) / steadyS).toFixed(1)),
  };
}

/** Returns the size of the first node's replica, and the size and the encoding time of a snapshot of it. */
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

/** Runs until the end of the day. Returns the milliseconds from the loss to the first start by a ready leader, or null. */
async function runUntilEnd(world: World, part: LossPart, log: LossLog): Promise<number | null> {
  const { checker } = world;
  const startsBefore = checker.starts;
  let firstStartMs: number | null = null;
  while (world.time.now < DAY_END_MS) {
    await world.runUntil(world.time.now + SIMULATION_STEP_MS);
    if (firstStartMs !== null) continue;
    // Tasks that fetched their images before the loss can start before the recovery; these starts do not count.
    const isTrusted = part.loss === 'nothing' || log.firstMs.has(`${INTEGRITY_CHANGED_MESSAGE} trusted`);
    if (isTrusted && log.firstMs.has('leader ready') && checker.starts > startsBefore)
      firstStartMs = world.time.now - LOSS_AT_MS;
  }
  return firstStartMs;
}

async function simulateLoss(part: LossPart): Promise<LossResult> {
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
    noticedMs: round(log.firstMs.get(`${INTEGRITY_CHANGED_MESSAGE} suspect`)),
    soundMs: round(log.firstMs.get(`${INTEGRITY_CHANGED_MESSAGE} trusted`)),
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

/** Simulates small days with losses and all other faults. Returns the number of rule violations by rule. */
async function simulateGeneratedDays(part: LossPart): Promise<Readonly<Record<string, number>>> {
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

/** Simulates one part: either a large day with its results, or generated small days with their rule violations. */
export async function storeDataLossPart(
  part: LossPart,
): Promise<LossResult | Readonly<Record<string, number>>> {
  return part.drawn === true ? simulateGeneratedDays(part) : simulateLoss(part);
}
