import type { Ms } from '@spurbridge/net';
import type { MachineId, Session, Token } from '@spurbridge/wire';
import { Transitions } from './transition.js';

/**
 * booting -> ready -> silent -> ready | gone; ready -> draining -> releasing -> gone. A machine drained
 * only to be given back may be made ready again.
 * `silent`: no report for a while; its tasks count as there. `draining`: takes no new tasks.
 * `releasing`: a release was sent; only its 200 proves anything.
 */
export type MachineState = 'booting' | 'ready' | 'silent' | 'draining' | 'releasing' | 'gone';

const transitions = new Transitions<MachineState>('machine', {
  booting: ['ready', 'draining', 'releasing', 'gone'],
  ready: ['silent', 'draining', 'releasing', 'gone'],
  silent: ['ready', 'draining', 'releasing', 'gone'],
  draining: ['ready', 'silent', 'releasing', 'gone'],
  releasing: ['gone'],
  gone: [],
});

const SPEED_JOBS = 10;
const SPEED_SURE = 4;
/** Jobs' worth of evidence that the machine is as fast as any other. */
const SPEED_DOUBT = 2;

export class Machine {
  private phase: MachineState = 'booting';
  address = '';
  session: Session | null = null;
  seq = -1;
  token = 0 as Token;
  /** Arrival of the newest report (steady clock of this process). */
  heardAt: Ms | null = null;
  /** End of the time in which some leader may have answered one of its reports. */
  answeredUntil: Ms;
  /** Until when a holder may answer its reports under a grant of this leader. */
  grantedUntil = 0 as Ms;
  noticeAt: Ms | null = null;
  goneBy: Ms | null = null;
  /** Images that it holds, the most recently used last, with their size. */
  readonly images = new Map<string, number>();
  /** Starts sent to /commands in this session whose answer is missing: they may arrive at any time. */
  readonly unanswered = new Set<string>();
  /** Jobs whose tasks failed here, without a success between. */
  readonly failedJobs = new Set<string>();
  /** Questions asked since it was last heard, and how many of them were not answered. */
  probes = 0;
  unansweredProbes = 0;
  idleSince: Ms | null;
  refusedUntil = 0 as Ms;
  /** For each of the last jobs that ran here: run time over expected, as a logarithm. */
  private readonly speeds = new Map<string, { sum: number; count: number }>();
  private slow = 1;
  sending = false;
  /**
   * Whether it surely is of now: placed on by records, rented or listed, or heard with this leader's token or by a call. A
   * report alone may be an old one, of a machine that was given back long ago; nothing is placed there.
   */
  isProven = true;
  /** Whether the cloud has listed it as running: its worker may have started tasks. */
  listedRunning = false;
  drainReason = '';

  constructor(
    readonly id: MachineId,
    readonly type: string,
    readonly zone: string,
    readonly spot: boolean,
    /** Rented by this service to meet demand, and not part of the fleet that it found. */
    public rented: boolean,
    readonly firstSeen: Ms,
  ) {
    this.answeredUntil = firstSeen;
    this.idleSince = firstSeen;
  }

  get state(): MachineState {
    return this.phase;
  }

  /** The only function that changes the machine's state. */
  enter(next: MachineState): void {
    if (next === this.phase) return;
    transitions.check(this.phase, next);
    this.phase = next;
  }

  get takesTasks(): boolean {
    return this.phase === 'ready' && this.isProven;
  }

  /**
   * A job's tasks share their owner's error, so it is jobs that are counted, not tasks: many tasks of
   * one job estimated too short must not condemn a machine.
   */
  ran(job: string, ratio: number): void {
    const seen = this.speeds.get(job) ?? { sum: 0, count: 0 };
    this.speeds.delete(job);
    this.speeds.set(job, { sum: seen.sum + Math.log(ratio), count: seen.count + 1 });
    for (const oldest of this.speeds.keys()) {
      if (this.speeds.size <= SPEED_JOBS) break;
      this.speeds.delete(oldest);
    }
    let sum = 0;
    for (const s of this.speeds.values()) sum += s.sum / s.count;
    this.slow = Math.max(1, Math.exp(sum / (this.speeds.size + SPEED_DOUBT)));
  }

  /** Observed run time over expected, held near 1 while little was seen; never below 1. */
  get slowness(): number {
    return this.slow;
  }

  /** Whether enough different jobs ran here to say that the machine is slow. */
  isSlow(factor: number): boolean {
    return this.speeds.size >= SPEED_SURE && this.slowness > factor;
  }

  useImage(image: string, sizeGb: number, cacheGb: number): void {
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
