import type { Brand } from '@spurbridge/wire';

/** A reading of this process's steady clock, in milliseconds. Never compared between processes. */
export type Ms = Brand<number, 'Ms'>;

export interface Clock {
  now(): Ms;
  sleep(ms: number): Promise<void>;
}

export const steadyClock: Clock = {
  now: () => performance.now() as Ms,
  sleep: (ms) => new Promise((resolve) => setTimeout(resolve, ms)),
};

export function later(at: Ms, ms: number): Ms {
  return (at + ms) as Ms;
}
