/**
 * The clock by which everything in one process is timed. Simulated processes have a simulated one.
 *
 * @module
 */
import type { Brand } from '@spurbridge/wire';

/** A reading of this process's monotonic clock, in milliseconds. Never compared between processes. */
export type MonotonicMs = Brand<number, 'MonotonicMs'>;

/** A monotonic clock, and timers that go by it. */
export interface Clock {
  now(): MonotonicMs;
  /** Resolves once so many milliseconds have passed. */
  sleep(ms: number): Promise<void>;
}

/** The monotonic clock of the operating system. */
export const monotonicClock: Clock = {
  now: () => performance.now() as MonotonicMs,
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};

/** The time so many milliseconds after another. */
export function addMs(time: MonotonicMs, ms: number): MonotonicMs {
  return (time + ms) as MonotonicMs;
}
