/**
 * Rate limits of the simulated key-value store on requests and mutations.
 *
 * @module
 */
import type { Timeline } from '@spurbridge/simulated-worker';

/** The limits of the key-value store, as in a controller's settings. */
export interface StoreLimits {
  /** Requests a second. */
  readonly rps: number;
  /** Mutations a second. */
  readonly writeRps: number;
  /** Size of one value, in units of 1,024 bytes. */
  readonly valueKb: number;
  /** Mutations in one transaction. */
  readonly txnOps: number;
}

/** Two token buckets with a capacity of one second's worth of tokens each. */
export class StoreRateLimit {
  /** The number of admitted requests. */
  requests = 0;
  /** The number of admitted mutations. */
  mutations = 0;
  /** The number of requests rejected as if with the status 429. */
  refusals = 0;
  private requestTokens: number;
  private writeTokens: number;
  private refilledAt = 0;

  constructor(
    private readonly time: Timeline,
    private readonly limits: StoreLimits,
  ) {
    this.requestTokens = limits.rps;
    this.writeTokens = limits.writeRps;
  }

  /** Admits or rejects a request with this many mutations, and counts it as such. */
  tryAcquire(mutations: number): boolean {
    this.refill();
    if (this.requestTokens < 1 || this.writeTokens < mutations) {
      this.refusals += 1;
      return false;
    }
    this.requestTokens -= 1;
    this.writeTokens -= mutations;
    this.requests += 1;
    this.mutations += mutations;
    return true;
  }

  private refill(): void {
    const { rps, writeRps } = this.limits;
    const elapsedS = (this.time.now - this.refilledAt) / 1000;
    this.refilledAt = this.time.now;
    this.requestTokens = Math.min(rps, this.requestTokens + elapsedS * rps);
    this.writeTokens = Math.min(writeRps, this.writeTokens + elapsedS * writeRps);
  }
}
