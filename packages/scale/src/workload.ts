/**
 * The generated jobs of one region. Every process generates the same jobs from the seed.
 *
 * @module
 */
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { JobId, JobSpec } from '@spurbridge/wire';

/** Parameters of the generated load of one region, given to every process of the run. */
export interface WorkloadShape {
  readonly seed: number;
  /** Number of the first job. It differs between the regions of a run, so that their job ids differ. */
  readonly firstJob: number;
  readonly teams: number;
  /** Target rate of task starts of job arrays. */
  readonly startsPerS: number;
  /** Target number of running tasks, including replicas of services. */
  readonly running: number;
  /** Arrival rate of jobs. */
  readonly jobsPerS: number;
  readonly zones: readonly string[];
}

/** Classes of generated jobs. */
export type JobClass = 'batch' | 'urgent' | 'gang' | 'service';

/** Share of service replicas among the running tasks. */
const SERVICE_SHARE = 0.2;
const REPLICAS = 10;
/** Shares of these classes among the arriving jobs; the others are batch arrays. */
const URGENT_SHARE = 0.5;
const GANG_SHARE = 0.02;
const URGENT_TASKS = 8;
const GANG_TASKS = 4;
const CANCEL_SHARE = 0.03;
const IMAGES = 24;
const IMAGE_GB = 0.5;
const TASK_CPUS = 1;
const TASK_MEMORY_GB = 2;
const SHARE_STEPS = 1_000_000;
const DISCARDED_DRAWS = 16;
/** Number of job numbers reserved for one region. Services that run from the start have those from `FIRST_SERVICE` on. */
export const JOBS_PER_REGION = 100_000;
const FIRST_SERVICE = 80_000;
/** Sizes of job arrays as multiples of the mean. A few large arrays hold most tasks, as in practice. */
const RELATIVE_ARRAY_SIZES = [0.05, 0.3, 0.6, 0.9, 1.2, 1.6, 2.35] as const;

const ID_PREFIX = 'wk-';
const ID_DIGITS = 7;

/** A sequence of random numbers that is determined by the seed and the index. */
class SeededDraw {
  private readonly generator;

  constructor(seed: number, index: number) {
    this.generator = xoroshiro128plus((seed * 7_919 + index * 104_729) | 0);
    // The first numbers are correlated with the seed, so adjacent indexes would get similar ones.
    for (let n = 0; n < DISCARDED_DRAWS; n += 1) this.generator.next();
  }

  /** A number from 0 up to, but not including, 1. */
  share(): number {
    return uniformInt(this.generator, 0, SHARE_STEPS - 1) / SHARE_STEPS;
  }

  /** A whole number from 0 to `count - 1`. */
  below(count: number): number {
    return uniformInt(this.generator, 0, count - 1);
  }
}

/** The jobs of one region. A job depends only on the seed and its number, so processes need not exchange jobs. */
export class Workload {
  private readonly specs = new Map<number, JobSpec>();

  constructor(readonly shape: WorkloadShape) {}

  /** Mean run time of a task of a job array, in seconds. */
  get meanRunS(): number {
    return (this.shape.running * (1 - SERVICE_SHARE)) / this.shape.startsPerS;
  }

  /** Mean number of tasks of a batch array, so that all classes together reach the target rate of task starts. */
  get meanTasks(): number {
    const { startsPerS, jobsPerS } = this.shape;
    const otherTasks = URGENT_SHARE * ((URGENT_TASKS + 1) / 2) + GANG_SHARE * GANG_TASKS;
    const batchShare = 1 - URGENT_SHARE - GANG_SHARE;
    return Math.max(1, (startsPerS / jobsPerS - otherTasks) / batchShare);
  }

  /** Services that run from the start. */
  services(): JobSpec[] {
    const count = Math.round((this.shape.running * SERVICE_SHARE) / REPLICAS);
    return Array.from({ length: count }, (_, n) => this.spec(this.shape.firstJob + FIRST_SERVICE + n));
  }

  /** The job that arrives at position `index`, counted from 0. */
  job(index: number): JobSpec {
    return this.spec(this.shape.firstJob + index);
  }

  /** The job with this id, or undefined if the workload has none. */
  find(id: JobId): JobSpec | undefined {
    const digits = id.slice(ID_PREFIX.length);
    if (!/^\d+$/.test(digits)) return undefined;
    const index = Number(digits) - this.shape.firstJob;
    return index >= 0 && index < JOBS_PER_REGION ? this.spec(Number(digits)) : undefined;
  }

  /** The class of the job with this number. */
  classOf(index: number): JobClass {
    if (index - this.shape.firstJob >= FIRST_SERVICE) return 'service';
    const share = new SeededDraw(this.shape.seed, index).share();
    if (share < URGENT_SHARE) return 'urgent';
    return share < URGENT_SHARE + GANG_SHARE ? 'gang' : 'batch';
  }

  private spec(index: number): JobSpec {
    let spec = this.specs.get(index);
    if (spec === undefined) {
      spec = this.generate(index);
      this.specs.set(index, spec);
    }
    return spec;
  }

  private generate(index: number): JobSpec {
    const kind = this.classOf(index);
    const draw = new SeededDraw(this.shape.seed + 1, index);
    const team = `team-${draw.below(this.shape.teams)}`;
    const runS = this.meanRunS * (0.5 + draw.share());
    const isService = kind === 'service';
    return {
      id: `${ID_PREFIX}${String(index).padStart(ID_DIGITS, '0')}` as JobId,
      class: kind,
      team,
      kind: isService ? 'service' : kind === 'gang' ? 'gang' : 'array',
      priority: isService || kind === 'urgent' ? 'production' : 'normal',
      tasks: this.tasksOf(kind, draw),
      cpus: TASK_CPUS,
      gpus: 0,
      memoryGb: TASK_MEMORY_GB,
      image: `image-${draw.below(IMAGES)}`,
      imageGb: IMAGE_GB,
      types: null,
      zone: null,
      oneZone: kind === 'gang',
      spread: isService,
      spot: false,
      estimateS: isService ? 0 : runS * (0.7 + 0.6 * draw.share()),
      checkpointS: 0,
      saveS: 0,
      deadlineS: null,
    };
  }

  private tasksOf(kind: JobClass, draw: SeededDraw): number {
    switch (kind) {
      case 'service':
        return REPLICAS;
      case 'gang':
        return GANG_TASKS;
      case 'urgent':
        return 1 + draw.below(URGENT_TASKS);
      case 'batch':
        return Math.max(
          1,
          Math.round(this.meanTasks * (RELATIVE_ARRAY_SIZES[draw.below(RELATIVE_ARRAY_SIZES.length)] ?? 1)),
        );
    }
  }

  /** Run time of a task in milliseconds, which is the same for all tasks of a gang. */
  runMs(spec: JobSpec, task: number): number {
    const index = Number(spec.id.slice(ID_PREFIX.length));
    const { meanRunS } = this;
    const draw = new SeededDraw(this.shape.seed + 2, index * 131 + (spec.kind === 'gang' ? 0 : task));
    return meanRunS * (0.5 + draw.share()) * 1000;
  }

  /** Milliseconds until the next job arrives; arrivals are a Poisson process. */
  interarrivalMs(index: number): number {
    const share = new SeededDraw(this.shape.seed + 3, index).share();
    return (-Math.log(1 - share) / this.shape.jobsPerS) * 1000;
  }

  /** Seconds after which the user cancels the job; null if never. */
  cancelAfterS(index: number): number | null {
    const draw = new SeededDraw(this.shape.seed + 4, index);
    return draw.share() < CANCEL_SHARE ? draw.share() * this.meanRunS : null;
  }
}
