import type { JobId } from '@spurbridge/wire';
import { World, jobSpec, machineType } from '@spurbridge/testkit';
import { parallel } from './parallel.js';

const TROUBLES = [
  'leader, back after 0.2 s',
  'leader, back after 8 s',
  'another node',
  'the leader and another node',
  'all nodes',
] as const;
type Trouble = (typeof TROUBLES)[number];

export interface WorkerShardsPart {
  readonly machines: number;
  readonly nodes: number;
  readonly trouble: Trouble;
  /** False: no node says that it takes reports, so workers report to the leader, as they did before shares. */
  readonly shares: boolean;
}

interface SharesResult extends WorkerShardsPart {
  /** Machines that each node held before the trouble. */
  readonly held: readonly number[];
  /** From the end of a process: until a node leads surely, a task starts, and all and 95 % of the workers know the leader. */
  readonly ledS: number | null;
  readonly startedS: number | null;
  readonly most95S: number | null;
  readonly allS: number | null;
  /** Workers that opened a connection to another node in the 30 s after it, and the most of them at one node. */
  readonly moved: number;
  readonly movedToOne: number;
  readonly killedByLease: number;
  readonly brokenRules: number;
  /** Between controllers, a second, in steady work. */
  readonly frames: number;
  readonly kilobytes: number;
}

const UP_MS = 60_000;
const STEADY_MS = 20_000;
const AFTER_MS = 40_000;
const TYPE = { ...machineType('s4', 4), bootS: 4 };
const CPUS = 1_000_000;
const SIZES = [300, 800, 1245, 3200];
/** Played with five nodes alone, two of which end. */
const LARGEST = 10_000;

/** A fleet of this many machines, each with tasks that outlast the measurement and a stream of short ones. */
function fleet(p: WorkerShardsPart): World {
  const w = new World({
    seed: 11,
    teams: [{ name: 'red', cpus: CPUS, cpusMax: CPUS, gpus: 0, gpusMax: 0 }],
    types: [TYPE],
    zones: ['a', 'b', 'c'],
    nodes: p.nodes,
    capacity: p.machines,
    leaseS: 22,
    cancelS: 42,
    storeLimits: { rps: 2000, writeRps: 1000, valueKb: 16, txnOps: 12 },
    taskRunMs: (job) => (job.image === 'long' ? 10 * UP_MS : 3000),
  });
  if (!p.shares) for (let i = 0; i < p.nodes; i += 1) w.previousVersionNodes.add(`spur-${i}`);
  let jobs = 0;
  const submit = (tasks: number, cpus: number, image: string): void => {
    const id = `wk-${String(jobs++).padStart(6, '0')}` as JobId;
    w.startUser(
      jobSpec({ id, tasks, cpus, memoryGb: 1, image, imageGb: 0.2, estimateS: image === 'long' ? 600 : 3 }),
      null,
    );
  };
  for (let left = p.machines; left > 0; left -= 100) submit(Math.min(100, left), 3, 'long');
  for (let at = UP_MS / 2; at < UP_MS + STEADY_MS + AFTER_MS; at += 250)
    w.time.after(at, () => {
      submit(4, 1, 'short');
    });
  return w;
}

export async function workerShardsPart(p: WorkerShardsPart): Promise<SharesResult> {
  const w = fleet(p);
  await w.runUntil(UP_MS);
  const { frames, bytes } = w.peerTraffic;
  await w.runUntil(UP_MS + STEADY_MS);
  const steady = { frames: w.peerTraffic.frames - frames, bytes: w.peerTraffic.bytes - bytes };
  const held = w.machinesPerNode();
  const leader = w.nodes.findIndex((n) => n.controller.leadership.holdsValidLease());
  const before = Math.max(...w.nodes.map((n) => n.controller.leadership.fencingToken));
  const places = new Map([...w.workers.values()].map((x) => [x.id, x.heartbeatNodeIndex]));
  const began = w.time.now;
  const other = (leader + 1) % p.nodes;
  const ended: Record<Trouble, readonly number[]> = {
    'leader, back after 0.2 s': [leader],
    'leader, back after 8 s': [leader],
    'another node': [other],
    'the leader and another node': [leader, other],
    'all nodes': [...w.nodes.keys()],
  };
  for (const i of ended[p.trouble]) w.crash(i, p.trouble === 'leader, back after 8 s' ? 8000 : 200);
  const starts = w.checker.starts;
  const found: Record<'ledS' | 'startedS' | 'most95S' | 'allS', number | null> = {
    ledS: null,
    startedS: null,
    most95S: null,
    allS: null,
  };
  const moved = new Map<number, number>();
  const look = (): void => {
    const atS = (w.time.now - began) / 1000;
    const lead = w.nodes.find((n) => n.clock.alive && n.controller.leadership.holdsValidLease());
    const token = lead?.controller.leadership.fencingToken ?? Infinity;
    const isNew = token > before || p.trouble === 'another node';
    if (lead !== undefined && isNew) found.ledS ??= atS;
    // Starts that were on their way count for nobody: what follows the new leader's election does.
    if (found.ledS !== null && w.checker.starts > starts) found.startedS ??= atS;
    const up = [...w.workers.values()].filter((x) => x.alive);
    const know = up.filter(
      (x) => x.highestFencingToken >= token && w.nodes[x.heartbeatNodeIndex]?.clock.alive === true,
    ).length;
    if (know >= up.length * 0.95) found.most95S ??= atS;
    if (know === up.length) found.allS ??= atS;
    for (const x of up) {
      if (places.get(x.id) === x.heartbeatNodeIndex) continue;
      if (places.has(x.id) && atS < 30)
        moved.set(x.heartbeatNodeIndex, (moved.get(x.heartbeatNodeIndex) ?? 0) + 1);
      places.set(x.id, x.heartbeatNodeIndex);
    }
    w.time.after(20, look);
  };
  look();
  await w.runUntil(began + AFTER_MS);
  const perS = STEADY_MS / 1000;
  return {
    ...p,
    held,
    ...found,
    moved: [...moved.values()].reduce((a, b) => a + b, 0),
    movedToOne: Math.max(0, ...moved.values()),
    killedByLease: w.checker.killedByLease,
    brokenRules: w.checker.violations.length,
    frames: Math.round(steady.frames / perS),
    kilobytes: Math.round(steady.bytes / perS / 1000),
  };
}

/** Ends of nodes with and without shares, side by side. Processor time is not simulated here: docs/results.md has the bench's. */
export async function measureWorkerShards(say: (line: string) => void): Promise<unknown> {
  const parts: WorkerShardsPart[] = [];
  for (const machines of SIZES)
    for (const nodes of [3, 5])
      for (const trouble of TROUBLES)
        for (const shares of nodes === 3 ? [true, false] : [true])
          parts.push({ machines, nodes, trouble, shares });
  const largest = { machines: LARGEST, nodes: 5, shares: true };
  parts.unshift(
    { ...largest, trouble: 'leader, back after 0.2 s' },
    { ...largest, trouble: 'the leader and another node' },
  );
  return { simulated: true, results: await parallel('shares', parts, say) };
}
