/**
 * The recent demand for CPUs, which determines the fleet's target size.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import type { UnplacedDemand } from '@spurbridge/planner';
import { effectiveCpus } from '@spurbridge/planner';
import type { JobSpec, MachineType } from '@spurbridge/wire';
import type { ClusterState } from '../jobs/cluster-state.js';

const WINDOW_MS = 40_000;
/** The target exceeds the recent demand by this factor. */
const HEADROOM_FACTOR = 1.1;
/**
 * Limit on the capacity reserved for replacing the replicas of a lost machine, as a share of the on-demand CPUs in use.
 */
const MAX_RESERVE_SHARE = 0.1;

/** Demand for CPUs across the whole fleet. */
export interface CpuDemand {
  /** The total demand. */
  readonly cpus: number;
  /** The part of the demand that comes from jobs that may not run on spot machines. */
  readonly onDemandCpus: number;
}

/** Recent samples of the demand. */
export class DemandHistory {
  private readonly samples: (CpuDemand & { readonly at: MonotonicMs })[] = [];

  constructor(
    private readonly cluster: ClusterState,
    private readonly machineTypes: () => readonly MachineType[],
  ) {}

  /** Adds a sample: the placed demand, and the unplaced demand that quotas would allow. */
  record(unplaced: readonly UnplacedDemand[], now: MonotonicMs): void {
    const types = this.machineTypes();
    let cpus = 0;
    let onDemandCpus = 0;
    const add = (spec: JobSpec, taskCount: number): void => {
      const needed = taskCount * effectiveCpus(spec, types);
      cpus += needed;
      if (!spec.spot) onDemandCpus += needed;
    };
    for (const job of this.cluster.jobs.values())
      if (job.placements.size > 0) add(job.spec, job.placements.size);
    for (const demand of unplaced) if (demand.isWithinLimit) add(demand.job.spec, demand.taskCount);
    this.samples.push({ at: now, cpus, onDemandCpus });
    while ((this.samples[0]?.at ?? now) < now - WINDOW_MS) this.samples.shift();
  }

  /** The target size of the fleet: the mean of the total demand, but the peak of the demand for on-demand machines. */
  target(): CpuDemand {
    let cpus = 0;
    let peak = 0;
    for (const sample of this.samples) {
      cpus += sample.cpus;
      peak = Math.max(peak, sample.onDemandCpus);
    }
    return {
      cpus: (cpus / Math.max(1, this.samples.length)) * HEADROOM_FACTOR,
      onDemandCpus: peak * HEADROOM_FACTOR + Math.min(this.reserveCpus(), peak * MAX_RESERVE_SHARE),
    };
  }

  /** Whether a service that needs on-demand machines spreads over the zones. */
  spreadsOverZones(): boolean {
    for (const { spec, state } of this.cluster.jobs.values())
      if (state === 'active' && spec.kind === 'service' && spec.spread && !spec.spot) return true;
    return false;
  }

  /** The CPUs that the loss of one machine would displace: the most that services use on any machine. */
  private reserveCpus(): number {
    const types = this.machineTypes();
    let maxCpus = 0;
    for (const machine of this.cluster.machines.values()) {
      if (machine.spot || machine.state !== 'ready') continue;
      let cpus = 0;
      for (const { job } of this.cluster.tasksOn(machine.id))
        if (job.spec.kind === 'service') cpus += effectiveCpus(job.spec, types);
      maxCpus = Math.max(maxCpus, cpus);
    }
    return maxCpus;
  }
}
