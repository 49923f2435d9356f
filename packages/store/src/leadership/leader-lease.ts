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

/** How far the clocks of two machines are taken to drift apart at most: twice the bound that the platform states. */
const MAX_CLOCK_DRIFT = 0.001;
/** The holder counts the lease as ended this much earlier, in milliseconds: what it does just before takes time too. */
const SAFETY_MARGIN_MS = 150;
/** How long the holder counts the lease as valid after it was last confirmed, in milliseconds. */
const TRUSTED_TTL_MS = LEASE_TTL_MS * (1 - MAX_CLOCK_DRIFT) - SAFETY_MARGIN_MS;

/** A lease that was granted to this process. */
export class LeaderLease {
  constructor(
    readonly id: LeaseId,
    /** The store's generation when the lease was asked for: data may have been lost since it changed. */
    readonly storeGeneration: number,
    /** When the last request was sent that the store is known to have granted or renewed the lease by. */
    private confirmedAt: MonotonicMs,
  ) {}

  /**
   * Notes that a request sent at `sentAt` was served; false where a later one was already. The lease counts from the
   * sending, since nobody knows when the store executed the request.
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
