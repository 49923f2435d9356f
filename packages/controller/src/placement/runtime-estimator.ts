/**
 * Estimates of how long tasks run and how large they are.
 *
 * @module
 */
import { plannedDurationS } from '@spurbridge/model';
import type { JobSpec } from '@spurbridge/wire';

/** Weight of a new observation in a class's mean after the first ones. */
const OBSERVATION_WEIGHT = 0.08;
/** Minimum number of observations before a class's estimates are corrected. */
const MIN_SAMPLES = 6;
/** Observed run times are clamped to this factor above and below the owner's estimate. */
const MAX_RATIO = 8;
/** Shortest estimate, in seconds. */
const MIN_RUNTIME_S = 0.5;
/** Number of most recent jobs whose median task is the typical one. */
const MAX_TASK_SIZES = 50;

/** Resources that one task takes. */
export interface TaskSize {
  readonly cpus: number;
  readonly gpus: number;
  readonly memoryGb: number;
}

/** Systematic deviation of a class's run times from their estimates. */
interface ClassBias {
  /** Mean logarithm of the run time over the estimate. */
  logRatio: number;
  samples: number;
}

/** Corrects the owners' estimates, which may be systematically wrong, using the observed run times of each class. */
export class RuntimeEstimator {
  private readonly biasByClass = new Map<string, ClassBias>();
  /** Sizes of the last jobs' tasks, the oldest first. */
  private readonly taskSizes: TaskSize[] = [];

  /** The expected run time of one of the job's tasks on a machine of usual speed, in seconds; at most `MAX_PLANNED_S`. */
  expectedRuntimeS(spec: JobSpec): number {
    const bias = this.biasByClass.get(spec.class);
    const ratio = bias === undefined || bias.samples < MIN_SAMPLES ? 1 : Math.exp(bias.logRatio);
    return Math.max(MIN_RUNTIME_S, plannedDurationS(spec.estimateS * ratio));
  }

  /** Records the run time of a task that has ended, in seconds on a machine of usual speed. */
  observeRuntime(spec: JobSpec, ranS: number): void {
    const ratio = ranS / Math.max(spec.estimateS, MIN_RUNTIME_S);
    const logRatio = Math.log(Math.min(MAX_RATIO, Math.max(1 / MAX_RATIO, ratio)));
    const bias = this.biasByClass.get(spec.class) ?? { logRatio: 0, samples: 0 };
    bias.samples += 1;
    bias.logRatio += (logRatio - bias.logRatio) * Math.max(OBSERVATION_WEIGHT, 1 / (bias.samples + 1));
    this.biasByClass.set(spec.class, bias);
  }

  /** Records the size of a job's tasks. Called for every job that is not a service. */
  observeTaskSize({ cpus, gpus, memoryGb }: JobSpec): void {
    this.taskSizes.push({ cpus, gpus, memoryGb });
    if (this.taskSizes.length > MAX_TASK_SIZES) this.taskSizes.shift();
  }

  /** The median task by CPUs, for which machines should reserve resources; null before any job was observed. */
  typicalTask(): TaskSize | null {
    const sorted = [...this.taskSizes].sort((left, right) => left.cpus - right.cpus);
    return sorted[Math.floor(sorted.length / 2)] ?? null;
  }
}
