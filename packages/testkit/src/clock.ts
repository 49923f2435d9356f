/**
 * Simulated time, and the clocks of simulated processes.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { BinaryHeap } from '@spurbridge/planner';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

function byTime(a: Timer, b: Timer): number {
  return a.at - b.at || a.order - b.order;
}

/** The time of a simulated environment: timers run in order, and the code that they run takes no time. */
export class SimTime {
  private nowMs = 0;
  private order = 0;
  private readonly timers = new BinaryHeap<Timer>(byTime);

  /** Milliseconds since the simulation began. */
  get now(): number {
    return this.nowMs;
  }

  /**
   * Calls back once, after this many milliseconds; timers for the same moment run in the order in which they
   * were set.
   */
  after(ms: number, run: () => void): void {
    this.timers.push({ at: this.nowMs + Math.max(0, ms), order: this.order++, run });
  }

  /** Runs all timers that are due by `untilMs`; promises settle after each timer. */
  async runUntil(untilMs: number): Promise<void> {
    for (;;) {
      const next = this.timers.peek();
      if (next === undefined || next.at > untilMs) break;
      this.timers.pop();
      this.nowMs = next.at;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.nowMs = untilMs;
  }
}

/** The monotonic clock of one process, which runs slightly fast; timers of an ended process never fire. */
export class ProcessClock implements Clock {
  /** False once the process has ended. */
  alive = true;
  /** The process is suspended until this simulated time, while its clock continues to run. */
  private frozenUntil = 0;

  constructor(
    private readonly time: SimTime,
    private readonly rate: number,
    private readonly offset: number,
  ) {}

  /** The time in milliseconds on this clock. */
  now(): MonotonicMs {
    return (this.time.now * this.rate + this.offset) as MonotonicMs;
  }

  /** Suspends the process until this simulated time; its timers fire late. */
  freeze(untilMs: number): void {
    this.frozenUntil = Math.max(this.frozenUntil, untilMs);
  }

  /** Resolves after this time on this clock, or never if the process has ended. */
  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      const wake = (): void => {
        if (this.time.now < this.frozenUntil) this.time.after(this.frozenUntil - this.time.now, wake);
        else if (this.alive) resolve();
      };
      this.time.after(ms / this.rate, wake);
    });
  }
}
