import { DDSketch, LogCollapsingLowestDenseDDSketch } from '@datadog/sketches-js';
import type { JobSpec } from '@spurbridge/wire';
import { read } from '@spurbridge/wire';

const ACCURACY = 0.05;
const MOST_BINS = 256;
/** Jobs after which the older half of what was learned is let go. */
const GENERATION_JOBS = 150;
/**
 * What is believed of a class before anything was seen: owners' estimates are often wrong by half, sometimes
 * by more, and on some days mostly too low (PROTOCOL, `guessS`). Run time over estimate, and weight in jobs.
 */
const PRIOR: readonly (readonly [number, number])[] = [
  [0.5, 1],
  [0.75, 2],
  [1, 3],
  [1.5, 2.5],
  [2, 1],
  [2.5, 0.5],
];
const LEAST_RATIO = 0.02;
const MOST_RATIO = 50;

type Sketch = Pick<DDSketch, 'accept' | 'merge' | 'getValueAtQuantile' | 'toProto' | 'count'>;

function sketch(): Sketch {
  return new LogCollapsingLowestDenseDDSketch({ relativeAccuracy: ACCURACY, binLimit: MOST_BINS });
}

/** What is known of one class: two generations, of which the older is let go when the younger is full. */
export class RunTimeEstimator {
  private older: Sketch = sketch();
  private younger: Sketch = sketch();
  /** Sum of run time over estimate, for the mean. */
  private sums = { older: 0, younger: 0 };
  private all: Sketch | null = null;
  isDirty = false;

  /** A task of a job of `tasks` tasks ran `ranS` where `estimateS` was stated: tasks share one job's error. */
  observe(spec: JobSpec, ranS: number): void {
    if (spec.estimateS <= 0) return;
    const ratio = Math.min(MOST_RATIO, Math.max(LEAST_RATIO, ranS / spec.estimateS));
    if (this.younger.count >= GENERATION_JOBS) {
      this.older = this.younger;
      this.sums = { older: this.sums.younger, younger: 0 };
      this.younger = sketch();
    }
    const weight = 1 / spec.tasks;
    this.younger.accept(ratio, weight);
    this.sums.younger += ratio * weight;
    this.all = null;
    this.isDirty = true;
  }

  private merged(): Sketch {
    if (this.all === null) {
      this.all = sketch();
      for (const [ratio, weight] of PRIOR) this.all.accept(ratio, weight);
      this.all.merge(this.older as DDSketch);
      this.all.merge(this.younger as DDSketch);
    }
    return this.all;
  }

  /** Seconds that a task takes at most, with the given probability. */
  quantileS(estimateS: number, probability: number): number {
    return this.merged().getValueAtQuantile(probability) * estimateS;
  }

  /** Seconds that a task takes on average. */
  meanS(estimateS: number): number {
    let sum = this.sums.older + this.sums.younger;
    for (const [ratio, weight] of PRIOR) sum += ratio * weight;
    return (sum / this.merged().count) * estimateS;
  }

  encode(): Record<string, unknown> {
    const pack = (s: Sketch): string => Buffer.from(s.toProto()).toString('base64');
    return { older: pack(this.older), younger: pack(this.younger), sums: this.sums };
  }

  static decode(value: unknown): RunTimeEstimator {
    const o = read.asObject(value, 'run times');
    const sums = read.asObject(o['sums'], 'sums');
    const r = new RunTimeEstimator();
    r.older.merge(DDSketch.fromProto(Buffer.from(read.string(o, 'older'), 'base64')));
    r.younger.merge(DDSketch.fromProto(Buffer.from(read.string(o, 'younger'), 'base64')));
    r.sums = { older: read.amount(sums, 'older'), younger: read.amount(sums, 'younger') };
    return r;
  }
}
