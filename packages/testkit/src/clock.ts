import type { Clock, Ms } from '@spurbridge/net';

interface Timer {
  readonly at: number;
  readonly order: number;
  readonly run: () => void;
}

/** True time of a simulated world: timers run in order, and the code between them takes no time. */
export class SimTime {
  private nowMs = 0;
  private order = 0;
  private timers: Timer[] = [];

  get now(): number {
    return this.nowMs;
  }

  after(ms: number, run: () => void): void {
    const timer = { at: this.nowMs + Math.max(0, ms), order: this.order++, run };
    let low = 0;
    let high = this.timers.length;
    while (low < high) {
      const mid = (low + high) >> 1;
      const t = this.timers[mid] as Timer;
      if (t.at < timer.at || (t.at === timer.at && t.order < timer.order)) low = mid + 1;
      else high = mid;
    }
    this.timers.splice(low, 0, timer);
  }

  async run(untilMs: number): Promise<void> {
    for (;;) {
      const next = this.timers[0];
      if (next === undefined || next.at > untilMs) break;
      this.timers.shift();
      this.nowMs = next.at;
      next.run();
      await new Promise((resolve) => setImmediate(resolve));
    }
    this.nowMs = untilMs;
  }
}

/** The steady clock of one process, a little fast; a dead process never wakes. */
export class ProcessClock implements Clock {
  alive = true;

  constructor(
    private readonly time: SimTime,
    private readonly rate: number,
    private readonly offset: number,
  ) {}

  now(): Ms {
    return (this.time.now * this.rate + this.offset) as Ms;
  }

  sleep(ms: number): Promise<void> {
    return new Promise((resolve) => {
      this.time.after(ms / this.rate, () => {
        if (this.alive) resolve();
      });
    });
  }
}
