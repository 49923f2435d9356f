import type { Clock, MonotonicMs } from '@spurbridge/net';

/** Whether machines answer what this node asks or tells them directly. */
export class WorkerReachability {
  private answeredAt: MonotonicMs;
  /** Calls without an answer since one was answered. */
  private failed = 0;

  constructor(private readonly clock: Clock) {
    this.answeredAt = clock.now();
  }

  recordCall(isAnswered: boolean): void {
    if (isAnswered) {
      this.answeredAt = this.clock.now();
      this.failed = 0;
    } else this.failed += 1;
  }

  /** Whether this many calls in a row, and all for so long, were in vain. */
  isUnreachable(calls: number, forMs: number): boolean {
    return this.failed >= calls && this.clock.now() - this.answeredAt > forMs;
  }
}
