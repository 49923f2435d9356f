import type { JobView, MachineView, Occupant } from '@spurbridge/planner';
import { planTasks } from '@spurbridge/planner';
import { jobSpec, machineType } from '@spurbridge/testkit';
import type { JobId, MachineId } from '@spurbridge/wire';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** How waiting cotasks are ordered: the paper's order by the real planner, or a baseline of our own. */
export type Order = 'paper' | 'first-come' | 'shortest-task';

interface Stage {
  readonly graph: number;
  readonly tasks: number;
  readonly runS: number;
  readonly estimateS: number;
}

interface Cotask extends Stage {
  readonly id: JobId;
  readonly arrivedS: number;
  left: number;
  waiting: number;
}

interface Trace {
  readonly graphs: readonly { readonly arrivesS: number; readonly stages: readonly Stage[] }[];
}

const MACHINES = 12;
const CPUS = 8;
const GRAPHS = 120;
const STARVATION_S = 30;
const TEAM = { name: 'red', cpus: MACHINES * CPUS, cpusMax: MACHINES * CPUS, gpus: 0, gpusMax: 0 };

/**
 * Graphs of one to four stages. Tasks of a stage: Pareto (shape 1.1, from 2 to 400); run times: Pareto (shape
 * 1.5, from 2 s to 120 s), the same for all tasks of a stage; estimates 0.75 to 1.33 times that; arrivals
 * Poisson, at `load` times what the machines can do.
 */
export function longTailedTrace(seed: number, load: number): Trace {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const pareto = (shape: number, least: number, most: number): number =>
    Math.min(most, least / (1 - draw()) ** (1 / shape));
  const graphs: { arrivesS: number; stages: Stage[] }[] = [];
  let work = 0;
  for (let graph = 0; graph < GRAPHS; graph += 1) {
    const stages = Array.from({ length: 1 + Math.floor(draw() * 4) }, (): Stage => {
      const runS = pareto(1.5, 2, 120);
      return {
        graph,
        tasks: Math.round(pareto(1.1, 2, 400)),
        runS,
        estimateS: runS * (0.75 + draw() * 0.58),
      };
    });
    work += stages.reduce((sum, s) => sum + s.tasks * s.runS, 0);
    graphs.push({ arrivesS: 0, stages });
  }
  const gapS = work / (MACHINES * CPUS) / load / GRAPHS;
  let at = 0;
  return {
    graphs: graphs.map((g) => {
      at += -Math.log(1 - draw()) * gapS;
      return { ...g, arrivesS: at };
    }),
  };
}

interface Running {
  readonly cotask: Cotask;
  readonly task: number;
  readonly startS: number;
  readonly endS: number;
}

const TYPE = machineType('m8', CPUS);

/** Plays a trace under one order: mean time from ready to done of cotasks, and from arrival to end of graphs. */
export function playOrder(trace: Trace, order: Order): { cotaskS: number; graphS: number } {
  const machines: Running[][] = Array.from({ length: MACHINES }, () => []);
  const waiting: Cotask[] = [];
  const arrivals = trace.graphs.map((g, i) => ({ at: g.arrivesS, graph: i }));
  const nextStage = trace.graphs.map(() => 0);
  const cotaskTimes: number[] = [];
  const graphTimes: number[] = [];
  let now = 0;
  let ids = 0;
  const begin = (graph: number): void => {
    const stage = trace.graphs[graph]?.stages[nextStage[graph] as number];
    if (stage === undefined) {
      graphTimes.push(now - (trace.graphs[graph]?.arrivesS ?? 0));
      return;
    }
    nextStage[graph] = (nextStage[graph] as number) + 1;
    const id = `wk-${String((ids += 1)).padStart(6, '0')}` as JobId;
    waiting.push({ ...stage, id, arrivedS: now, left: stage.tasks, waiting: stage.tasks });
  };
  const start = (c: Cotask, machine: number): void => {
    c.waiting -= 1;
    (machines[machine] as Running[]).push({ cotask: c, task: c.waiting, startS: now, endS: now + c.runS });
  };
  const place = (): void => {
    if (order === 'paper') {
      const placed = planTasks({
        jobs: waiting.filter((c) => c.waiting > 0).map((c, i) => viewOf(c, i, now)),
        machines: machines.map((on, i) => machineOf(on, i, now)),
        teams: [TEAM],
        starvationThresholdS: STARVATION_S,
        placeAheadS: 0,
        isCostAware: false,
        typicalTask: null,
      });
      const byId = new Map(waiting.map((c) => [c.id, c]));
      for (const s of placed.starts) {
        const c = byId.get(s.job);
        if (c !== undefined) start(c, Number(s.machine.slice(2)));
      }
      return;
    }
    const key = (c: Cotask): number => (order === 'first-come' ? c.arrivedS : c.estimateS);
    for (const c of [...waiting].sort((a, b) => key(a) - key(b) || a.arrivedS - b.arrivedS))
      for (let m = 0; m < MACHINES && c.waiting > 0; m += 1)
        while ((machines[m] as Running[]).length < CPUS && c.waiting > 0) start(c, m);
  };
  for (;;) {
    place();
    const ends = machines.flat().reduce((least, r) => Math.min(least, r.endS), Infinity);
    const next = Math.min(ends, arrivals[0]?.at ?? Infinity);
    if (next === Infinity) break;
    now = next;
    while (arrivals[0] !== undefined && arrivals[0].at <= now)
      begin((arrivals.shift() as { graph: number }).graph);
    for (const [m, on] of machines.entries()) {
      const over = on.filter((r) => r.endS <= now);
      if (over.length === 0) continue;
      machines[m] = on.filter((r) => r.endS > now);
      for (const { cotask } of over) {
        cotask.left -= 1;
        if (cotask.left > 0) continue;
        cotaskTimes.push(now - cotask.arrivedS);
        waiting.splice(waiting.indexOf(cotask), 1);
        begin(cotask.graph);
      }
    }
  }
  const mean = (of: readonly number[]): number => of.reduce((a, b) => a + b, 0) / of.length;
  return { cotaskS: mean(cotaskTimes), graphS: mean(graphTimes) };
}

function viewOf(c: Cotask, order: number, now: number): JobView {
  const spec = jobSpec({
    id: c.id,
    tasks: c.tasks,
    cpus: 1,
    memoryGb: 1,
    imageGb: 0,
    estimateS: c.estimateS,
  });
  return {
    spec,
    pendingTasks: Array.from({ length: Math.min(200, c.waiting) }, (_, i) => i),
    pendingCount: c.waiting,
    unfinishedCount: c.left,
    placedZones: [],
    totalWaitS: (now - c.arrivedS) * c.waiting,
    ageS: now - c.arrivedS,
    estimateS: c.estimateS,
    completionMilestonesS: [],
    startMilestonesS: [],
    toleratedWaitS: 2,
    excludedMachines: new Set(),
    submissionOrder: order,
    isStartable: true,
  };
}

function machineOf(on: readonly Running[], i: number, now: number): MachineView {
  const occupants = on.map((r): Occupant => {
    const ranS = now - r.startS;
    return {
      job: r.cotask.id,
      task: r.task,
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
      remainingS: Math.max(0.5, r.cotask.estimateS - ranS, ranS * 0.25 * Number(ranS > r.cotask.estimateS)),
      lostWorkS: ranS,
      priority: 'normal',
      team: TEAM.name,
      isStopping: false,
      isPreemptible: true,
    };
  });
  return {
    id: `n-${i}` as MachineId,
    type: TYPE,
    zone: 'a',
    spot: false,
    isSchedulable: true,
    images: new Map([['img', 1]]),
    slowness: 1,
    occupants,
  };
}
