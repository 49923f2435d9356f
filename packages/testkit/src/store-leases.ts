/**
 * Leases of the simulated key-value store.
 *
 * @module
 */
import type { Timeline } from '@spurbridge/simulated-worker';

/** A look at a lease's end comes no sooner than this. */
const MIN_EXPIRY_CHECK_MS = 50;

/** A lease's length and the moment at which it ends unless it is renewed, both in milliseconds. */
export interface StoreLease {
  readonly ttlMs: number;
  readonly endsAtMs: number;
}

/** Leases by their ids; each is looked at when it is due to end. */
export class LeaseTable {
  private readonly leases = new Map<number, StoreLease>();
  private nextId = 1;

  constructor(
    private readonly time: Timeline,
    /** Ends what is over; called when a lease may have ended. */
    private readonly checkExpiry: () => void,
  ) {}

  /** The id that the next lease gets. */
  get nextLeaseId(): number {
    return this.nextId;
  }

  /** Begins a lease; its id. */
  grant(ttlMs: number): number {
    const id = this.nextId;
    this.nextId += 1;
    this.begin(id, ttlMs);
    return id;
  }

  /** Gives the lease its full time again; false: there is no such lease. */
  renew(id: number): boolean {
    const lease = this.leases.get(id);
    if (lease === undefined) return false;
    this.leases.set(id, { ttlMs: lease.ttlMs, endsAtMs: this.time.now + lease.ttlMs });
    return true;
  }

  /** Gives every lease its full time again. */
  renewAll(): void {
    for (const id of this.leases.keys()) this.renew(id);
  }

  has(id: number): boolean {
    return this.leases.has(id);
  }

  /** Removes the lease; false: there is no such lease. */
  remove(id: number): boolean {
    return this.leases.delete(id);
  }

  /** Leases that are over by now. */
  expiredIds(): number[] {
    return [...this.leases].filter(([, lease]) => lease.endsAtMs <= this.time.now).map(([id]) => id);
  }

  /** A copy of all leases. */
  toMap(): Map<number, StoreLease> {
    return new Map(this.leases);
  }

  /** Replaces all leases; each has its full time again. */
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
