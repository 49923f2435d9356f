/**
 * The clock that all code in one process uses for time and timers. Simulated processes use a simulated clock.
 *
 * @module
 */
import type { Brand } from '@spurbridge/wire';

/** A reading of this process's monotonic clock, in milliseconds. Never compared between processes. */
export type MonotonicMs = Brand<number, 'MonotonicMs'>;

/** A monotonic clock with timers. */
export interface Clock {
  now(): MonotonicMs;
  /** Resolves after `ms` milliseconds. */
  sleep(ms: number): Promise<void>;
}

/** The monotonic clock of the operating system. */
export const monotonicClock: Clock = {
  now: () => performance.now() as MonotonicMs,
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};

/** The time `ms` milliseconds after `time`. */
export function addMs(time: MonotonicMs, ms: number): MonotonicMs {
  return (time + ms) as MonotonicMs;
}
