/**
 * A token bucket with priorities, which keeps a process within its share of a shared request limit.
 *
 * @module
 */
import type { Clock } from './clock.js';

/** Priority of a request; lower is more urgent. */
export type RequestPriority = 0 | 1 | 2 | 3;

/** The priorities by name. */
export const REQUEST_PRIORITY = { critical: 0, high: 1, normal: 2, low: 3 } as const;

/** Fraction of the bucket that each priority level reserves for more urgent requests. */
const RESERVE_PER_STEP = 0.15;
/** Critical requests may overdraw the bucket by one request, because delaying a lease renewal could lose the lease. */
const CRITICAL_OVERDRAFT = 1;
const MS_PER_SECOND = 1000;

/**
 * Grants requests at a steady rate with bursts. It never waits; a caller whose request is denied retries later or
 * responds with 503.
 */
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

  /**
   * Takes `amount` tokens from the bucket. Returns false, and takes none, if too few would be left for more urgent
   * requests.
   */
  tryAcquire(amount: number, priority: RequestPriority): boolean {
    this.refill();
    const floor =
      priority === REQUEST_PRIORITY.critical ? -CRITICAL_OVERDRAFT : this.burst * RESERVE_PER_STEP * priority;
    // A request larger than the unreserved part of the bucket would never be granted, so a full bucket suffices for it.
    if (this.tokens - amount < Math.min(floor, this.burst - amount)) return false;
    this.tokens -= amount;
    return true;
  }

  /** Empties the bucket after a 429 response, which shows that the common limit is used up. */
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
