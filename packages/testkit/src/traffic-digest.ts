/**
 * A digest of everything that the programs of a simulated environment send: two versions of the sources with
 * the same behaviour have the same digest. All payloads are in the form in which they are sent, so that names
 * inside the sources do not matter.
 *
 * @module
 */
import { createHash } from 'node:crypto';

/** One message between two hosts, or one transaction of the key-value store. */
export interface TrafficEvent {
  /** Simulated time, in milliseconds. */
  readonly atMs: number;
  readonly kind:
    | 'transaction'
    | 'peer-frame'
    | 'heartbeat'
    | 'heartbeat-response'
    | 'commands'
    | 'commands-response'
    | 'user-response'
    | 'rental'
    | 'release';
  readonly from: string;
  readonly to: string;
  /** The message as it is sent. */
  readonly payload: unknown;
}

/** Observes every message, in the order of sending. */
export interface TrafficObserver {
  observe(event: TrafficEvent): void;
}

/** Hashes all traffic of a simulated environment. */
export class TrafficDigest implements TrafficObserver {
  private readonly hash = createHash('sha256');
  private events = 0;

  observe(event: TrafficEvent): void {
    const { atMs, kind, from, to, payload } = event;
    this.events += 1;
    this.hash.update(JSON.stringify([atMs, kind, from, to, payload]));
  }

  /** The number of events, and the first half of their SHA-256 in hexadecimal. Ends the digest. */
  finish(): string {
    return `${this.events}:${this.hash.digest('hex').slice(0, 32)}`;
  }
}
