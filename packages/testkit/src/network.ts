import type { SimTime } from './clock.js';

/** Messages between named hosts: late, lost with a cut, or held back by it and delivered after. */
export class SimNetwork {
  private readonly cuts = new Map<string, 'hold' | 'drop'>();
  private readonly heldBack = new Map<string, (() => void)[]>();
  /** Every message is late by up to so many milliseconds more. */
  extraLatencyMs = 0;

  constructor(
    private readonly time: SimTime,
    private readonly random: (below: number) => number,
  ) {}

  static linkKey(a: string, b: string): string {
    return a < b ? `${a}|${b}` : `${b}|${a}`;
  }

  partition(a: string, b: string, mode: 'hold' | 'drop'): void {
    this.cuts.set(SimNetwork.linkKey(a, b), mode);
  }

  heal(a: string, b: string): void {
    const pair = SimNetwork.linkKey(a, b);
    this.cuts.delete(pair);
    const held = this.heldBack.get(pair) ?? [];
    this.heldBack.delete(pair);
    for (const deliver of held) this.time.after(this.random(5), deliver);
  }

  send(from: string, to: string, deliver: () => void): void {
    const pair = SimNetwork.linkKey(from, to);
    const mode = this.cuts.get(pair);
    if (mode === undefined) this.time.after(1 + this.random(8) + this.random(this.extraLatencyMs), deliver);
    else if (mode === 'hold') {
      const held = this.heldBack.get(pair);
      if (held === undefined) this.heldBack.set(pair, [deliver]);
      else held.push(deliver);
    }
  }

  /** A request and its answer; null when none comes in time. The request may still be carried out. */
  call<T>(
    from: string,
    to: string,
    timeoutMs: number,
    handle: () => T | null,
    /** How much later than usual a message on this way is, in milliseconds. */
    lateMs: () => number = () => 0,
  ): Promise<T | null> {
    return new Promise((resolve) => {
      this.time.after(timeoutMs, () => {
        resolve(null);
      });
      this.afterDelay(lateMs(), () => {
        this.send(from, to, () => {
          const answer = handle();
          if (answer === null) return;
          this.afterDelay(lateMs(), () => {
            this.send(to, from, () => {
              resolve(answer);
            });
          });
        });
      });
    });
  }

  /** So much later, or at once where that is no time at all. */
  afterDelay(ms: number, run: () => void): void {
    if (ms > 0) this.time.after(ms, run);
    else run();
  }
}
