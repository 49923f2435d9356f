import { performance } from 'node:perf_hooks';

/** Time as a stand-in sees it: simulated, or that of this machine. */
export interface Timeline {
  /** Milliseconds on a clock that never goes back. */
  readonly now: number;
  /** Runs the callback once, so many milliseconds from now. */
  after(ms: number, run: () => void): void;
}

/** The machine's monotonic clock: the same for all of its processes, so that their events can be put in order. */
export class MonotonicTimeline implements Timeline {
  private readonly originMs = Number(process.hrtime.bigint()) / 1e6 - performance.now();

  get now(): number {
    return this.originMs + performance.now();
  }

  after(ms: number, run: () => void): void {
    setTimeout(run, Math.max(0, ms));
  }
}
