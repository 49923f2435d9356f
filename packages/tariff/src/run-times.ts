/**
 * How long tasks run compared with what their owners estimate.
 *
 * @module
 */
import { DDSketch, LogCollapsingLowestDenseDDSketch } from '@datadog/sketches-js';
import type { JobSpec } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';

const RELATIVE_ACCURACY = 0.05;
const MAX_BINS = 256;
/** Jobs after which the older half of what was observed is dropped. */
const GENERATION_JOBS = 150;
/**
 * What is assumed of a class before anything was observed: owners' estimates are often wrong by half,
 * sometimes by more, and on some days mostly too low. Run time over estimate, and weight in jobs.
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
 * Distribution of the run times of one class, as ratios to the estimates. It holds two generations, of which
 * the older is dropped when the younger is full.
 */
export class RunTimeEstimator {
  private older: Sketch = newSketch();
  private younger: Sketch = newSketch();
  private sums: RatioSums = { older: 0, younger: 0 };
  /** Both generations and the prior; null where it is to be made anew. */
  private merged: Sketch | null = null;
  /** Whether something was observed that is not stored. */
  isDirty = false;

  /**
   * A task of the job ran for `runTimeS` seconds. All tasks of one job share its error, so a job counts once.
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

  /** Seconds that a task takes at most, with the given probability. */
  quantileS(estimateS: number, probability: number): number {
    return this.distribution().getValueAtQuantile(probability) * estimateS;
  }

  /** Seconds that a task takes on average. */
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
   * @throws MalformedError naming the field
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
