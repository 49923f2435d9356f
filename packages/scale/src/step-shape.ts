/**
 * Sizes of the regions of one step, derived from the options of the run.
 *
 * @module
 */
import type { Team } from '@spurbridge/model';
import { MACHINE_CPUS } from './cloud-server.js';
import type { RegionShape } from './controller-settings.js';
import { teamCpuLimit } from './controller-settings.js';
import type { ScaleOptions, Step } from './options.js';
import { CAPACITY_PLAN } from './options.js';
import type { WorkloadShape } from './workload.js';
import { JOBS_PER_REGION } from './workload.js';

/** Arrival rate of jobs at the peak, as a multiple of the daily mean (docs/CAPACITY.md). */
const PEAK_TO_MEAN_RATIO = 9;
const SECONDS_PER_DAY = 86_400;
/** Small steps keep the job arrival rate of a whole region and reduce the tasks per job, down to this number. */
const MIN_TASKS_PER_JOB = 10;

/** Computes the size and the load of each region of a step. */
export class StepShape {
  constructor(
    private readonly options: ScaleOptions,
    private readonly step: Step,
  ) {}

  /** Number of workers of one region, at least one for each zone. */
  get workers(): number {
    return Math.max(this.zonesOf(0).length, Math.round(this.perRegion(this.options.workers)));
  }

  /** Target rate of task starts in one region. */
  get startsPerS(): number {
    return this.perRegion(this.options.starts);
  }

  /** The teams of one region, with the limits that the rule checker applies. */
  get teams(): Team[] {
    const cpusMax = teamCpuLimit(this.workers * MACHINE_CPUS);
    return Array.from({ length: this.options.teams }, (_, n) => ({
      name: `team-${n}`,
      cpus: 0,
      cpusMax,
      gpus: 0,
      gpusMax: 0,
    }));
  }

  /** Size of the region with this number. */
  regionShape(region: number): RegionShape {
    const { nodes, teams } = this.options;
    return { region, zones: this.zonesOf(region), nodes, teams, workers: this.workers };
  }

  /** Parameters of the generated load of the region with this number. */
  workloadShape(region: number): WorkloadShape {
    const { seed, teams, running } = this.options;
    return {
      seed: seed + region,
      firstJob: region * JOBS_PER_REGION,
      teams,
      startsPerS: this.startsPerS,
      running: Math.round(this.perRegion(running)),
      jobsPerS: this.jobsPerS,
      zones: this.zonesOf(region),
    };
  }

  private get jobsPerS(): number {
    const peakRate = (CAPACITY_PLAN.jobsADay / this.options.regions / SECONDS_PER_DAY) * PEAK_TO_MEAN_RATIO;
    return Math.min(peakRate, this.startsPerS / MIN_TASKS_PER_JOB);
  }

  /** Scales a count of the whole deployment to one region of this step. */
  private perRegion(total: number): number {
    return (total / this.options.regions) * this.step.share;
  }

  private zonesOf(region: number): string[] {
    const count = Math.max(1, Math.floor(this.options.zones / this.options.regions));
    return Array.from({ length: count }, (_, zone) => `zone-${region}-${zone}`);
  }
}
