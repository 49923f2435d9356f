/**
 * The leader's lease as its holder sees it, by its own clock.
 *
 * @module
 */
import type { MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { LeaseId } from '@spurbridge/wire';

/** How long a leader's lease lasts without a renewal, in milliseconds. */
export const LEASE_TTL_MS = 3000;

/** Assumed maximum relative drift between the clocks of two machines: twice the bound that the platform guarantees. */
const MAX_CLOCK_DRIFT = 0.001;
/**
 * The holder treats the lease as expired this much earlier, in milliseconds, because an action begun just before the
 * expiry takes time to complete.
 */
const SAFETY_MARGIN_MS = 150;
/** How long the holder treats the lease as valid after its last confirmation, in milliseconds. */
const TRUSTED_TTL_MS = LEASE_TTL_MS * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN_MS;

/** A lease that was granted to this process. */
export class LeaderLease {
  constructor(
    readonly id: LeaseId,
    /** The store's generation when the lease was requested. If it has changed since, data may have been lost. */
    readonly storeGeneration: number,
    /** When the latest request was sent that is known to have granted or renewed the lease. */
    private confirmedAt: MonotonicMs,
  ) {}

  /**
   * Records that a request sent at `sentAt` was served; returns false if a later one was already recorded. Validity is
   * counted from when the request was sent, because it is not known when the store executed it.
   */
  confirm(sentAt: MonotonicMs): boolean {
    if (sentAt <= this.confirmedAt) return false;
    this.confirmedAt = sentAt;
    return true;
  }

  /** Whether the lease has certainly not ended. */
  isValidAt(now: MonotonicMs): boolean {
    return now < addMs(this.confirmedAt, TRUSTED_TTL_MS);
  }

  /** Milliseconds since the lease was last confirmed. */
  msSinceConfirmed(now: MonotonicMs): number {
    return now - this.confirmedAt;
  }
}
