/**
 * Estimates the resources, run times and finish time of a deferrable job.
 *
 * @module
 */
import type { ClusterState, LeaderTerm } from '@spurbridge/controller';
import { heartbeatTimeoutMs } from '@spurbridge/controller';
import type { Job, WallClockMs } from '@spurbridge/model';
import { fitsMachineType } from '@spurbridge/model';
import { effectiveCpus } from '@spurbridge/planner';
import type { JobSpec } from '@spurbridge/wire';
import type { TariffOptions } from './options.js';
import type { DeferrableJob } from './release-decision.js';
import type { TariffRepository } from './tariff-repository.js';

/** Nearly all boots and image fetches take at most this multiple of their nominal time. */
const SLOW_START_FACTOR = 1.6;
/** Time between the release of a job and its planning, in seconds. */
const PLANNING_S = 2;
/** Upper bound of the duration of a failover, in seconds. */
const FAILOVER_S = 12;
/** Assumed boot time of a machine if no suitable type states one, in seconds. */
const ASSUMED_BOOT_S = 60;

/** Inputs of an estimate apart from the job itself. */
export interface EstimateContext {
  /** Whether the job was deferred before. */
  readonly isWaiting: boolean;
  /** Index of the job's team. */
  readonly team: number;
  /** All zones, in the order of the prices. */
  readonly zones: readonly string[];
  readonly deadlineS: number;
}

/** Estimates jobs from the observations of their classes and from the operators' settings. */
export class JobEstimator {
  constructor(
    private readonly term: LeaderTerm,
    private readonly cluster: ClusterState,
    private readonly repository: TariffRepository,
    private readonly options: TariffOptions,
  ) {}

  /** The job as input of the release decision. */
  estimate(job: Job, { isWaiting, team, zones, deadlineS }: EstimateContext): DeferrableJob {
    const { spec } = job;
    const runTimes = this.repository.runTimes(spec.class);
    const taskRunTimeS = runTimes.quantileS(spec.estimateS, this.options.runTimeQuantile);
    const leadTimeS = this.leadTimeS(spec);
    const cpus = spec.tasks * effectiveCpus(spec, this.term.context.machineTypes());
    const lostRunS = taskRunTimeS + leadTimeS + heartbeatTimeoutMs(this.term.context.settings) / 1000;
    return {
      id: spec.id,
      deferred: isWaiting,
      team,
      priceIndex: spec.zone === null ? 0 : zones.indexOf(spec.zone) + 1,
      cpus,
      workCpuS: cpus * runTimes.meanS(spec.estimateS),
      taskRunTimeS,
      leadTimeS,
      marginS: FAILOVER_S + lostRunS * this.options.spareRuns,
      finishBy: this.finishBy(job, deadlineS),
      startBy: this.startBy(job),
    };
  }

  private submittedAt(job: Job): WallClockMs {
    const { wallNow, clock } = this.term.context;
    return (wallNow() - (clock.now() - job.submittedAt)) as WallClockMs;
  }

  /**
   * The time by which the job must complete: its deadline, or an objective of its class if that is sooner.
   */
  private finishBy(job: Job, deadlineS: number): WallClockMs {
    let withinS = deadlineS;
    for (const objective of this.term.context.configuration().objectives) {
      if (objective.class !== job.spec.class) continue;
      if (objective.kind === 'deadline' && objective.times !== null)
        withinS = Math.min(withinS, deadlineS * objective.times);
      if (objective.kind === 'finished' && objective.withinS !== null)
        withinS = Math.min(withinS, objective.withinS);
    }
    return (this.submittedAt(job) + withinS * 1000) as WallClockMs;
  }

  /** The time by which the job must start, if an objective of its class sets one. */
  private startBy(job: Job): WallClockMs | null {
    let withinS = Infinity;
    for (const objective of this.term.context.configuration().objectives)
      if (objective.class === job.spec.class && objective.kind === 'wait')
        withinS = Math.min(withinS, objective.withinS ?? Infinity);
    return withinS === Infinity ? null : ((this.submittedAt(job) + withinS * 1000) as WallClockMs);
  }

  /** Seconds from a job's release until its first task runs. */
  private leadTimeS(spec: JobSpec): number {
    const types = this.term.context.machineTypes().filter((type) => fitsMachineType(spec, type));
    // Machines boot for a job only if the fleet is scaled with the demand.
    const bootS = this.cluster.minimizesCost
      ? Math.max(...types.map((type) => type.bootS), 0) || ASSUMED_BOOT_S
      : 0;
    const fetchGbPerS = Math.min(...types.map((type) => type.fetchGbPerS), Infinity);
    const fetchS = fetchGbPerS > 0 && fetchGbPerS < Infinity ? spec.imageGb / fetchGbPerS : 0;
    return PLANNING_S + (bootS + fetchS) * SLOW_START_FACTOR;
  }
}
