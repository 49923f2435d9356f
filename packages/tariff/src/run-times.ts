/**
 * Run times of tasks relative to their owners' estimates.
 *
 * @module
 */
import { DDSketch, LogCollapsingLowestDenseDDSketch } from '@datadog/sketches-js';
import type { JobSpec } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';

const RELATIVE_ACCURACY = 0.05;
const MAX_BINS = 256;
/** Number of jobs in a generation; beyond it the older generation is dropped. */
const GENERATION_JOBS = 150;
/**
 * The prior of a class without observations: ratios of run time to estimate, each with a weight in jobs.
 * Owners' estimates are often wrong by half, sometimes by more, and on some days mostly too low.
 */
const PRIOR: readonly (readonly [ratio: number, weight: number])[] = [
  [0.5, 1],
  [0.75, 2],
  [1, 3],
  [1.5, 2.5],
  [2, 1],
  [2.5, 0.5],
];
const MIN_RATIO = 0.02;
const MAX_RATIO = 50;

type Sketch = Pick<DDSketch, 'accept' | 'merge' | 'getValueAtQuantile' | 'toProto' | 'count'>;

/** Sums of run time over estimate. */
interface RatioSums {
  readonly older: number;
  readonly younger: number;
}

function newSketch(): Sketch {
  return new LogCollapsingLowestDenseDDSketch({ relativeAccuracy: RELATIVE_ACCURACY, binLimit: MAX_BINS });
}

/**
 * Distribution of the run times of one class, as ratios to the estimates. It keeps two generations; when the
 * younger is full, the older is dropped.
 */
export class RunTimeEstimator {
  private older: Sketch = newSketch();
  private younger: Sketch = newSketch();
  private sums: RatioSums = { older: 0, younger: 0 };
  /** The merged distribution of both generations and the prior; null if it has to be recomputed. */
  private merged: Sketch | null = null;
  /** Whether there are observations that are not stored yet. */
  isDirty = false;

  /**
   * Records that a task of the job ran for `runTimeS` seconds. All tasks of one job share its estimation
   * error, so a job counts once.
   */
  observe(spec: JobSpec, runTimeS: number): void {
    if (spec.estimateS <= 0) return;
    const ratio = Math.min(MAX_RATIO, Math.max(MIN_RATIO, runTimeS / spec.estimateS));
    if (this.younger.count >= GENERATION_JOBS) {
      this.older = this.younger;
      this.sums = { older: this.sums.younger, younger: 0 };
      this.younger = newSketch();
    }
    const weight = 1 / spec.tasks;
    this.younger.accept(ratio, weight);
    this.sums = { ...this.sums, younger: this.sums.younger + ratio * weight };
    this.merged = null;
    this.isDirty = true;
  }

  private distribution(): Sketch {
    if (this.merged === null) {
      this.merged = newSketch();
      for (const [ratio, weight] of PRIOR) this.merged.accept(ratio, weight);
      this.merged.merge(this.older as DDSketch);
      this.merged.merge(this.younger as DDSketch);
    }
    return this.merged;
  }

  /** Upper bound of a task's run time in seconds that holds with the given probability. */
  quantileS(estimateS: number, probability: number): number {
    return this.distribution().getValueAtQuantile(probability) * estimateS;
  }

  /** Mean run time of a task in seconds. */
  meanS(estimateS: number): number {
    let sum = this.sums.older + this.sums.younger;
    for (const [ratio, weight] of PRIOR) sum += ratio * weight;
    return (sum / this.distribution().count) * estimateS;
  }

  /** The stored form. */
  encode(): Record<string, unknown> {
    const pack = (sketch: Sketch): string => Buffer.from(sketch.toProto()).toString('base64');
    return { older: pack(this.older), younger: pack(this.younger), sums: this.sums };
  }

  /**
   * Reads what `encode` wrote.
   *
   * @throws ValidationError naming the field
   */
  static decode(value: unknown): RunTimeEstimator {
    const fields = read.asObject(value, 'run times');
    const sums = read.asObject(fields['sums'], 'sums');
    const unpack = (field: string): DDSketch =>
      DDSketch.fromProto(Buffer.from(read.string(fields, field), 'base64'));
    const estimator = new RunTimeEstimator();
    estimator.older.merge(unpack('older'));
    estimator.younger.merge(unpack('younger'));
    estimator.sums = { older: read.amount(sums, 'older'), younger: read.amount(sums, 'younger') };
    return estimator;
  }
}
