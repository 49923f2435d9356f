/**
 * Machines as the leader knows them: their state, the newest heartbeat and how fast they were seen to be.
 *
 * @module
 */

import type { MonotonicMs } from '@spurbridge/net';
import type { AgentEpoch, FencingToken, MachineId } from '@spurbridge/wire';
import { TransitionTable } from './transition-table.js';

/**
 * The state of a machine: booting -> ready -> silent -> ready | gone; ready -> draining -> releasing -> gone. A machine that was
 * drained only to be scaled in may become ready again.
 *
 * - `silent`: no heartbeat for a while; its tasks still count as being there.
 * - `draining`: takes no new tasks.
 * - `releasing`: a release was sent to the cloud; only its confirmation proves anything.
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

/** The slowness of a machine is estimated from this many of the last jobs that ran there. */
const SLOWNESS_SAMPLE_JOBS = 10;
/** Fewer jobs than this do not show that a machine is slow. */
const SLOWNESS_MIN_JOBS = 4;
/** Jobs' worth of evidence that the machine is as fast as any other. */
const SLOWNESS_PRIOR_JOBS = 2;

/** The run times of one job's tasks on a machine. */
interface RunTimeSample {
  /** Sum over the tasks of the logarithm of run time over expected run time. */
  readonly sum: number;
  readonly count: number;
}

/** A machine of the fleet. */
export class Machine {
  private currentState: MachineState = 'booting';
  /** Where its agent takes commands; empty while unknown. */
  address = '';
  /** The epoch of its agent by the newest heartbeat; null before the first. */
  agentEpoch: AgentEpoch | null = null;
  /** The sequence number of the newest heartbeat in that epoch. */
  lastSequence = -1;
  /** The fencing token that the agent showed in the newest heartbeat. */
  fencingToken = 0 as FencingToken;
  /** When the newest heartbeat arrived, by this process' monotonic clock. */
  lastHeartbeatAt: MonotonicMs | null = null;
  /** The latest time at which some leader may have renewed its lease by responding to one of its heartbeats. */
  latestPossibleRenewalAt: MonotonicMs;
  /** Until when another node may renew its lease under a delegation by this leader. */
  leaseDelegatedUntil = 0 as MonotonicMs;
  /** When the cloud's preemption notice arrived; null without one. */
  preemptionNoticeAt: MonotonicMs | null = null;
  /** When the cloud takes the machine back by that notice. */
  preemptionDeadline: MonotonicMs | null = null;
  /** The images in its cache with their sizes in GB, the most recently used last. */
  readonly images = new Map<string, number>();
  /** Starts that were sent directly in this agent epoch and not confirmed: they may arrive at any time. */
  readonly unconfirmedStarts = new Set<string>();
  /** Jobs whose tasks failed here, without a success in between. */
  readonly failedJobs = new Set<string>();
  /** Probes sent since the last heartbeat, and how many of them got no response. */
  probesSent = 0;
  probesUnanswered = 0;
  /** Since when no task has been placed here; null while there is one. */
  idleSince: MonotonicMs | null;
  /** No task is started here before this, after a start was refused or a task failed. */
  backoffUntil = 0 as MonotonicMs;
  /** Whether a direct call with commands is under way; there is one at a time. */
  isSendingCommands = false;
  /**
   * Whether the machine is known to exist now: by a record that places on it, by the cloud, or by a heartbeat or response that
   * shows this leader's token. A heartbeat alone may be an old one of a machine that was released long ago, so nothing is placed
   * before.
   */
  isConfirmed = true;
  /** Whether the cloud has listed it as running: its agent may have started tasks. */
  isListedRunning = false;
  /** Why it is being drained; empty while it is not. */
  drainReason = '';
  private readonly runTimesByJob = new Map<string, RunTimeSample>();
  private estimatedSlowness = 1;

  constructor(
    readonly id: MachineId,
    /** The name of its machine type. */
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    /** Whether this service scaled out to it, as opposed to a machine of the fleet that it found. */
    public isProvisioned: boolean,
    readonly firstSeenAt: MonotonicMs,
  ) {
    this.latestPossibleRenewalAt = firstSeenAt;
    this.idleSince = firstSeenAt;
  }

  /** The state; `transitionTo` changes it. */
  get state(): MachineState {
    return this.currentState;
  }

  /**
   * The only function that changes the machine's state; the present state is no change.
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
   * Records the run time of a task over the expected one. The tasks of one job share the error of its estimate, so the slowness is
   * the mean over jobs and not over tasks: many tasks of a job that was estimated too short must not condemn a machine.
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

  /** Observed run time over expected run time, close to 1 while there are few samples; never below 1. */
  get slowness(): number {
    return this.estimatedSlowness;
  }

  /** Whether enough different jobs ran here to say that the machine is slower than others by this factor. */
  isSlow(factor: number): boolean {
    return this.runTimesByJob.size >= SLOWNESS_MIN_JOBS && this.slowness > factor;
  }

  /** Records that an image was used: it is now in the cache, and the least recently used images beyond the cache's size are not. */
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
