/**
 * A signal between two concurrent parts of one process.
 *
 * @module
 */
import type { Clock } from '@spurbridge/net';

/** Wakes one waiting loop. A notification while nobody waits is kept for the next wait. */
export class WakeSignal {
  private isNotified = false;
  private wake: (() => void) | null = null;

  /** Wakes the waiting loop, or lets the next wait return immediately. */
  notify(): void {
    this.isNotified = true;
    this.wake?.();
  }

  /** Waits for a notification, but no longer than `timeoutMs` milliseconds. */
  async wait(clock: Clock, timeoutMs: number): Promise<void> {
    if (!this.isNotified)
      await Promise.race([
        new Promise<void>((resolve) => {
          this.wake = resolve;
        }),
        clock.sleep(timeoutMs),
      ]);
    this.wake = null;
    this.isNotified = false;
  }
}
