import { TaskGraph } from '@spurbridge/graph';
import {
  GraphService,
  decodeBatchState,
  graphControllerFactory,
  graphKey,
  batchStateKey,
  respond,
} from '@spurbridge/graph-service';
import type { GraphResponse, GraphResult } from '@spurbridge/graph-service';
import { World, ZONES, jobSpec, machineType } from '@spurbridge/testkit';
import type { Batch, BatchId, GraphId, JobId, TaskShape } from '@spurbridge/wire';
import { formatGraphTaskId } from '@spurbridge/wire';
import { longTailedTrace, playOrder } from './orders.js';
import { parallel } from './parallel.js';

const ID = 'gr-measured' as GraphId;
const SEEDS = 10;
const STATE = { rps: 250, writeRps: 100, valueKb: 16, txnOps: 12 };
const BATCH = 400;
/** Work that arrives, over what the machines can do. */
const LOADS = [0.7, 0.9, 1.1, 1.4] as const;

interface Part {
  readonly kind: 'fairness' | 'recovery' | 'scale' | 'orders' | 'memory';
  readonly seed: number;
  readonly tasks: number;
}

const SHAPE: TaskShape = {
  cpus: 1,
  gpus: 0,
  memoryGb: 1,
  image: 'img',
  imageGb: 0,
  estimateS: 5,
  retries: 0,
  spot: true,
};

function world(seed: number, capacity: number, cpusMax: number): World {
  return new World({
    seed,
    teams: [
      { name: 'red', cpus: cpusMax / 2, cpusMax, gpus: 0, gpusMax: 0 },
      { name: 'blue', cpus: cpusMax / 2, cpusMax, gpus: 0, gpusMax: 0 },
    ],
    types: [machineType('m16', 16)],
    zones: ZONES,
    capacity,
    leaseS: 22,
    cancelS: 42,
    userPollMs: 30_000,
    storeLimits: STATE,
    leaderComponents: () => [graphControllerFactory()],
  });
}

function service(w: World, node: number): GraphService {
  const n = w.nodes[node];
  if (n === undefined) throw new Error('no such node');
  const teams = ['red', 'blue'].map((name) => ({ name, cpus: 0, cpusMax: Infinity, gpus: 0, gpusMax: 0 }));
  return new GraphService({ teams, storeLimits: STATE }, n.store, () => [machineType('m16', 16)]);
}

/** Asks until the answer is a good one, on one node after the other. */
async function ask(w: World, call: (s: GraphService) => Promise<GraphResult>): Promise<void> {
  for (let n = 0; ; n += 1) {
    const got: GraphResponse[] = [];
    void respond(() => call(service(w, n % 3))).then((a) => got.push(a));
    for (let i = 0; got.length === 0 && i < 2000; i += 1) {
      await new Promise((resolve) => setImmediate(resolve));
      await w.runUntil(w.time.now + 10);
    }
    const [a] = got;
    if (a !== undefined && a.code < 300) return;
    if (a !== undefined && a.code < 500 && a.code !== 429) throw new Error(JSON.stringify(a));
    await w.runUntil(w.time.now + 300);
  }
}

async function addTasks(w: World, tasks: number, layers: number): Promise<void> {
  const batches = Math.ceil(tasks / BATCH);
  const perLayer = Math.max(1, Math.floor(batches / layers));
  for (let b = 0; b < batches; b += 1) {
    const before = b - perLayer;
    const size = Math.min(BATCH, tasks - b * BATCH);
    const body = {
      batch: `b${b}`,
      shapes: [SHAPE],
      tasks: Array.from({ length: size }, (_, i) => (before < 0 ? [0] : [0, [`b${before}:${i % BATCH}`]])),
    };
    await ask(w, (s) => s.addBatch(ID, body));
  }
}

/** Share of the fleet's time that a graph client's team gets beside an ordinary one, both with too much work. */
async function fairness(seed: number): Promise<number> {
  // As many CPUs as one team may use at the most: both want all of them.
  const w = world(seed, 1, 96);
  const used = { red: 0, blue: 0 };
  const [from, to] = [60_000, 240_000];
  w.checker.onRunEnded = (run) => {
    const ms = Math.max(0, Math.min(to, run.untilMs) - Math.max(from, run.sinceMs));
    used[run.job.team as 'red' | 'blue'] += ms * run.job.cpus;
  };
  await w.runUntil(3000);
  await ask(w, (s) => s.create({ graph: ID, class: 'video', team: 'red', priority: 'normal' }));
  // Jobs that fit into the guarantee, more of them than can run.
  for (let i = 0; i < 800; i += 1)
    w.startUser(
      jobSpec({
        id: `wk-${String(i).padStart(6, '0')}` as JobId,
        team: 'blue',
        tasks: 6,
        cpus: 1,
        memoryGb: 1,
        imageGb: 0,
        estimateS: 5,
      }),
      null,
    );
  await addTasks(w, 4800, 1);
  await w.runUntil(270_000);
  return used.red / (used.red + used.blue);
}

interface Recovery {
  readonly takeovers: number;
  readonly lost: number;
  readonly twice: number;
  readonly worstMs: number;
  readonly meanMs: number;
}

/** Takeovers in the middle of a graph: what is lost, what is done twice, how long until the next start. */
async function recovery(seed: number, tasks: number): Promise<Recovery> {
  const w = world(seed, 8, 700);
  const done = new Map<string, number>();
  const starts: number[] = [];
  const taskOf = (job: JobId, piece: number): string | null => {
    const cotask = job.slice(job.lastIndexOf('.') + 1);
    for (let b = 0; b < tasks / BATCH; b += 1) {
      const value = w.store.peek(batchStateKey(ID, `b${b}` as BatchId));
      if (value === undefined) continue;
      const part = decodeBatchState(value).parts.find((p) => p[1] === cotask && p[2] === piece);
      if (part !== undefined) return `b${b}:${part[0]}`;
    }
    return null;
  };
  w.checker.onRunEnded = (run) => {
    starts.push(run.sinceMs);
    // A start after the end is answered with the kept result at once: it did nothing.
    if (!run.done || run.untilMs - run.sinceMs < 10) return;
    const task = taskOf(run.job.id, run.task) ?? `${run.job.id}/${run.task}`;
    done.set(task, (done.get(task) ?? 0) + 1);
  };
  await w.runUntil(3000);
  await ask(w, (s) => s.create({ graph: ID, class: 'video', team: 'red', priority: 'normal' }));
  await addTasks(w, tasks, 5);
  await ask(w, (s) => s.seal(ID));
  const crashes: number[] = [];
  for (let i = 0; i < 20; i += 1) {
    await w.runUntil(w.time.now + 12_000 + w.random(4000));
    const at = w.nodes.findIndex((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
    if (at < 0) continue;
    crashes.push(w.time.now);
    w.crash(at);
  }
  const phase = (): unknown => (w.store.peek(graphKey(ID)) as { phase?: unknown } | undefined)?.phase;
  for (let i = 0; i < 300 && phase() === 'sealed'; i += 1) await w.runUntil(w.time.now + 5000);
  const tally = (w.store.peek(graphKey(ID)) as { tally?: { done?: number } } | undefined)?.tally;
  const gaps = crashes.flatMap((c) => {
    const next = starts.filter((s) => s > c).reduce((a, b) => Math.min(a, b), Infinity);
    return next === Infinity ? [] : [next - c];
  });
  return {
    takeovers: crashes.length,
    lost: tasks - (tally?.done ?? 0),
    twice: [...done.values()].filter((n) => n > 1).length,
    worstMs: Math.max(...gaps),
    meanMs: gaps.reduce((a, b) => a + b, 0) / gaps.length,
  };
}

interface Scale {
  readonly tasks: number;
  readonly acceptedPerS: number;
  readonly finishedPerS: number;
  readonly commitsPerTask: number;
}

async function scale(tasks: number): Promise<Scale> {
  const w = world(1, 10, 900);
  await w.runUntil(3000);
  await ask(w, (s) => s.create({ graph: ID, class: 'video', team: 'red', priority: 'normal' }));
  const began = w.time.now;
  const first = w.store.currentRevision();
  await addTasks(w, tasks, 10);
  const accepted = w.time.now;
  await ask(w, (s) => s.seal(ID));
  const phase = (): unknown => (w.store.peek(graphKey(ID)) as { phase?: unknown } | undefined)?.phase;
  for (let i = 0; i < 2000 && phase() === 'sealed'; i += 1) await w.runUntil(w.time.now + 1000);
  return {
    tasks,
    acceptedPerS: (tasks / (accepted - began)) * 1000,
    finishedPerS: (tasks / (w.time.now - began)) * 1000,
    commitsPerTask: (w.store.currentRevision() - first) / tasks,
  };
}

/** Bytes of heap that a graph of so many tasks takes, and milliseconds to add and run all of it. */
function memory(tasks: number): { tasks: number; bytesPerTask: number; msPerTask: number } {
  const collect = (globalThis as { gc?: () => void }).gc ?? (() => undefined);
  collect();
  const before = process.memoryUsage().heapUsed;
  const began = performance.now();
  const g = new TaskGraph(ID);
  for (let b = 0; b < tasks / BATCH; b += 1) {
    const batch: Batch = {
      id: `b${b}` as BatchId,
      parent: null,
      shapes: [SHAPE],
      tasks: Array.from({ length: BATCH }, (_, i) => ({
        shape: 0,
        after: b === 0 ? [] : [formatGraphTaskId(`b${b - 1}` as BatchId, i)],
        held: false,
      })),
    };
    g.addBatch(batch);
  }
  collect();
  const held = process.memoryUsage().heapUsed - before;
  for (let ready = g.readyTasks(); ready.length > 0; ready = g.readyTasks())
    for (const t of ready) {
      g.markSubmitted(t);
      g.markDone(t);
    }
  return { tasks, bytesPerTask: held / tasks, msPerTask: (performance.now() - began) / tasks };
}

export async function graphsPart(p: Part): Promise<unknown> {
  if (p.kind === 'fairness') return fairness(p.seed);
  if (p.kind === 'recovery') return recovery(p.seed, p.tasks);
  if (p.kind === 'scale') return scale(p.tasks);
  if (p.kind === 'memory') return memory(p.tasks);
  return LOADS.map((load) => {
    const trace = longTailedTrace(p.seed, load);
    return (['paper', 'first-come', 'shortest-task'] as const).map((o) => playOrder(trace, o));
  });
}

export async function measureGraphs(say: (line: string) => void): Promise<Record<string, unknown>> {
  const seeds = Array.from({ length: SEEDS }, (_, i) => i + 1);
  const part = (kind: Part['kind'], seed = 1, tasks = 0): Part => ({ kind, seed, tasks });
  const parts: Part[] = [
    part('recovery', 1, 20_000),
    part('scale', 1, 100_000),
    part('scale', 1, 10_000),
    ...seeds.map((s) => part('fairness', s)),
    ...seeds.map((s) => part('orders', s)),
    part('memory', 1, 10_000),
    part('memory', 1, 100_000),
  ];
  const results = await parallel('graphs', parts, say);
  const of = <T>(kind: Part['kind']): T[] => results.filter((_, i) => parts[i]?.kind === kind) as T[];
  const shares = of<number>('fairness');
  const orders = of<{ cotaskS: number; graphS: number }[][]>('orders');
  const mean = (load: number, order: number, what: 'cotaskS' | 'graphS'): number =>
    orders.reduce((sum, o) => sum + (o[load]?.[order]?.[what] ?? NaN), 0) / orders.length;
  const byLoad = LOADS.map((load, i) => ({
    load,
    cotaskS: {
      paper: mean(i, 0, 'cotaskS'),
      firstCome: mean(i, 1, 'cotaskS'),
      shortestTask: mean(i, 2, 'cotaskS'),
    },
    graphS: {
      paper: mean(i, 0, 'graphS'),
      firstCome: mean(i, 1, 'graphS'),
      shortestTask: mean(i, 2, 'graphS'),
    },
    cotaskRatioToFirstCome: mean(i, 0, 'cotaskS') / mean(i, 1, 'cotaskS'),
  }));
  const [small, large] = [
    of<Scale>('scale').find((s) => s.tasks === 10_000),
    of<Scale>('scale').find((s) => s.tasks === 100_000),
  ];
  return {
    simulated: true,
    guaranteedShare: 0.5,
    graphTeamShares: shares.map((s) => Number(s.toFixed(4))),
    worstShareError: Math.max(...shares.map((s) => Math.abs(s - 0.5) / 0.5)),
    orders: byLoad,
    recovery: of<Recovery>('recovery')[0],
    scale: { small, large },
    memory: of('memory'),
  };
}

export type { Part as GraphsPart };
