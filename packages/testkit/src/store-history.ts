/**
 * The watch events of the simulated key-value store, and the pending watches.
 *
 * @module
 */
import type { Timeline } from '@spurbridge/simulated-worker';
import type { WatchEvent } from '@spurbridge/wire';

interface PendingWatch {
  readonly prefix: string;
  readonly after: number;
  readonly notify: () => void;
}

/** Events in the order of their versions; the oldest ones may be dropped. */
export class StoreHistory {
  private readonly events: WatchEvent[] = [];
  private droppedUpTo = 0;
  private pendingWatches: PendingWatch[] = [];

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
  retainsEventsAfter(revision: number): boolean {
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
  wait(prefix: string, after: number, timeoutMs: number, notify: () => void): void {
    const watch: PendingWatch = { prefix, after, notify };
    this.pendingWatches.push(watch);
    this.time.after(timeoutMs, () => {
      this.pendingWatches = this.pendingWatches.filter((other) => other !== watch);
      notify();
    });
  }

  /** Notifies and removes the watches for which there is an event. */
  notifyReady(): void {
    const candidates = this.pendingWatches;
    this.pendingWatches = [];
    for (const watch of candidates)
      if (this.since(watch.prefix, watch.after).length > 0) watch.notify();
      else this.pendingWatches.push(watch);
  }

  /** Notifies and removes all watches. */
  notifyAll(): void {
    for (const watch of this.pendingWatches.splice(0)) watch.notify();
  }
}

function keyOf(event: WatchEvent): string {
  return 'put' in event ? event.put : event.delete;
}
