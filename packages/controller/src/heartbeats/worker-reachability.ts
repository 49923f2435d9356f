/**
 * Tracks whether direct calls to workers succeed.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';

/** Tracks direct calls to all workers together: if all fail, this controller's own network is the likely cause. */
export class WorkerReachability {
  private lastSuccessAt: MonotonicMs;
  private consecutiveFailures = 0;

  constructor(private readonly clock: Clock) {
    this.lastSuccessAt = clock.now();
  }

  /** Records a direct call. */
  recordCall(isAnswered: boolean): void {
    if (isAnswered) {
      this.lastSuccessAt = this.clock.now();
      this.consecutiveFailures = 0;
    } else this.consecutiveFailures += 1;
  }

  /** Whether at least `minFailures` calls in a row failed, and none succeeded for more than `forMs` milliseconds. */
  isUnreachable(minFailures: number, forMs: number): boolean {
    return this.consecutiveFailures >= minFailures && this.clock.now() - this.lastSuccessAt > forMs;
  }
}
