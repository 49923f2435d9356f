import type { Clock } from './clock.js';

/** Lower is more urgent. */
export type RequestPriority = 0 | 1 | 2 | 3;

/**
 * A token bucket with priorities: less urgent work must leave a part of the bucket to the urgent.
 * `take` never waits; a caller refused here tries again later or answers 503.
 */
export class RateLimiter {
  private tokens: number;
  private at: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst = perSecond,
  ) {
    this.tokens = burst;
    this.at = clock.now();
  }

  private refill(): void {
    const now = this.clock.now();
    this.tokens = Math.min(this.burst, this.tokens + ((now - this.at) / 1000) * this.perSecond);
    this.at = now;
  }

  tryAcquire(amount: number, urgency: RequestPriority): boolean {
    this.refill();
    const reserve = this.burst * 0.15 * urgency;
    // The most urgent may overdraw by one request: a renewal late by a token would cost the lease.
    const floor = urgency === 0 ? -1 : reserve;
    if (this.tokens - amount < Math.min(floor, this.burst - amount)) return false;
    this.tokens -= amount;
    return true;
  }

  /** After a 429 from the other side: the shared limit is used up by others. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }
}
