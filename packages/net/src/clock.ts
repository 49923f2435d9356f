import type { Brand } from '@spurbridge/wire';

/** A reading of this process's steady clock, in milliseconds. Never compared between processes. */
export type MonotonicMs = Brand<number, 'Ms'>;

export interface Clock {
  now(): MonotonicMs;
  sleep(ms: number): Promise<void>;
}

export const monotonicClock: Clock = {
  now: () => performance.now() as MonotonicMs,
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};

export function addMs(at: MonotonicMs, ms: number): MonotonicMs {
  return (at + ms) as MonotonicMs;
}
