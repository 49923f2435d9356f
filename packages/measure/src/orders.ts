/**
 * Orders of waiting cotasks compared on generated traces of task graphs.
 *
 * @module
 */
import type { JobView, MachineView, Occupant } from '@spurbridge/planner';
import { planTasks } from '@spurbridge/planner';
import { jobSpec, machineType } from '@spurbridge/testkit';
import type { JobId, MachineId } from '@spurbridge/wire';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';

/** How waiting cotasks are ordered: `paper` is the published algorithm as the planner implements it; others are baselines. */
export type Order = 'paper' | 'first-come' | 'shortest-task';

/** Tasks of one graph that become ready together. */
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

/** Graphs with their arrival times and stages. */
export interface Trace {
  readonly graphs: readonly { readonly arrivesS: number; readonly stages: readonly Stage[] }[];
}

const MACHINES = 12;
const CPUS = 8;
const GRAPHS = 120;
const STARVATION_S = 30;
const TEAM = { name: 'red', cpus: MACHINES * CPUS, cpusMax: MACHINES * CPUS, gpus: 0, gpusMax: 0 };

/**
 * Generates graphs of one to four stages. The numbers of tasks per stage follow a Pareto distribution (shape 1.1,
 * from 2 to 400). Run times are the same for all tasks of a stage and follow a Pareto distribution (shape 1.5, from
 * 2 s to 120 s). Estimates are 0.75 to 1.33 times the run time. Graphs arrive as a Poisson process, whose rate is
 * `load` times the machines' capacity.
 */
export function longTailedTrace(seed: number, load: number): Trace {
  const generator = xoroshiro128plus(seed);
  const draw = (): number => uniformFloat64(generator);
  const pareto = (shape: number, min: number, max: number): number =>
    Math.min(max, min / (1 - draw()) ** (1 / shape));
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
    work += stages.reduce((sum, stage) => sum + stage.tasks * stage.runS, 0);
    graphs.push({ arrivesS: 0, stages });
  }
  const gapS = work / (MACHINES * CPUS) / load / GRAPHS;
  let at = 0;
  return {
    graphs: graphs.map((generated) => {
      at += -Math.log(1 - draw()) * gapS;
      return { ...generated, arrivesS: at };
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

/** Mean seconds from ready to done for cotasks, and from arrival to end for graphs. */
export interface OrderTimes {
  readonly cotaskS: number;
  readonly graphS: number;
}

/** Simulates a trace with one order of the waiting cotasks. */
export function simulateOrder(trace: Trace, order: Order): OrderTimes {
  return new TraceSimulation(trace, order).run();
}

/** An event-driven simulation of a fixed fleet that runs a trace. Each task uses one CPU. */
class TraceSimulation {
  private readonly machines: Running[][] = Array.from({ length: MACHINES }, () => []);
  private readonly waiting: Cotask[] = [];
  private readonly arrivals: { readonly at: number; readonly graph: number }[];
  private readonly nextStage: number[];
  private readonly cotaskTimes: number[] = [];
  private readonly graphTimes: number[] = [];
  private now = 0;
  private cotaskCount = 0;

  constructor(
    private readonly trace: Trace,
    private readonly order: Order,
  ) {
    this.arrivals = trace.graphs.map((graph, i) => ({ at: graph.arrivesS, graph: i }));
    this.nextStage = trace.graphs.map(() => 0);
  }

  run(): OrderTimes {
    for (;;) {
      this.place();
      const nextS = this.nextEventS();
      if (nextS === Infinity) break;
      this.now = nextS;
      this.admitArrivals();
      this.completeTasks();
    }
    return { cotaskS: mean(this.cotaskTimes), graphS: mean(this.graphTimes) };
  }

  private nextEventS(): number {
    const firstEnd = this.machines.flat().reduce((least, running) => Math.min(least, running.endS), Infinity);
    return Math.min(firstEnd, this.arrivals[0]?.at ?? Infinity);
  }

  private admitArrivals(): void {
    for (let first = this.arrivals[0]; first !== undefined && first.at <= this.now; [first] = this.arrivals) {
      this.arrivals.shift();
      this.beginNextStage(first.graph);
    }
  }

  private completeTasks(): void {
    for (const [machine, tasks] of this.machines.entries()) {
      const ended = tasks.filter((task) => task.endS <= this.now);
      if (ended.length === 0) continue;
      this.machines[machine] = tasks.filter((task) => task.endS > this.now);
      for (const { cotask } of ended) this.completeTask(cotask);
    }
  }

  private completeTask(cotask: Cotask): void {
    cotask.left -= 1;
    if (cotask.left > 0) return;
    this.cotaskTimes.push(this.now - cotask.arrivedS);
    this.waiting.splice(this.waiting.indexOf(cotask), 1);
    this.beginNextStage(cotask.graph);
  }

  /** Adds the next stage of a graph to the waiting cotasks, or records the end of the graph after its last stage. */
  private beginNextStage(graph: number): void {
    const stageIndex = this.nextStage[graph] as number;
    const stage = this.trace.graphs[graph]?.stages[stageIndex];
    if (stage === undefined) {
      this.graphTimes.push(this.now - (this.trace.graphs[graph]?.arrivesS ?? 0));
      return;
    }
    this.nextStage[graph] = stageIndex + 1;
    this.cotaskCount += 1;
    const id = `wk-${String(this.cotaskCount).padStart(6, '0')}` as JobId;
    this.waiting.push({ ...stage, id, arrivedS: this.now, left: stage.tasks, waiting: stage.tasks });
  }

  private place(): void {
    if (this.order === 'paper') this.placeByPlanner();
    else this.placeSorted(this.order === 'first-come' ? 'arrivedS' : 'estimateS');
  }

  private placeByPlanner(): void {
    const placed = planTasks({
      jobs: this.waiting
        .filter((cotask) => cotask.waiting > 0)
        .map((cotask, i) => jobViewOf(cotask, i, this.now)),
      machines: this.machines.map((tasks, i) => machineViewOf(tasks, i, this.now)),
      teams: [TEAM],
      starvationThresholdS: STARVATION_S,
      placeAheadS: 0,
      isCostAware: false,
      typicalTask: null,
    });
    const byId = new Map(this.waiting.map((cotask) => [cotask.id, cotask]));
    for (const taskStart of placed.starts) {
      const cotask = byId.get(taskStart.job);
      if (cotask !== undefined) this.start(cotask, Number(taskStart.machine.slice(2)));
    }
  }

  private placeSorted(key: 'arrivedS' | 'estimateS'): void {
    const sorted = [...this.waiting].sort((a, b) => a[key] - b[key] || a.arrivedS - b.arrivedS);
    for (const cotask of sorted)
      for (let machine = 0; machine < MACHINES && cotask.waiting > 0; machine += 1)
        while ((this.machines[machine] as Running[]).length < CPUS && cotask.waiting > 0)
          this.start(cotask, machine);
  }

  private start(cotask: Cotask, machine: number): void {
    cotask.waiting -= 1;
    (this.machines[machine] as Running[]).push({
      cotask,
      task: cotask.waiting,
      startS: this.now,
      endS: this.now + cotask.runS,
    });
  }
}

function mean(values: readonly number[]): number {
  return values.reduce((a, b) => a + b, 0) / values.length;
}

function jobViewOf(cotask: Cotask, order: number, now: number): JobView {
  const spec = jobSpec({
    id: cotask.id,
    tasks: cotask.tasks,
    cpus: 1,
    memoryGb: 1,
    imageGb: 0,
    estimateS: cotask.estimateS,
  });
  return {
    spec,
    pendingTasks: Array.from({ length: Math.min(200, cotask.waiting) }, (_, i) => i),
    pendingCount: cotask.waiting,
    unfinishedCount: cotask.left,
    placedZones: [],
    totalWaitS: (now - cotask.arrivedS) * cotask.waiting,
    ageS: now - cotask.arrivedS,
    estimateS: cotask.estimateS,
    completionMilestonesS: [],
    startMilestonesS: [],
    toleratedWaitS: 2,
    excludedMachines: new Set(),
    submissionOrder: order,
    isStartable: true,
  };
}

function machineViewOf(tasks: readonly Running[], machine: number, now: number): MachineView {
  const occupants = tasks.map((running): Occupant => {
    const ranS = now - running.startS;
    return {
      job: running.cotask.id,
      task: running.task,
      cpus: 1,
      gpus: 0,
      memoryGb: 1,
      remainingS: Math.max(
        0.5,
        running.cotask.estimateS - ranS,
        ranS * 0.25 * Number(ranS > running.cotask.estimateS),
      ),
      lostWorkS: ranS,
      priority: 'normal',
      team: TEAM.name,
      isStopping: false,
      isPreemptible: true,
    };
  });
  return {
    id: `n-${machine}` as MachineId,
    type: TYPE,
    zone: 'a',
    spot: false,
    isSchedulable: true,
    images: new Map([['img', 1]]),
    slowness: 1,
    occupants,
  };
}
