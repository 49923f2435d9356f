import type { JobSpec } from '@spurbridge/wire';

const WEIGHT = 0.08;
const ENOUGH = 6;
const SIZES = 50;

/** Owners err systematically on some days: each class's estimates are corrected by what was seen. */
export class RuntimeEstimator {
  private readonly classes = new Map<string, { logRatio: number; samples: number }>();

  expectedRuntimeS(spec: JobSpec): number {
    const c = this.classes.get(spec.class);
    const ratio = c === undefined || c.samples < ENOUGH ? 1 : Math.exp(c.logRatio);
    return Math.max(0.5, spec.estimateS * ratio);
  }

  private readonly sizes: { cpus: number; gpus: number; memoryGb: number }[] = [];

  /** Called for every job that is not a service: what machines should keep room for. */
  observeTaskSize(spec: JobSpec): void {
    this.sizes.push({ cpus: spec.cpus, gpus: spec.gpus, memoryGb: spec.memoryGb });
    if (this.sizes.length > SIZES) this.sizes.shift();
  }

  typicalTask(): { cpus: number; gpus: number; memoryGb: number } | null {
    if (this.sizes.length === 0) return null;
    const sorted = [...this.sizes].sort((a, b) => a.cpus - b.cpus);
    return sorted[Math.floor(sorted.length / 2)] ?? null;
  }

  observeRuntime(spec: JobSpec, ranS: number): void {
    const seen = Math.log(Math.min(8, Math.max(0.125, ranS / Math.max(spec.estimateS, 0.5))));
    const c = this.classes.get(spec.class) ?? { logRatio: 0, samples: 0 };
    c.samples += 1;
    c.logRatio += (seen - c.logRatio) * Math.max(WEIGHT, 1 / (c.samples + 1));
    this.classes.set(spec.class, c);
  }
}
