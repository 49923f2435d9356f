/**
 * Whether direct calls to workers succeed.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';

/** Tracks the direct calls to all workers together: if none succeeds, this controller's own network is the likely cause. */
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

  /** Whether at least this many calls in a row failed, and none succeeded for longer than this (milliseconds). */
  isUnreachable(minFailures: number, forMs: number): boolean {
    return this.consecutiveFailures >= minFailures && this.clock.now() - this.lastSuccessAt > forMs;
  }
}
