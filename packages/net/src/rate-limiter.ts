/**
 * A token bucket with priorities, by which a process keeps within a request limit that it shares with others.
 *
 * @module
 */
import type { Clock } from './clock.js';

/** Priority of a request; lower is more urgent. */
export type RequestPriority = 0 | 1 | 2 | 3;

/** The priorities by name. */
export const REQUEST_PRIORITY = { critical: 0, high: 1, normal: 2, low: 3 } as const;

/** The part of the bucket that each step of priority leaves to more urgent requests. */
const RESERVE_PER_STEP = 0.15;
/** The most urgent may overdraw by one request: a lease renewal late by one token would cost the lease. */
const CRITICAL_OVERDRAFT = 1;
const MS_PER_SECOND = 1000;

/** Grants requests at a steady rate with bursts. It never waits: a caller that is refused retries later or responds 503. */
export class RateLimiter {
  private tokens: number;
  private refilledAt: number;

  constructor(
    private readonly clock: Clock,
    private readonly perSecond: number,
    private readonly burst = perSecond,
  ) {
    this.tokens = burst;
    this.refilledAt = clock.now();
  }

  /** Takes so many tokens from the bucket; false, and nothing taken, where too few would be left for more urgent requests. */
  tryAcquire(amount: number, priority: RequestPriority): boolean {
    this.refill();
    const floor =
      priority === REQUEST_PRIORITY.critical ? -CRITICAL_OVERDRAFT : this.burst * RESERVE_PER_STEP * priority;
    // A request larger than what lies above the floor is granted from a full bucket.
    if (this.tokens - amount < Math.min(floor, this.burst - amount)) return false;
    this.tokens -= amount;
    return true;
  }

  /** Empties the bucket, after a response of 429: others have used up the shared limit. */
  drain(): void {
    this.refill();
    this.tokens = Math.min(this.tokens, 0);
  }

  private refill(): void {
    const now = this.clock.now();
    const gained = ((now - this.refilledAt) / MS_PER_SECOND) * this.perSecond;
    this.tokens = Math.min(this.burst, this.tokens + gained);
    this.refilledAt = now;
  }
}
