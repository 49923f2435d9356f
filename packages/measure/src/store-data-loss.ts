import { DDSketch } from '@datadog/sketches-js';
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
import { parallel } from './parallel.js';

/** Which memory is left besides the workers'. */
type Left = 'all nodes' | 'all but the leader' | 'a snapshot' | 'workers';

export interface LossPart {
  readonly machines: number;
  readonly loss: DataLoss | 'nothing';
  readonly left: Left;
  readonly seed: number;
  /** A drawn small day of the tests' kind instead of a large one. */
  readonly drawn?: boolean;
}

interface LossResult extends LossPart {
  readonly noticedMs: number | null;
  /** A node trusts the state service again. */
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

const SIZES = [100, 800, 3200] as const;
const LOSS_MS = 70_000;
const END_MS = 150_000;
/** What the fleet sites' state services take. */
const STATE = { rps: 200, writeRps: 35, valueKb: 16, txnOps: 16 };
const TEAM_CPUS = 1e6;
const SNAPSHOT_MS = 30_000;

/** Half of the fleet in services, and arrays that come and go, for a fleet of about so many machines. */
function largeWorld(part: LossPart, log: Log): World {
  const types = [machineType('m16', 16)];
  const team = (name: string) => ({ name, cpus: TEAM_CPUS, cpusMax: TEAM_CPUS, gpus: 0, gpusMax: 0 });
  const w = new World({
    seed: part.seed,
    teams: [team('red'), team('blue')],
    types,
    zones: ZONES,
    capacity: Math.ceil(part.machines / 6) + 4,
    leaseS: 22,
    cancelS: 42,
    userPollMs: 5000,
    storeLimits: STATE,
    log,
    ...(part.left === 'a snapshot'
      ? { snapshots: { folder: new InMemorySnapshotDirectory(), everyMs: SNAPSHOT_MS } }
      : {}),
  });
  let next = 0;
  const id = (): JobId => `wk-${String((next += 1)).padStart(6, '0')}` as JobId;
  const replicas = part.machines * 2;
  for (let n = 0; n < replicas; n += 16)
    w.time.after(n % 4000, () => {
      w.startUser(
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
    const cancelAt = w.random(8) === 0 ? at + 9000 + w.random(30_000) : null;
    const tasks = Math.min(32, 4 + Math.floor(part.machines / 40));
    w.time.after(at, () => {
      w.startUser(jobSpec({ id: id(), team: 'blue', tasks, cpus: 2, estimateS: 12, imageGb: 0.5 }), cancelAt);
    });
  }
  return w;
}

/** When what was logged first after the loss, in milliseconds after it. */
class Log {
  readonly seen = new Map<string, number>();
  w: World | null = null;

  info(fields: object, message: string): void {
    const now = this.w?.time.now ?? 0;
    if (now < LOSS_MS) return;
    const f = fields as { to?: unknown };
    const key = message === 'store integrity changed' ? `${message} ${String(f.to)}` : message;
    if (!this.seen.has(key) || message === 'store integrity changed')
      this.seen.set(key, this.seen.get(key) ?? now - LOSS_MS);
    this.last.set(key, now - LOSS_MS);
  }

  readonly last = new Map<string, number>();
  readonly debug = (): void => undefined;
  readonly error = (): void => undefined;
}

export async function storeDataLossPart(
  part: LossPart,
): Promise<LossResult | Readonly<Record<string, number>>> {
  if (part.drawn === true) return drawnDay(part);
  const log = new Log();
  const w = largeWorld(part, log);
  log.w = w;
  const { store: state, checker } = w;
  if (part.loss !== 'nothing') injectDataLoss(w, part.loss, LOSS_MS);
  if (part.left !== 'all nodes')
    w.time.after(LOSS_MS + 1, () => {
      if (part.left === 'all but the leader') w.crash(leaderOrFirst(w));
      else for (let i = 0; i < 3; i += 1) w.crash(i);
    });
  let missing = 0;
  let wanted = 0;
  const count = (): void => {
    if (w.time.now >= LOSS_MS) {
      const services = [...checker.submitted.values()].filter((s) => s.kind === 'service');
      const tasks = services.reduce((sum, s) => sum + s.tasks, 0);
      wanted += tasks;
      missing += Math.max(0, tasks - checker.runningTasksOfKind('service'));
    }
    w.time.after(250, count);
  };
  count();
  await w.runUntil(LOSS_MS - 20_000);
  const before = { requests: state.requests, changes: state.mutations };
  await w.runUntil(LOSS_MS);
  const standing = {
    requests: (state.requests - before.requests) / 20,
    changes: (state.mutations - before.changes) / 20,
  };
  const copies = w.nodes[0]?.recoverableStore.replicaSnapshot();
  const began = performance.now();
  const bytes = encodeSnapshot(
    {
      deployment: 'measured',
      epoch: copies?.epoch.number ?? 1,
      revision: copies?.revision ?? (0 as never),
      takenAt: 0,
    },
    copies?.replica.entries() ?? [],
  );
  const snapshotMs = performance.now() - began;
  const snapshot = decodeSnapshot(bytes);
  const copyBytes = copies?.replica.sizeInBytes() ?? 0;
  const starts = checker.starts;
  const { startsOfCompletedTasks: startsOfDone } = checker;
  let firstStartMs: number | null = null;
  while (w.time.now < END_MS) {
    await w.runUntil(w.time.now + 20);
    // What began to fetch its image before is no start of the rebuilt cluster's own.
    const soundAt = log.seen.get('store integrity changed trusted');
    if (
      firstStartMs === null &&
      (part.loss === 'nothing' || soundAt !== undefined) &&
      log.seen.has('leader ready')
    )
      if (checker.starts > starts) firstStartMs = w.time.now - LOSS_MS;
  }
  const rulesBroken: Record<string, number> = {};
  for (const b of checker.violations) rulesBroken[b.rule] = (rulesBroken[b.rule] ?? 0) + 1;
  const lost = checker.violations.filter((b) => b.rule === 'forgotten' || b.rule === 'went_back');
  return {
    ...part,
    noticedMs: round(log.seen.get('store integrity changed suspect')),
    soundMs: round(log.seen.get('store integrity changed trusted')),
    firstStartMs: round(firstStartMs ?? undefined),
    writtenMs: round(log.last.get('all written back')),
    replicaTimeLost: Number((missing / Math.max(1, wanted)).toFixed(5)),
    startsOfDone: checker.startsOfCompletedTasks - startsOfDone,
    jobsLost: new Set(lost.map((b) => /wk-\d+/.exec(b.what)?.[0])).size,
    rulesBroken,
    requestsPerS: Number(standing.requests.toFixed(1)),
    changesPerS: Number(standing.changes.toFixed(1)),
    records: copies?.replica.size ?? 0,
    copyBytes,
    snapshot: {
      bytes: bytes.length,
      ratio: Number((snapshot.plainBytes / bytes.length).toFixed(1)),
      ms: Number(snapshotMs.toFixed(1)),
      bytesEach: Number((bytes.length / Math.max(1, snapshot.records)).toFixed(1)),
    },
  };
}

function round(ms: number | undefined): number | null {
  return ms === undefined ? null : Math.round(ms);
}

/** One of many small days in which losses meet all other troubles: rules broken, by name. */
async function drawnDay(part: LossPart): Promise<Readonly<Record<string, number>>> {
  const broken: Record<string, number> = { days: 0, starts: 0 };
  for (let seed = part.seed; seed < part.seed + DRAWN_EACH; seed += 1) {
    const w = smallWorld(seed);
    const at = 25_000 + w.random(70_000);
    injectDataLoss(w, DATA_LOSSES[seed % DATA_LOSSES.length] ?? 'emptied', at);
    if (seed % 3 === 0) injectDataLoss(w, 'emptied', at + 3000 + w.random(20_000));
    for (let i = 0; i < 1 + (seed % 3); i += 1) injectRandomFault(w, false);
    startGeneratedJobs(w);
    await w.runUntil(DAY_LENGTH_MS);
    broken['days'] = (broken['days'] ?? 0) + 1;
    broken['starts'] = (broken['starts'] ?? 0) + w.checker.starts;
    for (const b of w.checker.violations) broken[b.rule] = (broken[b.rule] ?? 0) + 1;
  }
  return broken;
}

const DRAWN_EACH = 40;
const DRAWN_DAYS = 200;

export async function measureStoreDataLoss(say: (line: string) => void): Promise<unknown> {
  const parts: LossPart[] = [];
  for (const machines of SIZES) {
    const big = machines === SIZES.at(-1);
    for (const loss of ['nothing', 'emptied', 'rolled back 20 s', 'tasks gone'] as const)
      for (const left of ['all nodes', 'all but the leader', 'a snapshot', 'workers'] as const) {
        if (loss === 'nothing' && left !== 'all nodes') continue;
        if (big && (loss === 'tasks gone' || left === 'workers')) continue;
        for (const seed of big ? [1] : [1, 2, 3]) parts.push({ machines, loss, left, seed });
      }
  }
  const drawn: LossPart[] = Array.from({ length: DRAWN_DAYS / DRAWN_EACH }, (_, i) => ({
    machines: 10,
    loss: 'emptied' as const,
    left: 'all nodes' as const,
    seed: 1000 + i * DRAWN_EACH,
    drawn: true,
  }));
  // The longest first, so that no processor is left waiting at the end.
  const all = [...parts].reverse();
  const results = await parallel('state-loss', [...all, ...drawn], say);
  const rows = results.slice(0, all.length) as LossResult[];
  const days = results.slice(all.length) as Record<string, number>[];
  const table: unknown[] = [];
  for (const machines of SIZES)
    for (const left of ['all nodes', 'all but the leader', 'a snapshot', 'workers'] as const)
      for (const loss of ['nothing', 'emptied', 'rolled back 20 s', 'tasks gone'] as const) {
        const group = rows.filter((r) => r.machines === machines && r.left === left && r.loss === loss);
        if (group.length > 0) table.push(summary(machines, loss, left, group));
      }
  const sum: Record<string, number> = {};
  for (const d of days) for (const [k, v] of Object.entries(d)) sum[k] = (sum[k] ?? 0) + v;
  return { simulated: true, table, drawnDays: sum };
}

function summary(machines: number, loss: string, left: Left, group: readonly LossResult[]): unknown {
  const median = (pick: (r: LossResult) => number | null): number | null => {
    const sketch = new DDSketch({ relativeAccuracy: 0.005 });
    const values = group.map(pick).filter((v) => v !== null);
    for (const v of values) sketch.accept(v);
    return values.length === 0 ? null : Number(sketch.getValueAtQuantile(0.5).toPrecision(3));
  };
  const worst = (pick: (r: LossResult) => number | null): number | null => {
    const values = group.map(pick).filter((v) => v !== null);
    return values.length === 0 ? null : Math.max(...values);
  };
  const rulesBroken: Record<string, number> = {};
  for (const r of group)
    for (const [rule, n] of Object.entries(r.rulesBroken)) rulesBroken[rule] = (rulesBroken[rule] ?? 0) + n;
  return {
    machines,
    loss,
    left,
    noticedMs: [median((r) => r.noticedMs), worst((r) => r.noticedMs)],
    soundMs: [median((r) => r.soundMs), worst((r) => r.soundMs)],
    firstStartMs: [median((r) => r.firstStartMs), worst((r) => r.firstStartMs)],
    writtenMs: [median((r) => r.writtenMs), worst((r) => r.writtenMs)],
    replicaTimeLost: worst((r) => r.replicaTimeLost),
    startsOfDone: worst((r) => r.startsOfDone),
    jobsLost: worst((r) => r.jobsLost),
    rulesBroken,
    requestsPerS: median((r) => r.requestsPerS),
    changesPerS: median((r) => r.changesPerS),
    records: median((r) => r.records),
    copyBytes: median((r) => r.copyBytes),
    snapshot: group[0]?.snapshot,
  };
}
