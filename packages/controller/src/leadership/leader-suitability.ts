import type { Clock, MonotonicMs } from '@spurbridge/net';

const LOOK_MS = 200;
/** Weight of the newest look. */
const WEIGHT = 0.3;
/** Timers that go off this much late on average: the process is behind its share. */
const LATE_MS = 150;
/** A process is warm after this long: code compiled, records followed, workers met. */
const WARM_MS = 20_000;
/** A lease lost counts against a node for this long. */
const LOST_MS = 10_000;

/** What speaks for and against this node as a leader. */
export class LeaderSuitability {
  private readonly beganAt: MonotonicMs;
  private lateMs = 0;
  private lostAt: MonotonicMs | null = null;

  constructor(private readonly clock: Clock) {
    this.beganAt = clock.now();
  }

  /** It led and does not any more. */
  recordLeadershipLoss(): void {
    this.lostAt = this.clock.now();
  }

  /** How much speaks against it; 0: nothing. */
  get penalty(): number {
    const now = this.clock.now();
    const isNew = now - this.beganAt < WARM_MS;
    const hasLost = this.lostAt !== null && now - this.lostAt < LOST_MS;
    return Number(isNew) + Number(hasLost) + Number(this.lateMs > LATE_MS);
  }

  async run(): Promise<never> {
    for (;;) {
      const at = this.clock.now();
      await this.clock.sleep(LOOK_MS);
      const lateMs = Math.max(0, this.clock.now() - at - LOOK_MS);
      this.lateMs += (lateMs - this.lateMs) * WEIGHT;
    }
  }
}
