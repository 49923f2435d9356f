import type { JobView, MachineView, Occupant, SchedulingPlan, ClusterSnapshot } from '@spurbridge/planner';
import { planTasks } from '@spurbridge/planner';
import { jobSpec, machineType } from '@spurbridge/testkit';
import type { JobId, MachineId } from '@spurbridge/wire';
import { parallel } from './parallel.js';

/** What waits: one job, a usual minute, a burst with hundreds of jobs behind it, or the moment after much came free. */
const LOADS = ['one', 'usual', 'burst', 'freed'] as const;
type Load = (typeof LOADS)[number];

export interface PlansPart {
  readonly machines: number;
  readonly load: Load;
}

interface PlansResult extends PlansPart {
  readonly jobs: number;
  readonly starts: number;
  readonly unmet: number;
  /** One core of this machine, warm; milliseconds. */
  readonly planMs: { readonly median: number; readonly most: number };
  readonly steps: number;
}

const SIZES = [100, 800, 1245, 3200, 12_800];
const ZONES = ['a', 'b', 'c'];
const TYPES = [machineType('s4', 4), machineType('m16', 16), machineType('l32', 32)];
const TEAMS = ['red', 'blue', 'green'];
const TIMES = 15;

const taskId = (n: number): JobId => `wk-${String(n).padStart(7, '0')}` as JobId;

/** A fleet of mostly full machines: replicas of services beside tasks that end one after another. */
function machinesOf(count: number, free: number): MachineView[] {
  return Array.from({ length: count }, (_, n) => {
    const type = TYPES[n % 7 === 0 ? 0 : n % 3 === 0 ? 2 : 1] as MachineView['type'];
    const occupants: Occupant[] = [];
    let cpus = n % free === 0 ? Math.floor(type.cpus / 2) : type.cpus;
    let k = 0;
    const add = (size: number, isService: boolean): void => {
      cpus -= size;
      occupants.push({
        job: taskId(1_000_000 + Math.floor((n * 8 + k) / 30)),
        task: (n * 8 + k) % 30,
        cpus: size,
        gpus: 0,
        memoryGb: size,
        remainingS: isService ? Infinity : 0.5 + ((n * 7 + k * 13) % 200) / 10,
        lostWorkS: (n * 5 + k * 3) % 20,
        priority: isService ? 'production' : 'normal',
        team: TEAMS[(n + k) % 3] as string,
        isStopping: false,
        isPreemptible: true,
      });
      k += 1;
    };
    if (cpus >= 8) for (let i = 0; i < 2; i += 1) add(2, true);
    while (cpus >= 4) add(4, false);
    return {
      id: `n-${String(n).padStart(6, '0')}` as MachineId,
      type,
      zone: ZONES[n % 3] as string,
      spot: n % 2 === 0,
      isSchedulable: true,
      images: new Map([[`img-${n % 12}`, 1]]),
      slowness: 1 + (n % 10) / 100,
      occupants,
    };
  });
}

function jobsOf(count: number): JobView[] {
  return Array.from({ length: count }, (_, i) => {
    const isService = i % 10 === 9;
    const tasks = isService ? 5 + (i % 7) : 10 + ((i * 17) % 50);
    const spec = jobSpec({
      id: taskId(i),
      kind: isService ? 'service' : 'array',
      team: TEAMS[i % 3] as string,
      priority: isService ? 'production' : 'normal',
      tasks,
      cpus: isService ? 2 : 4,
      memoryGb: 4,
      spot: !isService,
      spread: isService,
      image: `img-${i % 12}`,
      imageGb: 1.8,
      estimateS: isService ? 0 : 10 + ((i * 37) % 30),
      deadlineS: isService ? null : 120,
    });
    const ageS = (i * 11) % 60;
    return {
      spec,
      pendingTasks: Array.from({ length: tasks }, (_t, t) => t),
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

/** The same load for each machine at every size. */
function snapshotOf(p: PlansPart): ClusterSnapshot {
  const perMachine = { one: 0, usual: 0.006, burst: 0.25, freed: 0.06 }[p.load];
  const free = { one: 100, usual: 40, burst: 400, freed: 4 }[p.load];
  const cpus = p.machines * 16;
  return {
    machines: machinesOf(p.machines, free),
    jobs: jobsOf(Math.max(1, Math.round(p.machines * perMachine))),
    teams: TEAMS.map((name) => ({ name, cpus: cpus / 4, cpusMax: cpus, gpus: 0, gpusMax: 0 })),
    starvationThresholdS: 30,
    placeAheadS: 3,
    isCostAware: true,
    typicalTask: { cpus: 4, gpus: 0, memoryGb: 4 },
  };
}

export function plansPart(p: PlansPart): PlansResult {
  const s = snapshotOf(p);
  const took: number[] = [];
  let last: SchedulingPlan = planTasks(s);
  for (let i = 0; i < TIMES; i += 1) {
    const began = performance.now();
    last = planTasks(s);
    took.push(performance.now() - began);
  }
  took.sort((a, b) => a - b);
  const figure = (x: number | undefined): number => Number((x ?? 0).toFixed(2));
  return {
    ...p,
    jobs: s.jobs.length,
    starts: last.starts.length,
    unmet: last.unplacedDemand.length,
    planMs: { median: figure(took[TIMES >> 1]), most: figure(took.at(-1)) },
    steps: last.queueVisits,
  };
}

/** What one plan costs by the size of the fleet, with the same load for each machine. */
export async function measurePlans(say: (line: string) => void): Promise<unknown> {
  const parts = SIZES.flatMap((machines) => LOADS.map((load) => ({ machines, load })));
  return { simulated: true, results: await parallel('plans', parts, say) };
}
