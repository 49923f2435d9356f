/**
 * The watch events of the simulated key-value store, and the watches that wait for the next one.
 *
 * @module
 */
import type { Timeline } from '@spurbridge/simulated-worker';
import type { WatchEvent } from '@spurbridge/wire';

interface Waiter {
  readonly prefix: string;
  readonly after: number;
  readonly wake: () => void;
}

/** Events in the order of their versions; the oldest may be dropped. */
export class StoreHistory {
  private readonly events: WatchEvent[] = [];
  private droppedUpTo = 0;
  private waiters: Waiter[] = [];

  constructor(private readonly time: Timeline) {}

  /** Appends an event; its version is at least that of the last one. */
  append(event: WatchEvent): void {
    this.events.push(event);
  }

  /** Events of keys with the prefix, after the revision. */
  since(prefix: string, after: number): WatchEvent[] {
    // In the order of versions, so that only the end is looked at.
    const found: WatchEvent[] = [];
    for (let i = this.events.length - 1; i >= 0; i -= 1) {
      const event = this.events[i] as WatchEvent;
      if (event.version <= after) break;
      if (keyOf(event).startsWith(prefix)) found.push(event);
    }
    return found.reverse();
  }

  /** Whether all events after this revision are still there. */
  reachesBackTo(revision: number): boolean {
    return revision >= this.droppedUpTo;
  }

  /** Drops all but the latest events. */
  trim(keep: number): void {
    const dropped = this.events.splice(0, Math.max(0, this.events.length - keep));
    this.droppedUpTo = dropped.at(-1)?.version ?? this.droppedUpTo;
  }

  /** A copy of all events. */
  toArray(): WatchEvent[] {
    return [...this.events];
  }

  /** Replaces all events. */
  replace(events: readonly WatchEvent[]): void {
    this.events.splice(0, this.events.length, ...events);
  }

  /**
   * Calls back once, when there is an event after the revision, and at the latest after `timeoutMs`: watches of processes
   * that have ended would otherwise be kept for good.
   */
  wait(prefix: string, after: number, timeoutMs: number, wake: () => void): void {
    const waiter: Waiter = { prefix, after, wake };
    this.waiters.push(waiter);
    this.time.after(timeoutMs, () => {
      this.waiters = this.waiters.filter((other) => other !== waiter);
      wake();
    });
  }

  /** Wakes the watches for which there is an event. */
  wakeReady(): void {
    const waiting = this.waiters;
    this.waiters = [];
    for (const waiter of waiting)
      if (this.since(waiter.prefix, waiter.after).length > 0) waiter.wake();
      else this.waiters.push(waiter);
  }

  /** Wakes all watches. */
  wakeAll(): void {
    for (const waiter of this.waiters.splice(0)) waiter.wake();
  }
}

function keyOf(event: WatchEvent): string {
  return 'put' in event ? event.put : event.delete;
}
