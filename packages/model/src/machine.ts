/**
 * The leader's state of machines: lifecycle state, latest heartbeat and observed speed.
 *
 * @module
 */

import type { MonotonicMs } from '@spurbridge/net';
import type { AgentEpoch, FencingToken, MachineId } from '@spurbridge/wire';
import { DirectStarts } from './direct-starts.js';
import { TransitionTable } from './transition-table.js';

/**
 * The state of a machine: booting -> ready -> silent -> ready | gone; ready -> draining -> releasing -> gone.
 * A machine drained only for scaling in may become ready again.
 *
 * - `silent`: heartbeats are missing; its tasks still count as placed there.
 * - `draining`: accepts no new tasks.
 * - `releasing`: a release was sent to the cloud; only the cloud's confirmation proves that the machine is
 *   gone.
 */
export type MachineState = 'booting' | 'ready' | 'silent' | 'draining' | 'releasing' | 'gone';

const machineTransitions = new TransitionTable<MachineState>('machine', {
  booting: ['ready', 'draining', 'releasing', 'gone'],
  ready: ['silent', 'draining', 'releasing', 'gone'],
  silent: ['ready', 'draining', 'releasing', 'gone'],
  draining: ['ready', 'silent', 'releasing', 'gone'],
  releasing: ['gone'],
  gone: [],
});

/** The number of most recent jobs on a machine that its slowness is estimated from. */
const SLOWNESS_SAMPLE_JOBS = 10;
/** The minimum number of jobs that can show that a machine is slow. */
const SLOWNESS_MIN_JOBS = 4;
/** Weight of the prior that the machine has normal speed, in jobs. */
const SLOWNESS_PRIOR_JOBS = 2;

/** The run times of one job's tasks on a machine. */
interface RunTimeSample {
  /** Sum over the tasks of the logarithm of actual over expected run time. */
  readonly sum: number;
  readonly count: number;
}

/** A machine of the fleet. */
export class Machine {
  private currentState: MachineState = 'booting';
  /** The address at which its agent accepts commands; empty while unknown. */
  address = '';
  /** Its agent's epoch in the newest heartbeat; null before the first one. */
  agentEpoch: AgentEpoch | null = null;
  /** The sequence number of the newest heartbeat in that epoch. */
  lastSequence = -1;
  /** The sequence number of the newest heartbeat in that epoch that the agent sent on its own schedule. */
  lastRegularSequence = -1;
  /** The fencing token in the newest heartbeat. */
  fencingToken = 0 as FencingToken;
  /** The arrival of the newest heartbeat, by this process's monotonic clock. */
  lastHeartbeatAt: MonotonicMs | null = null;
  /** The latest time at which some leader may have renewed its lease by responding to a heartbeat. */
  latestPossibleRenewalAt: MonotonicMs;
  /** Until when another node may renew its lease by delegation from this leader. */
  leaseDelegatedUntil = 0 as MonotonicMs;
  /** When the cloud's preemption notice arrived; null without one. */
  preemptionNoticeAt: MonotonicMs | null = null;
  /** When the cloud will reclaim the machine according to that notice. */
  preemptionDeadline: MonotonicMs | null = null;
  /** The images in its cache with their sizes in GB, least recently used first. */
  readonly images = new Map<string, number>();
  /**
   * The highest fencing token that this leader has given the machine beyond that of its election; 0 for none. Every
   * later message to the machine carries at least this token.
   */
  issuedToken = 0 as FencingToken;
  /** Starts sent directly in this agent epoch that may still arrive. */
  readonly directStarts = new DirectStarts();
  /** Jobs whose tasks failed here consecutively, without a success in between. */
  readonly failedJobs = new Set<string>();
  /** The number of probes sent since the last heartbeat, and how many of them got no response. */
  probesSent = 0;
  probesUnanswered = 0;
  /** The time since which no task has been placed here; null while one is placed. */
  idleSince: MonotonicMs | null;
  /** No task is started here before this time, after a refused start or a failed task. */
  backoffUntil = 0 as MonotonicMs;
  /** Whether a direct call with commands is in progress; at most one is at a time. */
  isSendingCommands = false;
  /**
   * Whether the machine is known to exist now: by a record that places a task on it, by the cloud, or by a
   * heartbeat or response with this leader's fencing token. Other heartbeats may be delayed ones of a machine
   * released long ago, so no task is placed before this is known.
   */
  isConfirmed = true;
  /** Whether the cloud has listed it as running, so that its agent may have started tasks. */
  isListedRunning = false;
  /** Why it is being drained; empty if it is not. */
  drainReason = '';
  private readonly runTimesByJob = new Map<string, RunTimeSample>();
  private estimatedSlowness = 1;

  constructor(
    readonly id: MachineId,
    /** The name of its machine type. */
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    /** Whether this service requested it from the cloud; false for a machine that existed already. */
    public isProvisioned: boolean,
    readonly firstSeenAt: MonotonicMs,
  ) {
    this.latestPossibleRenewalAt = firstSeenAt;
    this.idleSince = firstSeenAt;
  }

  /** The state; only `transitionTo` changes it. */
  get state(): MachineState {
    return this.currentState;
  }

  /**
   * The only function that changes the machine's state. A transition to the present state has no effect.
   *
   * @throws {InvalidTransitionError}
   */
  transitionTo(next: MachineState): void {
    if (next === this.currentState) return;
    machineTransitions.assertAllowed(this.currentState, next);
    this.currentState = next;
  }

  /** Whether tasks may be placed on it. */
  get isSchedulable(): boolean {
    return this.currentState === 'ready' && this.isConfirmed;
  }

  /**
   * Records actual over expected run time of a task. The tasks of one job share the error of its estimate, so
   * the slowness is the mean over jobs, not over tasks: many tasks of one underestimated job must not make
   * the machine look slow.
   */
  recordRunTime(job: string, ratio: number): void {
    const sample = this.runTimesByJob.get(job) ?? { sum: 0, count: 0 };
    this.runTimesByJob.delete(job);
    this.runTimesByJob.set(job, { sum: sample.sum + Math.log(ratio), count: sample.count + 1 });
    for (const oldestJob of this.runTimesByJob.keys()) {
      if (this.runTimesByJob.size <= SLOWNESS_SAMPLE_JOBS) break;
      this.runTimesByJob.delete(oldestJob);
    }
    let sumOfMeans = 0;
    for (const { sum, count } of this.runTimesByJob.values()) sumOfMeans += sum / count;
    const sampleSize = this.runTimesByJob.size + SLOWNESS_PRIOR_JOBS;
    this.estimatedSlowness = Math.max(1, Math.exp(sumOfMeans / sampleSize));
  }

  /** Actual over expected run time, at least 1; biased towards 1 while there are few samples. */
  get slowness(): number {
    return this.estimatedSlowness;
  }

  /**
   * Whether enough different jobs ran here to conclude that the machine is slower than others by this factor.
   */
  isSlow(factor: number): boolean {
    return this.runTimesByJob.size >= SLOWNESS_MIN_JOBS && this.slowness > factor;
  }

  /**
   * Records the use of an image: adds it to the cache and evicts the least recently used images beyond the
   * cache's size.
   */
  cacheImage(image: string, sizeGb: number, cacheGb: number): void {
    this.images.delete(image);
    this.images.set(image, sizeGb);
    let cachedGb = 0;
    for (const size of this.images.values()) cachedGb += size;
    for (const [name, size] of this.images) {
      if (cachedGb <= cacheGb || name === image) break;
      this.images.delete(name);
      cachedGb -= size;
    }
  }
}
