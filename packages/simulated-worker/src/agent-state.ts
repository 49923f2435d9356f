/**
 * The agent process of a simulated worker: whether it runs or hangs, its lease, its epoch and its fencing
 * token.
 *
 * @module
 */
import type { Timeline } from './timeline.js';

const LEASE_CHECK_INTERVAL_MS = 100;

/** What an agent remembers when its machine comes back; the protocol does not say. */
export interface AgentMemory {
  readonly epoch: number;
  /** The sequence number of its latest heartbeat. */
  readonly sequence: number;
  readonly fencingToken: number;
}

/** The memory of an agent that has never run before. */
export const NEW_AGENT: AgentMemory = { epoch: 1, sequence: 0, fencingToken: 0 };

/** Callbacks of an agent to its worker. */
export interface AgentStateOptions {
  readonly time: Timeline;
  readonly leaseMs: number;
  readonly memory: AgentMemory;
  /** Called when the lease has expired, with the time of its expiry. The worker then kills and discards its tasks. */
  readonly onLeaseEnded: (atMs: number) => void;
}

/**
 * Tracks the lease. When it expires, a new epoch begins, and actions of the old epoch have no effect.
 */
export class AgentState {
  alive = true;
  private epochNumber: number;
  private sequenceNumber: number;
  private token: number;
  private leaseFromMs: number;
  private hanging = false;
  private readonly onResume: (() => void)[] = [];

  constructor(private readonly options: AgentStateOptions) {
    const { epoch, sequence, fencingToken } = options.memory;
    this.epochNumber = epoch;
    this.sequenceNumber = sequence;
    this.token = fencingToken;
    this.leaseFromMs = options.time.now;
    this.checkLeaseAtIntervals();
  }

  /** The epoch; incremented when a lease expires. */
  get epoch(): number {
    return this.epochNumber;
  }

  /** All that it remembers now. */
  get memory(): AgentMemory {
    return { epoch: this.epochNumber, sequence: this.sequenceNumber, fencingToken: this.token };
  }

  /** The highest fencing token seen so far. */
  get fencingToken(): number {
    return this.token;
  }

  get isHanging(): boolean {
    return this.hanging;
  }

  /** The sequence number of the next heartbeat of this epoch. */
  nextSequence(): number {
    this.sequenceNumber += 1;
    return this.sequenceNumber;
  }

  /** Records a fencing token; returns whether it is higher than all before. */
  observeToken(token: number): boolean {
    if (token <= this.token) return false;
    this.token = token;
    return true;
  }

  /** Renews the lease after a heartbeat was accepted. The lease is counted from the time at which it was sent. */
  renewLease(sentAtMs: number): void {
    this.leaseFromMs = Math.max(this.leaseFromMs, sentAtMs);
  }

  /** Suspends the process. Its actions are deferred until it resumes. */
  hang(): void {
    this.hanging = true;
  }

  /** Resumes the process and runs its deferred actions. */
  resume(): void {
    this.hanging = false;
    // The lease is checked first, because actions of an expired lease must not take effect.
    this.checkLease();
    for (const run of this.onResume.splice(0)) run();
  }

  /** Runs the action now, or once the process resumes if it hangs. Drops the action if the process is dead. */
  act(run: () => void): void {
    if (!this.alive) return;
    if (this.hanging) {
      this.onResume.push(run);
      return;
    }
    // A resumed process runs its overdue timers in any order; actions of an expired lease must not take
    // effect.
    this.checkLease();
    run();
  }

  /** Runs the action after this many milliseconds. */
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
