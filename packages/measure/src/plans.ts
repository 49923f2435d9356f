/**
 * Measures the time of one scheduling plan by the size of the fleet.
 *
 * @module
 */
import type { JobView, MachineView, Occupant, SchedulingPlan, ClusterSnapshot } from '@spurbridge/planner';
import { planTasks } from '@spurbridge/planner';
import { jobSpec, machineType } from '@spurbridge/testkit';
import type { JobId, MachineId } from '@spurbridge/wire';
import { runPartsInParallel } from './parallel.js';

/** Pending work: one job, the usual load, a burst of hundreds of jobs, or the load right after much capacity was freed. */
const LOADS = ['one', 'usual', 'burst', 'freed'] as const;
type Load = (typeof LOADS)[number];

/** One size of the fleet under one load. */
export interface PlansPart {
  readonly machines: number;
  readonly load: Load;
}

interface PlansResult extends PlansPart {
  readonly jobs: number;
  readonly starts: number;
  readonly unmet: number;
  /** Milliseconds of a plan on one core of this machine, without the first one, which warms up the code. */
  readonly planMs: { readonly median: number; readonly most: number };
  readonly steps: number;
}

const SIZES = [100, 800, 1000, 1245, 3200, 4000, 12_800];
const ZONES = ['a', 'b', 'c'];
const TYPES = [machineType('s4', 4), machineType('m16', 16), machineType('l32', 32)];
const TEAMS = ['red', 'blue', 'green'];
const REPETITIONS = 15;
const IMAGES = 12;
/** First number of the running jobs, greater than the numbers of all pending ones. */
const FIRST_RUNNING_JOB = 1_000_000;
const TASKS_PER_RUNNING_JOB = 30;

const jobId = (jobNumber: number): JobId => `wk-${String(jobNumber).padStart(7, '0')}` as JobId;

/** Two service replicas on machines that are large enough, and array tasks on the remaining CPUs. */
function occupantsOf(machine: number, cpus: number): Occupant[] {
  const occupants: Occupant[] = [];
  let freeCpus = cpus;
  const add = (size: number, isService: boolean): void => {
    const slot = occupants.length;
    const running = machine * 8 + slot;
    freeCpus -= size;
    occupants.push({
      job: jobId(FIRST_RUNNING_JOB + Math.floor(running / TASKS_PER_RUNNING_JOB)),
      task: running % TASKS_PER_RUNNING_JOB,
      cpus: size,
      gpus: 0,
      memoryGb: size,
      remainingS: isService ? Infinity : 0.5 + ((machine * 7 + slot * 13) % 200) / 10,
      lostWorkS: (machine * 5 + slot * 3) % 20,
      priority: isService ? 'production' : 'normal',
      team: TEAMS[(machine + slot) % TEAMS.length] as string,
      isStopping: false,
      isPreemptible: true,
    });
  };
  if (freeCpus >= 8) for (let i = 0; i < 2; i += 1) add(2, true);
  while (freeCpus >= 4) add(4, false);
  return occupants;
}

/** A fleet of full machines, except that one out of `halfFreeEvery` has half of its CPUs free. */
function machinesOf(count: number, halfFreeEvery: number): MachineView[] {
  return Array.from({ length: count }, (_, index) => {
    const type = TYPES[index % 7 === 0 ? 0 : index % 3 === 0 ? 2 : 1] as MachineView['type'];
    const usedCpus = index % halfFreeEvery === 0 ? Math.floor(type.cpus / 2) : type.cpus;
    return {
      id: `n-${String(index).padStart(6, '0')}` as MachineId,
      type,
      zone: ZONES[index % ZONES.length] as string,
      spot: index % 2 === 0,
      isSchedulable: true,
      images: new Map([[`img-${index % IMAGES}`, 1]]),
      slowness: 1 + (index % 10) / 100,
      occupants: occupantsOf(index, usedCpus),
    };
  });
}

function jobsOf(count: number): JobView[] {
  return Array.from({ length: count }, (_, i) => {
    const isService = i % 10 === 9;
    const tasks = isService ? 5 + (i % 7) : 10 + ((i * 17) % 50);
    const spec = jobSpec({
      id: jobId(i),
      kind: isService ? 'service' : 'array',
      team: TEAMS[i % 3] as string,
      priority: isService ? 'production' : 'normal',
      tasks,
      cpus: isService ? 2 : 4,
      memoryGb: 4,
      spot: !isService,
      spread: isService,
      image: `img-${i % IMAGES}`,
      imageGb: 1.8,
      estimateS: isService ? 0 : 10 + ((i * 37) % 30),
      deadlineS: isService ? null : 120,
    });
    const ageS = (i * 11) % 60;
    return {
      spec,
      pendingTasks: Array.from({ length: tasks }, (_t, task) => task),
      pendingCount: tasks,
      unfinishedCount: tasks,
      placedZones: [],
      totalWaitS: ageS * tasks,
      ageS,
      estimateS: Math.max(0.5, spec.estimateS),
      completionMilestonesS: isService ? [] : [120, 180],
      startMilestonesS: isService ? [4] : [70],
      toleratedWaitS: isService ? 4 : 2,
      excludedMachines: new Set(),
      submissionOrder: i,
      isStartable: true,
    };
  });
}

/** A cluster whose load per machine is the same at every size. */
function snapshotOf(part: PlansPart): ClusterSnapshot {
  const perMachine = { one: 0, usual: 0.006, burst: 0.25, freed: 0.06 }[part.load];
  const halfFreeEvery = { one: 100, usual: 40, burst: 400, freed: 4 }[part.load];
  const cpus = part.machines * 16;
  return {
    machines: machinesOf(part.machines, halfFreeEvery),
    jobs: jobsOf(Math.max(1, Math.round(part.machines * perMachine))),
    teams: TEAMS.map((name) => ({ name, cpus: cpus / 4, cpusMax: cpus, gpus: 0, gpusMax: 0 })),
    starvationThresholdS: 30,
    placeAheadS: 3,
    isCostAware: true,
    typicalTask: { cpus: 4, gpus: 0, memoryGb: 4 },
  };
}

/** Measures the plans of one part. */
export function plansPart(part: PlansPart): PlansResult {
  const snapshot = snapshotOf(part);
  const took: number[] = [];
  let last: SchedulingPlan = planTasks(snapshot);
  for (let i = 0; i < REPETITIONS; i += 1) {
    const began = performance.now();
    last = planTasks(snapshot);
    took.push(performance.now() - began);
  }
  took.sort((a, b) => a - b);
  const figure = (value: number | undefined): number => Number((value ?? 0).toFixed(2));
  return {
    ...part,
    jobs: snapshot.jobs.length,
    starts: last.starts.length,
    unmet: last.unplacedDemand.length,
    planMs: { median: figure(took[REPETITIONS >> 1]), most: figure(took.at(-1)) },
    steps: last.queueVisits,
  };
}

/** Measures the time of one plan by the size of the fleet, with the same load per machine. */
export async function measurePlans(printLine: (line: string) => void): Promise<unknown> {
  const parts = SIZES.flatMap((machines) => LOADS.map((load) => ({ machines, load })));
  return { simulated: true, results: await runPartsInParallel('plans', parts, printLine) };
}
