/**
 * The agent process of a simulated worker: whether it lives or hangs, its lease, its epoch and its fencing token.
 *
 * @module
 */
import type { Timeline } from './timeline.js';

const LEASE_CHECK_INTERVAL_MS = 100;

/** What an agent needs of its worker. */
export interface AgentStateOptions {
  readonly time: Timeline;
  readonly leaseMs: number;
  /** The lease ended at this time: everything on the worker is killed and forgotten. */
  readonly onLeaseEnded: (atMs: number) => void;
}

/** Keeps the lease: once it is over, a new epoch begins and nothing of the old one acts any more. */
export class AgentState {
  alive = true;
  private epochNumber = 1;
  private sequenceNumber = 0;
  private token = 0;
  private leaseFromMs: number;
  private hanging = false;
  private readonly onResume: (() => void)[] = [];

  constructor(private readonly options: AgentStateOptions) {
    this.leaseFromMs = options.time.now;
    this.checkLeaseAtIntervals();
  }

  /** The epoch; it rises with each lease that ended. */
  get epoch(): number {
    return this.epochNumber;
  }

  /** The highest fencing token that was seen. */
  get fencingToken(): number {
    return this.token;
  }

  get isHanging(): boolean {
    return this.hanging;
  }

  /** The number of the next heartbeat of this epoch. */
  nextSequence(): number {
    this.sequenceNumber += 1;
    return this.sequenceNumber;
  }

  /** Takes a fencing token in; whether it is higher than all before. */
  observeToken(token: number): boolean {
    if (token <= this.token) return false;
    this.token = token;
    return true;
  }

  /** A heartbeat sent at this time was accepted: the lease runs from then. */
  renewLease(sentAtMs: number): void {
    this.leaseFromMs = Math.max(this.leaseFromMs, sentAtMs);
  }

  /** The process stands still; what it has to do waits. */
  hang(): void {
    this.hanging = true;
  }

  /** The process goes on with what has waited. */
  resume(): void {
    this.hanging = false;
    // The lease is checked first: what it ended must not act any more.
    this.checkLease();
    for (const run of this.onResume.splice(0)) run();
  }

  /** Runs now, or as soon as the process no longer hangs, or never where it is dead. */
  act(run: () => void): void {
    if (!this.alive) return;
    if (this.hanging) {
      this.onResume.push(run);
      return;
    }
    // A process that stood still runs its late timers in any order: what the lease ended must not act any more.
    this.checkLease();
    run();
  }

  /** Acts after this many milliseconds. */
  actAfter(ms: number, run: () => void): void {
    this.options.time.after(ms, () => {
      this.act(run);
    });
  }

  private checkLease(): void {
    const { time, leaseMs, onLeaseEnded } = this.options;
    const endedAtMs = this.leaseFromMs + leaseMs;
    if (time.now <= endedAtMs) return;
    onLeaseEnded(endedAtMs);
    this.epochNumber += 1;
    this.sequenceNumber = 0;
    this.leaseFromMs = time.now;
  }

  private checkLeaseAtIntervals(): void {
    if (!this.alive) return;
    // A hanging process checks its lease as soon as it resumes.
    if (!this.hanging) this.checkLease();
    this.options.time.after(LEASE_CHECK_INTERVAL_MS, () => {
      this.checkLeaseAtIntervals();
    });
  }
}
