import type { MonotonicMs } from '@spurbridge/net';
import type { MachineId, AgentEpoch, FencingToken } from '@spurbridge/wire';
import { TransitionTable } from './transition-table.js';

/**
 * booting -> ready -> silent -> ready | gone; ready -> draining -> releasing -> gone. A machine drained
 * only to be given back may be made ready again.
 * `silent`: no report for a while; its tasks count as there. `draining`: takes no new tasks.
 * `releasing`: a release was sent; only its 200 proves anything.
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

const SLOWNESS_SAMPLE_JOBS = 10;
const SLOWNESS_MIN_JOBS = 4;
/** Jobs' worth of evidence that the machine is as fast as any other. */
const SLOWNESS_PRIOR_JOBS = 2;

export class Machine {
  private currentState: MachineState = 'booting';
  address = '';
  agentEpoch: AgentEpoch | null = null;
  lastSequence = -1;
  fencingToken = 0 as FencingToken;
  /** Arrival of the newest report (steady clock of this process). */
  lastHeartbeatAt: MonotonicMs | null = null;
  /** End of the time in which some leader may have answered one of its reports. */
  latestPossibleRenewalAt: MonotonicMs;
  /** Until when a holder may answer its reports under a grant of this leader. */
  leaseDelegatedUntil = 0 as MonotonicMs;
  preemptionNoticeAt: MonotonicMs | null = null;
  preemptionDeadline: MonotonicMs | null = null;
  /** Images that it holds, the most recently used last, with their size. */
  readonly images = new Map<string, number>();
  /** Starts sent to /commands in this session whose answer is missing: they may arrive at any time. */
  readonly unconfirmedStarts = new Set<string>();
  /** Jobs whose tasks failed here, without a success between. */
  readonly failedJobs = new Set<string>();
  /** Questions asked since it was last heard, and how many of them were not answered. */
  probesSent = 0;
  probesUnanswered = 0;
  idleSince: MonotonicMs | null;
  backoffUntil = 0 as MonotonicMs;
  /** For each of the last jobs that ran here: run time over expected, as a logarithm. */
  private readonly slowdownsByJob = new Map<string, { sum: number; count: number }>();
  private estimatedSlowness = 1;
  isSendingCommands = false;
  /**
   * Whether it surely is of now: placed on by records, rented or listed, or heard with this leader's token or by a call. A
   * report alone may be an old one, of a machine that was given back long ago; nothing is placed there.
   */
  isConfirmed = true;
  /** Whether the cloud has listed it as running: its worker may have started tasks. */
  isListedRunning = false;
  drainReason = '';

  constructor(
    readonly id: MachineId,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    /** Rented by this service to meet demand, and not part of the fleet that it found. */
    public isProvisioned: boolean,
    readonly firstSeenAt: MonotonicMs,
  ) {
    this.latestPossibleRenewalAt = firstSeenAt;
    this.idleSince = firstSeenAt;
  }

  get state(): MachineState {
    return this.currentState;
  }

  /** The only function that changes the machine's state. */
  transitionTo(next: MachineState): void {
    if (next === this.currentState) return;
    machineTransitions.assertAllowed(this.currentState, next);
    this.currentState = next;
  }

  get isSchedulable(): boolean {
    return this.currentState === 'ready' && this.isConfirmed;
  }

  /**
   * A job's tasks share their owner's error, so it is jobs that are counted, not tasks: many tasks of
   * one job estimated too short must not condemn a machine.
   */
  recordRunTime(job: string, ratio: number): void {
    const seen = this.slowdownsByJob.get(job) ?? { sum: 0, count: 0 };
    this.slowdownsByJob.delete(job);
    this.slowdownsByJob.set(job, { sum: seen.sum + Math.log(ratio), count: seen.count + 1 });
    for (const oldest of this.slowdownsByJob.keys()) {
      if (this.slowdownsByJob.size <= SLOWNESS_SAMPLE_JOBS) break;
      this.slowdownsByJob.delete(oldest);
    }
    let sum = 0;
    for (const s of this.slowdownsByJob.values()) sum += s.sum / s.count;
    this.estimatedSlowness = Math.max(1, Math.exp(sum / (this.slowdownsByJob.size + SLOWNESS_PRIOR_JOBS)));
  }

  /** Observed run time over expected, held near 1 while little was seen; never below 1. */
  get slowness(): number {
    return this.estimatedSlowness;
  }

  /** Whether enough different jobs ran here to say that the machine is slow. */
  isSlow(factor: number): boolean {
    return this.slowdownsByJob.size >= SLOWNESS_MIN_JOBS && this.slowness > factor;
  }

  cacheImage(image: string, sizeGb: number, cacheGb: number): void {
    this.images.delete(image);
    this.images.set(image, sizeGb);
    let held = 0;
    for (const size of this.images.values()) held += size;
    for (const [name, size] of this.images) {
      if (held <= cacheGb || name === image) break;
      this.images.delete(name);
      held -= size;
    }
  }
}
