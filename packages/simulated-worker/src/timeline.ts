/**
 * The time source of simulated components: simulated time, or the clock of this machine.
 *
 * @module
 */
import { performance } from 'node:perf_hooks';

const NANOSECONDS_PER_MS = 1e6;

/** A monotonic clock with timers. */
export interface Timeline {
  /** Monotonic time in milliseconds. */
  readonly now: number;
  /** Runs the callback once, this many milliseconds from now. */
  after(ms: number, run: () => void): void;
}

/**
 * The machine's monotonic clock, which is the same for all its processes, so that their events can be
 * ordered.
 */
export class MonotonicTimeline implements Timeline {
  private readonly originMs = Number(process.hrtime.bigint()) / NANOSECONDS_PER_MS - performance.now();

  get now(): number {
    return this.originMs + performance.now();
  }

  after(ms: number, run: () => void): void {
    setTimeout(run, Math.max(0, ms));
  }
}
