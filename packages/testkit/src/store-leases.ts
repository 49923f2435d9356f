/**
 * Leases of the simulated key-value store.
 *
 * @module
 */
import type { Timeline } from '@spurbridge/simulated-worker';

/** Minimum delay of the check whether a lease has expired, in milliseconds. */
const MIN_EXPIRY_CHECK_MS = 50;

/** A lease's length and the time at which it expires unless renewed, both in milliseconds. */
export interface StoreLease {
  readonly ttlMs: number;
  readonly endsAtMs: number;
}

/** Leases by id; each is checked when it is due to expire. */
export class LeaseTable {
  private readonly leases = new Map<number, StoreLease>();
  private nextId = 1;

  constructor(
    private readonly time: Timeline,
    /** Ends expired leases; called when a lease may have expired. */
    private readonly checkExpiry: () => void,
  ) {}

  /** The id of the next lease. */
  get nextLeaseId(): number {
    return this.nextId;
  }

  /** Creates a lease and returns its id. */
  grant(ttlMs: number): number {
    const id = this.nextId;
    this.nextId += 1;
    this.begin(id, ttlMs);
    return id;
  }

  /** Renews the lease to its full length; returns false if there is no such lease. */
  renew(id: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    this.leases.set(id, { ttlMs: lease.ttlMs, endsAtMs: this.time.now + lease.ttlMs });
    return true;
  }

  /** Renews every lease to its full length. */
  renewAll(): void {
    for (const id of this.leases.keys()) this.renew(id);
  }

  has(id: number): boolean {
    return this.leases.has(id);
  }

  /** Removes the lease; returns false if there is no such lease. */
  remove(id: number): boolean {
    return this.leases.delete(id);
  }

  /** Leases that have expired. */
  expiredIds(): number[] {
    return [...this.leases].filter(([, lease]) => lease.endsAtMs <= this.time.now).map(([id]) => id);
  }

  /** A copy of all leases. */
  toMap(): Map<number, StoreLease> {
    return new Map(this.leases);
  }

  /** Replaces all leases; each is renewed to its full length. */
  replace(leases: ReadonlyMap<number, StoreLease>, nextLeaseId: number): void {
    this.leases.clear();
    for (const [id, lease] of leases) this.begin(id, lease.ttlMs);
    this.nextId = nextLeaseId;
  }

  private begin(id: number, ttlMs: number): void {
    this.leases.set(id, { ttlMs, endsAtMs: this.time.now + ttlMs });
    this.scheduleCheck(id);
  }

  private scheduleCheck(id: number): void {
    const lease = this.leases.get(id);
    if (lease === undefined) return;
    this.time.after(Math.max(lease.endsAtMs - this.time.now, MIN_EXPIRY_CHECK_MS), () => {
      this.checkExpiry();
      this.scheduleCheck(id);
    });
  }
}
