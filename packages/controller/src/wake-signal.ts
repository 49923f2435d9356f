import type { Clock } from '@spurbridge/net';

/** Wakes one waiting loop; a wake-up given while nobody waits is kept. */
export class WakeSignal {
  private raised = false;
  private wake: (() => void) | null = null;

  notify(): void {
    this.raised = true;
    this.wake?.();
  }

  async wait(clock: Clock, mostMs: number): Promise<void> {
    if (!this.raised)
      await Promise.race([
        new Promise<void>((resolve) => {
          this.wake = resolve;
        }),
        clock.sleep(mostMs),
      ]);
    this.wake = null;
    this.raised = false;
  }
}
