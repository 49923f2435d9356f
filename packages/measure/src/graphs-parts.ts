/**
 * The parts of the measurement of task graphs that run in the simulated world, and the memory of a graph.
 *
 * @module
 */
import { TaskGraph } from '@spurbridge/graph';
import { batchStateKey, decodeBatchState } from '@spurbridge/graph-service';
import type { World } from '@spurbridge/testkit';
import { jobSpec } from '@spurbridge/testkit';
import type { Batch, BatchId, JobId } from '@spurbridge/wire';
import { formatGraphTaskId } from '@spurbridge/wire';
import {
  BATCH_SIZE,
  GRAPH_ID,
  TASK_SHAPE,
  addTasks,
  completedTasks,
  createGraph,
  createWorld,
  runUntilGraphEnds,
  sealGraph,
} from './graphs-world.js';

const SHARE_FROM_MS = 60_000;
const SHARE_UNTIL_MS = 240_000;
const SHARE_END_MS = 270_000;
const ORDINARY_JOBS = 800;
const GRAPH_TASKS = 4800;
const CRASHES = 20;
/** A run shorter than this only returned the stored result of its task. */
const MIN_RUN_MS = 10;

/** Share of the CPU time that a team with a graph gets beside a team with ordinary jobs. Both have too much work. */
export async function graphTeamShare(seed: number): Promise<number> {
  // The fleet has as many CPUs as the quota limit of one team, so each team could use all of them.
  const world = createWorld(seed, 1, 96);
  const used = { red: 0, blue: 0 };

  world.checker.onRunEnded = (run) => {
    const ms = Math.max(0, Math.min(SHARE_UNTIL_MS, run.untilMs) - Math.max(SHARE_FROM_MS, run.sinceMs));
    used[run.job.team as 'red' | 'blue'] += ms * run.job.cpus;
  };
  await createGraph(world);
  // Each job fits into the guaranteed quota, but there are more jobs than can run at once.
  for (let i = 0; i < ORDINARY_JOBS; i += 1)
    world.startUser(
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
  await addTasks(world, GRAPH_TASKS, 1);
  await world.runUntil(SHARE_END_MS);
  return used.red / (used.red + used.blue);
}

/** Results of the failovers during one graph. */
export interface FailoverResult {
  readonly takeovers: number;
  readonly lost: number;
  readonly twice: number;
  readonly worstMs: number;
  readonly meanMs: number;
}

/** Crashes leaders while a graph runs. Counts lost and repeated tasks, and measures the time until the next start. */
export async function measureFailovers(seed: number, tasks: number): Promise<FailoverResult> {
  const world = createWorld(seed, 8, 700);
  const completions = new Map<string, number>();
  const starts: number[] = [];
  world.checker.onRunEnded = (run) => {
    starts.push(run.sinceMs);
    // A task that is started again after its completion returns the stored result at once, without doing any work.
    if (!run.done || run.untilMs - run.sinceMs < MIN_RUN_MS) return;
    const task = graphTaskOf(world, tasks, run.job.id, run.task) ?? `${run.job.id}/${run.task}`;
    completions.set(task, (completions.get(task) ?? 0) + 1);
  };
  await createGraph(world);
  await addTasks(world, tasks, 5);
  await sealGraph(world);
  const crashes = await crashLeaders(world);
  await runUntilGraphEnds(world, 5000, 300);
  const gapsMs = crashes.flatMap((crashMs) => {
    const next = starts
      .filter((startMs) => startMs > crashMs)
      .reduce((least, startMs) => Math.min(least, startMs), Infinity);
    return next === Infinity ? [] : [next - crashMs];
  });
  return {
    takeovers: crashes.length,
    lost: tasks - completedTasks(world),
    twice: [...completions.values()].filter((count) => count > 1).length,
    worstMs: Math.max(...gapsMs),
    meanMs: gapsMs.reduce((a, b) => a + b, 0) / gapsMs.length,
  };
}

/** The graph task that corresponds to a task of a cotask's job, by the stored state of the batches; null if none. */
function graphTaskOf(world: World, tasks: number, job: JobId, jobTask: number): string | null {
  const cotask = job.slice(job.lastIndexOf('.') + 1);
  for (let batch = 0; batch < tasks / BATCH_SIZE; batch += 1) {
    const value = world.store.peek(batchStateKey(GRAPH_ID, `b${batch}` as BatchId));
    if (value === undefined) continue;
    const { parts } = decodeBatchState(value);
    const found = parts.find((entry) => entry[1] === cotask && entry[2] === jobTask);
    if (found !== undefined) return `b${batch}:${found[0]}`;
  }
  return null;
}

/** Crashes the leader repeatedly, 12 to 16 seconds apart. Returns the times of the crashes. */
async function crashLeaders(world: World): Promise<number[]> {
  const crashes: number[] = [];
  for (let i = 0; i < CRASHES; i += 1) {
    await world.runUntil(world.time.now + 12_000 + world.random(4000));
    const leader = world.nodes.findIndex(
      (node) => node.clock.alive && node.controller.leadership.holdsValidLease(),
    );
    if (leader < 0) continue;
    crashes.push(world.time.now);
    world.crash(leader);
  }
  return crashes;
}

/** Rates of one graph per simulated second, and its commits to the key-value store. */
export interface Throughput {
  readonly tasks: number;
  readonly acceptedPerS: number;
  readonly finishedPerS: number;
  readonly commitsPerTask: number;
}

/** Measures the throughput of the graph service for a graph of this number of tasks. */
export async function measureThroughput(tasks: number): Promise<Throughput> {
  const world = createWorld(1, 10, 900);
  await createGraph(world);
  const began = world.time.now;
  const first = world.store.currentRevision();
  await addTasks(world, tasks, 10);
  const accepted = world.time.now;
  await sealGraph(world);
  await runUntilGraphEnds(world, 1000, 2000);
  return {
    tasks,
    acceptedPerS: (tasks / (accepted - began)) * 1000,
    finishedPerS: (tasks / (world.time.now - began)) * 1000,
    commitsPerTask: (world.store.currentRevision() - first) / tasks,
  };
}

/** Memory and time that a graph needs. */
export interface MemoryUse {
  readonly tasks: number;
  readonly bytesPerTask: number;
  readonly msPerTask: number;
}

/** Measures the heap per task of a graph of this number of tasks, and the time per task to add and complete them. */
export function measureMemory(tasks: number): MemoryUse {
  const collect = (globalThis as { gc?: () => void }).gc ?? (() => undefined);
  collect();
  const before = process.memoryUsage().heapUsed;
  const began = performance.now();
  const graph = new TaskGraph(GRAPH_ID);
  for (let index = 0; index < tasks / BATCH_SIZE; index += 1) {
    const batch: Batch = {
      id: `b${index}` as BatchId,
      parent: null,
      shapes: [TASK_SHAPE],
      tasks: Array.from({ length: BATCH_SIZE }, (_, i) => ({
        shape: 0,
        after: index === 0 ? [] : [formatGraphTaskId(`b${index - 1}` as BatchId, i)],
        held: false,
      })),
    };
    graph.addBatch(batch);
  }
  collect();
  const graphBytes = process.memoryUsage().heapUsed - before;
  for (let ready = graph.readyTasks(); ready.length > 0; ready = graph.readyTasks())
    for (const task of ready) {
      graph.markSubmitted(task);
      graph.markDone(task);
    }
  return { tasks, bytesPerTask: graphBytes / tasks, msPerTask: (performance.now() - began) / tasks };
}
