/**
 * Delegated lease extensions: leases that another controller may renew for the leader for a limited time
 * (docs/shares.md).
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';
import { addMs } from '@spurbridge/net';
import type { FencingToken } from '@spurbridge/wire';

/** Upper bound of the drift between the clocks of two controllers; a delegation is shortened by it. */
const MAX_CLOCK_DRIFT = 0.001;

interface Delegation {
  readonly fencingToken: FencingToken;
  readonly validUntil: MonotonicMs;
}

/**
 * The leader's permission to respond to the heartbeats of one machine on its behalf: with the leader's fencing token,
 * and without new commands. It ends before the leader's own renewal period does, because the remaining time is counted
 * from when the request was sent, by this controller's monotonic clock.
 */
export class LeaseDelegation {
  private current: Delegation | null = null;

  constructor(private readonly clock: Clock) {}

  /**
   * Records a leader's response to a request sent at `requestedAt`, which left `remainingMs` of the leader's renewal
   * period. A response with a lower token, or one that would shorten the delegation, has no effect.
   */
  extend(fencingToken: FencingToken, requestedAt: MonotonicMs, remainingMs: number): void {
    if (!(remainingMs > 0)) return;
    if (this.current !== null && fencingToken < this.current.fencingToken) return;
    const validUntil = addMs(requestedAt, remainingMs * (1 - MAX_CLOCK_DRIFT));
    if (this.current?.fencingToken === fencingToken && validUntil <= this.current.validUntil) return;
    this.current = { fencingToken, validUntil };
  }

  /**
   * The fencing token to use in responses to heartbeats now, or null if the delegation is not valid. A known higher
   * token invalidates it, because that belongs to a newer leader.
   */
  currentToken(highestKnownToken: FencingToken): FencingToken | null {
    if (this.current === null || this.current.fencingToken < highestKnownToken) return null;
    return this.clock.now() < this.current.validUntil ? this.current.fencingToken : null;
  }
}
