/**
 * Passes everything that the programs of a simulated environment send to an observer, if there is one.
 *
 * @module
 */
import type { SimTime } from './clock.js';
import type { TrafficEvent, TrafficObserver } from './traffic-digest.js';

/** Stamps each message with the simulated time and passes it to the observer. */
export class TrafficRecorder {
  constructor(
    private readonly time: SimTime,
    private readonly observer: TrafficObserver | undefined,
  ) {}

  /** Records one message; `payload` is the message in the form in which it is sent. */
  record(kind: TrafficEvent['kind'], from: string, to: string, payload: unknown): void {
    this.observer?.observe({ atMs: this.time.now, kind, from, to, payload });
  }
}
