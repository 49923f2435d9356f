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
  noticeAt: Ms | null = null;
  goneBy: Ms | null = null;
  /** Images that it holds, the most recently used last, with their size. */
  readonly images = new Map<string, number>();
  /** Starts sent to /commands in this session whose answer is missing: they may arrive at any time. */
  readonly unanswered = new Set<string>();
  /** Jobs whose tasks failed here, without a success between. */
  readonly failedJobs = new Set<string>();
  probes = 0;
  idleSince: Ms | null;
  refusedUntil = 0 as Ms;
  /** Observed run time over estimated, against the class's own ratio; above 1 is slow. */
  slowness = 1;
  samples = 0;
  sending = false;
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
    return this.phase === 'ready';
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
