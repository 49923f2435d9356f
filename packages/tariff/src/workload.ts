/**
 * The load of admitted jobs on the cluster, which takes precedence over deferred jobs.
 *
 * @module
 */
import type { Job } from '@spurbridge/model';
import { effectiveCpus } from '@spurbridge/planner';
import type { MachineType } from '@spurbridge/wire';
import { isUrgent } from './eligibility.js';
import type { RunTimeEstimator } from './run-times.js';

/** Admitted work that is not done. */
export interface Backlog {
  readonly workCpuS: number;
  /** CPUs that it would use if all of it ran now. */
  readonly demandCpus: number;
}

/** Work of admitted jobs; all maps are by team. */
export interface Workload {
  readonly backlogs: ReadonlyMap<string, Backlog>;
  readonly totalBacklog: Backlog;
  /** CPUs that services use or wait for. */
  readonly serviceCpus: ReadonlyMap<string, number>;
  /** CPUs that other non-deferrable work uses now. */
  readonly urgentCpus: ReadonlyMap<string, number>;
}

interface MutableBacklog {
  workCpuS: number;
  demandCpus: number;
}

/**
 * Adds up the work of jobs.
 *
 * @param jobs those that are active and admitted
 */
export function measureWorkload(
  jobs: Iterable<Job>,
  types: readonly MachineType[],
  runTimesOf: (jobClass: string) => RunTimeEstimator,
): Workload {
  const backlogs = new Map<string, MutableBacklog>();
  const totalBacklog: MutableBacklog = { workCpuS: 0, demandCpus: 0 };
  const serviceCpus = new Map<string, number>();
  const urgentCpus = new Map<string, number>();
  for (const job of jobs) {
    const { spec } = job;
    const cpus = effectiveCpus(spec, types);
    if (spec.kind === 'service') {
      increase(serviceCpus, spec.team, cpus * spec.tasks);
      continue;
    }
    const tasksLeft = spec.tasks - job.doneCount;
    const workCpuS = cpus * tasksLeft * runTimesOf(spec.class).meanS(spec.estimateS);
    const backlog = backlogs.get(spec.team) ?? { workCpuS: 0, demandCpus: 0 };
    backlogs.set(spec.team, backlog);
    for (const sum of [backlog, totalBacklog]) {
      sum.workCpuS += workCpuS;
      sum.demandCpus += cpus * tasksLeft;
    }
    // Urgent work arrives continuously, so a similar amount is expected later, too.
    if (spec.deadlineS === null || isUrgent(spec))
      increase(urgentCpus, spec.team, cpus * job.placements.size);
  }
  return { backlogs, totalBacklog, serviceCpus, urgentCpus };
}

function increase(sums: Map<string, number>, key: string, amount: number): void {
  sums.set(key, (sums.get(key) ?? 0) + amount);
}
