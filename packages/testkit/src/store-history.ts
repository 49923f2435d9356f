/**
 * The watch events of the simulated key-value store, and the watches that wait for them.
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

/** Events in the order of their versions; the oldest ones may be dropped. */
export class StoreHistory {
  private readonly events: WatchEvent[] = [];
  private droppedUpTo = 0;
  private waiters: Waiter[] = [];

  constructor(private readonly time: Timeline) {}

  /** Appends an event; its version must not be lower than that of the last one. */
  append(event: WatchEvent): void {
    this.events.push(event);
  }

  /** Events of keys with the prefix after the revision. */
  since(prefix: string, after: number): WatchEvent[] {
    // Events are ordered by version, so only the end has to be searched.
    const found: WatchEvent[] = [];
    for (let i = this.events.length - 1; i >= 0; i -= 1) {
      const event = this.events[i] as WatchEvent;
      if (event.version <= after) break;
      if (keyOf(event).startsWith(prefix)) found.push(event);
    }
    return found.reverse();
  }

  /** Whether all events after this revision are still retained. */
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
   * Calls back once, when there is an event after the revision or `timeoutMs` has passed. The timeout also
   * removes watches of ended processes, which would otherwise be retained forever.
   */
  wait(prefix: string, after: number, timeoutMs: number, wake: () => void): void {
    const waiter: Waiter = { prefix, after, wake };
    this.waiters.push(waiter);
    this.time.after(timeoutMs, () => {
      this.waiters = this.waiters.filter((other) => other !== waiter);
      wake();
    });
  }

  /** Notifies the watches for which there is an event. */
  wakeReady(): void {
    const waiting = this.waiters;
    this.waiters = [];
    for (const waiter of waiting)
      if (this.since(waiter.prefix, waiter.after).length > 0) waiter.wake();
      else this.waiters.push(waiter);
  }

  /** Notifies all watches. */
  wakeAll(): void {
    for (const waiter of this.waiters.splice(0)) waiter.wake();
  }
}

function keyOf(event: WatchEvent): string {
  return 'put' in event ? event.put : event.delete;
}
