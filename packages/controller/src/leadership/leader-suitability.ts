/**
 * How suitable this controller is as a leader.
 *
 * @module
 */
import type { Clock, MonotonicMs } from '@spurbridge/net';

const SAMPLE_INTERVAL_MS = 200;
/** The weight of the newest sample in the moving average. */
const SAMPLE_WEIGHT = 0.3;
/** Average delay of timers above which the process is considered short of processor time. */
const MAX_TIMER_DELAY_MS = 150;
/** Warm-up time of a process, after which code is compiled, records are replicated and workers are connected. */
const WARM_UP_MS = 20_000;
/** How long the loss of leadership adds to a controller's penalty. */
const LOSS_PENALTY_MS = 10_000;

/** Computes this controller's penalty in elections. */
export class LeaderSuitability {
  private readonly startedAt: MonotonicMs;
  private averageTimerDelayMs = 0;
  private lastLossAt: MonotonicMs | null = null;

  constructor(private readonly clock: Clock) {
    this.startedAt = clock.now();
  }

  /** Records that this controller was deposed. */
  recordLeadershipLoss(): void {
    this.lastLossAt = this.clock.now();
  }

  /** The number of reasons against this controller; 0 is best. */
  get penalty(): number {
    const now = this.clock.now();
    const isWarmingUp = now - this.startedAt < WARM_UP_MS;
    const hasLostRecently = this.lastLossAt !== null && now - this.lastLossAt < LOSS_PENALTY_MS;
    const isOverloaded = this.averageTimerDelayMs > MAX_TIMER_DELAY_MS;
    return Number(isWarmingUp) + Number(hasLostRecently) + Number(isOverloaded);
  }

  /** Samples the delay of timers until the process ends. */
  async run(): Promise<never> {
    for (;;) {
      const sleepStartedAt = this.clock.now();
      await this.clock.sleep(SAMPLE_INTERVAL_MS);
      const delayMs = Math.max(0, this.clock.now() - sleepStartedAt - SAMPLE_INTERVAL_MS);
      this.averageTimerDelayMs += (delayMs - this.averageTimerDelayMs) * SAMPLE_WEIGHT;
    }
  }
}
