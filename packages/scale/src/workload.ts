import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { JobId, JobSpec } from '@spurbridge/wire';

/** What is drawn in one region, as every process of the run is told it. */
export interface WorkloadShape {
  readonly seed: number;
  /** Number of the first job: regions of one run differ in it, and so in the ids of their jobs. */
  readonly firstJob: number;
  readonly teams: number;
  /** Tasks of arrays that are to start each second. */
  readonly startsPerS: number;
  /** Tasks that are to run at once, replicas of services among them. */
  readonly running: number;
  /** Jobs a second. */
  readonly jobsPerS: number;
  readonly zones: readonly string[];
}

export type JobClass = 'batch' | 'urgent' | 'gang' | 'service';

/** Replicas of services, of all that runs. */
const SERVICE_SHARE = 0.2;
const REPLICAS = 10;
/** Of the jobs that come. */
const URGENT_SHARE = 0.5;
const GANG_SHARE = 0.02;
const URGENT_TASKS = 8;
const GANG_TASKS = 4;
const CANCEL_SHARE = 0.03;
const IMAGES = 24;
const IMAGE_GB = 0.5;
const TASK_CPUS = 1;
const TASK_MEMORY_GB = 2;
const GRAIN = 1_000_000;
const WARM_DRAWS = 16;
/** Numbers of jobs of one region; the services that stand there from the start have the last ones. */
export const JOBS_A_REGION = 100_000;
const FIRST_SERVICE = 80_000;
/** Sizes of arrays, as multiples of the mean: few large ones hold most tasks, as in a real day. */
const SIZES = [0.05, 0.3, 0.6, 0.9, 1.2, 1.6, 2.35] as const;

const ID_PREFIX = 'wk-';
const ID_DIGITS = 7;

/** Draws numbers for one thing: the same seed and index always draw the same. */
class Draw {
  private readonly generator;

  constructor(seed: number, index: number) {
    this.generator = xoroshiro128plus((seed * 7_919 + index * 104_729) | 0);
    // Its first numbers follow the seed: neighbours would draw alike.
    for (let n = 0; n < WARM_DRAWS; n += 1) this.generator.next();
  }

  /** A number from 0 to 1. */
  share(): number {
    return uniformInt(this.generator, 0, GRAIN - 1) / GRAIN;
  }

  below(count: number): number {
    return uniformInt(this.generator, 0, count - 1);
  }
}

/** The jobs of one region: each is drawn from the seed and its number alone, so that no process has to be told of it. */
export class Workload {
  private readonly drawn = new Map<number, JobSpec>();

  constructor(readonly shape: WorkloadShape) {}

  /** Mean run time of a task of an array, in seconds. */
  get meanRunS(): number {
    return (this.shape.running * (1 - SERVICE_SHARE)) / this.shape.startsPerS;
  }

  /** Mean number of tasks of a usual array, so that all classes together start as many as asked. */
  get meanTasks(): number {
    const { startsPerS, jobsPerS } = this.shape;
    const small = URGENT_SHARE * ((URGENT_TASKS + 1) / 2) + GANG_SHARE * GANG_TASKS;
    const usual = 1 - URGENT_SHARE - GANG_SHARE;
    return Math.max(1, (startsPerS / jobsPerS - small) / usual);
  }

  /** Services that run from the start. */
  services(): JobSpec[] {
    const count = Math.round((this.shape.running * SERVICE_SHARE) / REPLICAS);
    return Array.from({ length: count }, (_, n) => this.spec(this.shape.firstJob + FIRST_SERVICE + n));
  }

  /** The job that comes as number `index`, from 0 on. */
  job(index: number): JobSpec {
    return this.spec(this.shape.firstJob + index);
  }

  /** The job of that id, or undefined where none of this workload has it. */
  find(id: JobId): JobSpec | undefined {
    const digits = id.slice(ID_PREFIX.length);
    if (!/^\d+$/.test(digits)) return undefined;
    const index = Number(digits) - this.shape.firstJob;
    return index >= 0 && index < JOBS_A_REGION ? this.spec(Number(digits)) : undefined;
  }

  classOf(index: number): JobClass {
    if (index - this.shape.firstJob >= FIRST_SERVICE) return 'service';
    const share = new Draw(this.shape.seed, index).share();
    if (share < URGENT_SHARE) return 'urgent';
    return share < URGENT_SHARE + GANG_SHARE ? 'gang' : 'batch';
  }

  private spec(index: number): JobSpec {
    let spec = this.drawn.get(index);
    if (spec === undefined) {
      spec = this.draw(index);
      this.drawn.set(index, spec);
    }
    return spec;
  }

  private draw(index: number): JobSpec {
    const kind = this.classOf(index);
    const draw = new Draw(this.shape.seed + 1, index);
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

  private tasksOf(kind: JobClass, draw: Draw): number {
    switch (kind) {
      case 'service':
        return REPLICAS;
      case 'gang':
        return GANG_TASKS;
      case 'urgent':
        return 1 + draw.below(URGENT_TASKS);
      case 'batch':
        return Math.max(1, Math.round(this.meanTasks * (SIZES[draw.below(SIZES.length)] ?? 1)));
    }
  }

  /** How long a task really runs, in milliseconds; a gang's tasks all run alike. */
  runMs(spec: JobSpec, task: number): number {
    const index = Number(spec.id.slice(ID_PREFIX.length));
    const { meanRunS } = this;
    const own = new Draw(this.shape.seed + 2, index * 131 + (spec.kind === 'gang' ? 0 : task));
    return meanRunS * (0.5 + own.share()) * 1000;
  }

  /** Milliseconds until the next job comes: arrivals are independent of each other. */
  gapMs(index: number): number {
    const share = new Draw(this.shape.seed + 3, index).share();
    return (-Math.log(1 - share) / this.shape.jobsPerS) * 1000;
  }

  /** After how many seconds its user cancels the job; null: never. */
  cancelAfterS(index: number): number | null {
    const draw = new Draw(this.shape.seed + 4, index);
    return draw.share() < CANCEL_SHARE ? draw.share() * this.meanRunS : null;
  }
}
